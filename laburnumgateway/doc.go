// Package laburnumgateway takes callers' requests on fleets that route by host and
// path, and passes each on to one backend server at a time.
//
// # Usage
//
//	gateway := laburnumgateway.New(fleet, dialect, laburnumgateway.WithLogger(logger))
//	server := gateway.Server()
//	go server.Serve(listener)
//	…
//	gateway.Drain(ctx)
//
// # What a caller may be told
//
// Each attempt ends in one of four ways: not sent, not run (the backend server says
// so), unknown, or answered. A request is refused as not run (503) only if all its
// attempts ended in the first two; after an unknown one it is 502, or 504 when its
// time is over. A request of a route that may not be repeated is never sent again
// after an unknown attempt. A broken stream of a resumable route goes on elsewhere
// after its last whole event; the connection to the first backend server is closed
// before.
package laburnumgateway
