// Package laburnumgateway is the HTTP gateway: it routes callers' requests by host and path and
// forwards each to one backend server at a time.
//
// # Usage
//
//	gateway := laburnumgateway.New(fleet, dialect, laburnumgateway.WithLogger(logger))
//	server := gateway.Server()
//	go server.Serve(listener)
//	…
//	gateway.Drain(ctx)
//
// # Outcomes
//
// An attempt ends as not sent, not run (the backend server says so), unknown, or answered. A
// request is refused with 503 only if all its attempts were not sent or not run. After an unknown
// one it is 502, or 504 past its deadline. A request of a route that is not repeatable is never
// retried after an unknown attempt. A broken stream of a resumable route resumes at another
// backend server after its last complete event, once the connection to the first is closed.
package laburnumgateway
