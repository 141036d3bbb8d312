// Package laburnumproxy is the HTTP proxy between callers and backend servers. It routes
// each request to a backend server, streams the response back, retries failed attempts, and
// reports whether a failed request may have run.
//
// # Usage
//
//	proxy := laburnumproxy.New(views, timers, proposer, laburnumproxy.WithLogger(logger))
//	server := proxy.Server() // an http.Server with limits on headers and idle connections
//	…
//	err := proxy.Drain(ctx) // refuses new requests; returns once none is in flight
//
// # Guarantees
//
// A response is forwarded only if the backend server echoed the ID of the attempt. A
// stream's end marker is forwarded only after a complete response. The outcome not-run is
// reported only when no byte of the request was sent to a backend server, or when that
// server reported it; every other failure is reported as unknown. Packages without I/O
// decide on routing, queueing and retries (see laburnumrouter); this package does the I/O.
package laburnumproxy
