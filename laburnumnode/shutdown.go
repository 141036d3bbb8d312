package laburnumnode

import (
	"context"
	"time"

	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log/level"
)

const (
	// handOverTimeout bounds the farewell to the other VMs after the last request.
	handOverTimeout = 3 * time.Second
	// leaveGossipTime is how long the word of leaving gets to spread before the links
	// close; cut short, the others would find out by their probes, seconds later.
	leaveGossipTime = time.Second
)

// Shutdown ends the node in order: the readiness check fails first, so that the
// balancer stops sending; after the grace new work is refused as not run; requests
// in flight finish, up to the settings' limit; only then the VM hands over what it
// holds and leaves. Cancelling ctx ends at once. Errors: *ShutdownError.
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

// Close ends the node at once; what is in flight is cut off.
func (n *Node) Close() {
	for _, cancel := range n.cancels {
		cancel()
	}
	_ = n.proxy.Close()
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.owner.Close()
	n.spread.Close()
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

// handOver hands over what the VM holds: the zone lease, the leadership of the log,
// its place in the membership. Each step only saves the others a timeout, so a
// failure is logged and the end goes on.
func (n *Node) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	n.owner.Close()
	if err := n.voter.HandOver(ctx); err != nil {
		n.log(level.WarnValue(), "msg", "leadership not handed over", "err", err)
	}
	n.membership.LeaveFleet()
	if len(n.publisher.View().VMs) > 1 {
		laburnumtimer.Wait(ctx.Done(), n.timers, leaveGossipTime)
	}
}

// InFlight counts the callers' requests under way.
func (n *Node) InFlight() int { return n.proxy.InFlight() }
