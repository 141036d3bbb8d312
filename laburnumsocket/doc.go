// Package laburnumsocket deals with the bytes and closes of connections that wait in the kernel: it tells what an open connection's socket
// holds, without reading from it, and drops what has not been delivered.
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
//	laburnumsocket.ResetOnClose(conn) // what was written and not delivered must not be delivered after this
//	_ = conn.Close()
//
// Look makes one or two system calls and never blocks. It may be called while other goroutines read from the connection or write to
// it. Unread is the same with one call, and tells bytes to read even if a close follows them.
package laburnumsocket
