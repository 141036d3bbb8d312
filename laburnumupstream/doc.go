// Package laburnumupstream is a pool of HTTP/1.1 connections to backend servers. Each
// connection carries one request at a time.
//
// It does not use http.Transport: the gateway must know whether a request was not
// sent, was answered, or has an unknown outcome, but a transport retries some
// requests by itself. The transport's two goroutines per connection also cost two
// goroutine switches for each event of a stream. Here the caller's goroutine writes the
// request and reads the answer, with the parser of net/http.
//
// # Failures
//
// A backend server may have closed an idle connection, or sent bytes on it that
// belong to no request. The pool peeks at the socket before it reuses a connection
// and closes one in either state. TCP keep-alive probes detect a dead peer within
// about three seconds.
//
// While the VM has lost its own links to the servers, connections are opened through another VM (UseTunnels). Only the
// way differs: limits, reuse and errors are the same.
//
// # Usage
//
//	pool := laburnumupstream.New()
//	conn, err := pool.Get(ctx, address, limit)  // *DialError, *ConnectionLimitError: nothing was sent
//	stop := conn.AbortOnDone(ctx)
//	err = conn.SetDeadline(deadline)
//	resp, err := conn.Exchange(request)         // *LostError: outcome unknown
//	…read resp.Body…
//	stop()
//	pool.Put(conn, resp)  // or conn.Abort() after an incomplete answer
package laburnumupstream
