// Package laburnumpeer carries JSON-RPC calls and notifications between entry VMs over TCP, with
// optional mutual TLS.
//
// # Usage
//
//	peers := laburnumpeer.New(self.ID, laburnumpeer.WithScope(scope))
//	peers.Handle("gossip", handler)
//	go peers.Serve(listener)
//	err := peers.Call(ctx, "10.0.0.2:7201", "gossip", params, &answer)
//	defer peers.Close()
//
// Handlers are set before Serve is called. There is one outgoing connection per address. It is opened
// at first use and closed after an idle timeout. Requests are sent on outgoing connections only and
// received on incoming ones, so a partition of one direction fails the calls of one side and leaves
// those of the other.
//
// # Failures
//
// A partition that sends no RST leaves a TCP connection open for many minutes. When something was sent
// and nothing has been received since for 1.2 s, the link sends a ping. Without an answer it closes
// the connection within two seconds of the send, and pending calls fail with
// *laburnumlever.PeerLostError. Idle links send no pings. A peer that can be connected to right after that is starved rather than
// lost: it gets more time at each turn, as connections that are closed before any answer can come serve nobody.
//
// A call fails with *laburnumlever.PeerUnreachableError only if its frame was not completely written.
// The other side drops an incomplete frame, so the call certainly did not run.
//
// # Load
//
// A slow, frozen or flooding peer must not exhaust a VM's memory. Without limits, messages to a frozen
// VM would pile up in every sender, and a corrupt frame length would make a VM allocate gigabytes.
// So the queue of a link, the size of frames, the time of writes, the number of calls being handled
// and the number of outgoing connections are bounded. Excess calls are refused, excess notifications
// dropped, and both are counted.
package laburnumpeer
