// Package laburnumpeer keeps the jsonrpc2 links over TCP between entry VMs.
//
// # Usage
//
//	peers := laburnumpeer.New(self.ID, laburnumpeer.WithScope(scope))
//	peers.Handle("gossip", handler)
//	go peers.Serve(listener)
//	err := peers.Call(ctx, "10.0.0.2:7201", "gossip", params, &answer)
//	defer peers.Close()
//
// Handlers are set before Serve is called. There is one outgoing connection to
// an address, made when it is first needed and closed when it has been idle for a
// while; incoming connections only bring requests. So a cut of one direction
// shows as what it is: calls from the one side fail and those from the other do not.
//
// # Failures
//
// A cut that sends no RST leaves a TCP connection open for many minutes. Whenever
// something was sent and nothing has come back for a short time, the link sends a ping;
// without an answer the connection is closed within two seconds, and all that waits on
// it fails with *laburnumlever.PeerLostError. Idle links cost nothing.
//
// A call fails with *laburnumlever.PeerUnreachableError only if its frame was
// never wholly written: the other side drops an incomplete frame, so the call
// surely did not run.
//
// # Load
//
// The pattern answered is a peer that is slow, frozen or flooding. Without bounds, one
// frozen VM would collect every sender's messages in memory, and one broken
// frame length would make a VM allocate gigabytes. So a link's queue, the frames, the
// writes, the calls under way and the connections are all bounded; what does not
// fit is refused or dropped and counted, never queued without end.
package laburnumpeer
