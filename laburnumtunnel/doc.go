// Package laburnumtunnel carries a VM's connections to backend servers through another VM, its helper, while the VM
// has lost its own links to them.
//
// The VM goes on deciding: it chooses the server, checks keys, charges quotas, waits for slots, retries and cancels. The
// helper copies bytes and knows nothing of requests, so that what holds for a direct connection holds for a tunnel. A
// tunnel has one hop: a helper dials servers directly or not at all.
//
// # Protocol
//
// The VM sends an HTTP/1.1 CONNECT with the server's address to the helper. The helper answers
//
//   - 200 when it has connected to the server,
//   - 502 when the server accepts no connection from it either, with the header Laburnumlever-Refused if it refused one,
//   - 403 for an address of no backend server that it knows, and
//   - 503 while it can't help: it leaves, has lost its own links, or carries too many tunnels.
//
// After a 200, the bytes to the server follow as they are. Those from the server come in frames, each with its length in
// two bytes. A frame of length 0 is the orderly end of the server's connection. A tunnel that ends without it was broken:
// otherwise a helper that is killed would make a truncated answer look complete. The length 65535 has no bytes; it
// announces that the helper leaves, so that the tunnel is not used for another request.
//
// Either side's end ends the other one at once, so that a cancelled request stops at the server.
//
// # Usage
//
// On a helper:
//
//	server := laburnumtunnel.NewServer(knows, available, laburnumtunnel.WithLimit(512))
//	go http.Serve(listener, server)
//	server.Drain(ctx)
//
// On a VM without links:
//
//	client := laburnumtunnel.NewClient(directory, timers)
//	conn, err := client.Dial(ctx, "10.0.0.7:8080") // *NoHelperError, *ServerUnreachableError
package laburnumtunnel
