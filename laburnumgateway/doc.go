// Package laburnumgateway is an HTTP reverse proxy: it routes callers' requests by host and path
// and forwards each to one backend server at a time.
//
// # Usage
//
//	gateway := laburnumgateway.New(fleet, dialect, timers, laburnumgateway.WithLogger(logger))
//	server := gateway.Server()
//	go server.Serve(listener)
//	…
//	gateway.Drain(ctx)
//
// # Outcomes
//
// The outcome of an attempt is one of: not sent, not run (the backend server says so), unknown, or
// answered. The gateway answers 503 only if every attempt was not sent or not run, so that the
// caller may safely repeat the request. After an attempt with an unknown outcome it answers 502, or
// 504 past the deadline, and never retries on a route that is not repeatable. A broken stream of a
// resumable route resumes at another backend server after its last complete event, once the
// connection to the first is closed.
package laburnumgateway
