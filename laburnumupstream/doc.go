// Package laburnumupstream holds connections to backend servers and exchanges one
// request at a time on each.
//
// It uses no http.Transport: a request must be known to be unsent, sent or lost, a
// transport repeats some by itself, and its two goroutines a connection cost two
// hand-offs for each event of a stream. Here one goroutine writes the request and
// reads the answer; the parser is net/http's.
//
// # Failures
//
// A backend server may have closed an idle connection, or have sent bytes on it
// that belong to no request. Both show before use by looking at what the socket
// holds: such a connection is closed, not used. A silent connection is ended by
// keep-alive probes within seconds.
//
// # Usage
//
//	pool := laburnumupstream.New()
//	conn, err := pool.Get(ctx, address)            // *DialError: nothing was sent
//	stop := conn.Guard(ctx)
//	resp, err := conn.Exchange(request, deadline)  // *LostError: outcome unknown
//	…read resp.Body…
//	stop()
//	pool.Put(conn, resp)  // or conn.Close()
package laburnumupstream
