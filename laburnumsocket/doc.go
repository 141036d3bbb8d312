// Package laburnumsocket tells what an open connection's socket holds, without reading from it.
//
// A server learns that its caller has left when a read fails. While nobody reads, or before the goroutine that does has run, the close
// waits in the socket, behind the request or the bytes of a next one: a VM that stood still, or is behind, finds a request and its
// caller's close together.
//
// # Usage
//
//	if laburnumsocket.Look(conn) == laburnumsocket.Closed {
//		return errGone // nothing need be done for the other side any more
//	}
//
// Look makes one or two system calls and never blocks. It may be called while other goroutines read from the connection or write to
// it.
package laburnumsocket
