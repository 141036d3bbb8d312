package laburnumnode

import (
	"context"
	"time"

	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log/level"
)

const (
	// handOverTimeout bounds the hand-over to the other VMs after the last request.
	handOverTimeout = 3 * time.Second
	// leaveGossipTime is the time for gossip to spread that this VM left, before the
	// links close. Otherwise the other VMs notice by failed probes, seconds later.
	leaveGossipTime = time.Second
)

// Shutdown stops the node gracefully: the readiness check fails, so that the load
// balancer stops sending; after the grace period new requests are refused as not run;
// requests in flight finish, up to the limit in the settings; then the VM hands over
// its leases, leaves the membership and closes. Cancelling ctx skips the grace period and
// aborts the requests in flight. Errors: *ShutdownError.
func (n *Node) Shutdown(ctx context.Context) error {
	n.runOnControlThread(func() {
		n.notReady = notReadyDraining
		n.publisher.markDirty()
	})
	n.log(level.InfoValue(), "msg", "draining", "grace", n.settings.Shutdown.Grace)
	laburnumtimer.Wait(ctx.Done(), n.timers, time.Duration(n.settings.Shutdown.Grace))
	err := n.drain(ctx)
	n.handOver()
	n.Close()
	return err
}

// Close stops the node at once and aborts requests in flight.
func (n *Node) Close() {
	for _, cancel := range n.cancels {
		cancel()
	}
	_ = n.proxy.Close()
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.owner.Close()
	n.distributor.Close()
	n.membership.Close()
	_ = n.voter.Close()
	_ = n.peers.Close()
	n.listeners.close()
	n.loop.Stop()
	if timers, ok := n.timers.(interface{ Close() }); ok {
		timers.Close()
	}
}

func (n *Node) drain(ctx context.Context) error {
	drainCtx, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Shutdown.Limit))
	defer cancel()
	if err := n.proxy.Drain(drainCtx); err != nil {
		return &ShutdownError{InFlight: n.proxy.InFlight(), Cause: err}
	}
	return nil
}

// handOver gives up the zone lease, transfers the leadership of the log and leaves the
// membership. Each step only saves the other VMs a timeout, so a failed transfer is
// logged and the shutdown continues.
func (n *Node) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	n.owner.Close()
	if err := n.voter.TransferLeadership(ctx); err != nil {
		n.log(level.WarnValue(), "msg", "leadership not handed over", "err", err)
	}
	n.membership.LeaveFleet()
	if len(n.publisher.View().VMs) > 1 {
		laburnumtimer.Wait(ctx.Done(), n.timers, leaveGossipTime)
	}
}

// InFlight returns the number of callers' requests in flight.
func (n *Node) InFlight() int { return n.proxy.InFlight() }
