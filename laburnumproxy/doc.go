// Package laburnumproxy is the caller's path: it takes requests in, sends each to
// a backend server, passes the answer on as it comes, and tells the truth when
// there is none.
//
// # Usage
//
//	proxy := laburnumproxy.New(views, timers, proposer, laburnumproxy.WithLogger(logger))
//	server := proxy.Server() // an http.Server with the bounds set
//	…
//	err := proxy.Drain(ctx) // no new work; returns when all in flight is done
//
// # What a caller can rely on
//
// An answer is passed on only if the backend server echoed the id of this very
// attempt. A stream's end marker is passed on only after a whole answer. The word
// not-run is told only when no byte of the request reached a backend server, or
// that server said so itself; everything else is unknown. Decisions under load are
// made by pure packages (see laburnumrouter); this package owns only the sockets.
package laburnumproxy
