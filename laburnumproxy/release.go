package laburnumproxy

import (
	"context"
	"time"

	"laburnumlever/laburnumtimer"

	"laburnumlever"
)

const (
	// claimReleaseTimeout is how long the proxy tries to release a claim: a command delayed by
	// a network partition arrives once the partition heals, and most last less.
	claimReleaseTimeout = 10 * time.Minute
	// claimCopiesTimeout is how long the proxy goes on once it has released a claim: as long as a
	// connection pauses at most between two retransmissions.
	claimCopiesTimeout = 2 * time.Minute
	// The backoff doubles from the minimum to the maximum: most delayed claims arrive soon
	// after a short partition, and a thousand that never arrive must not keep the log busy.
	claimReleaseMinBackoff = time.Second
	claimReleaseMaxBackoff = 30 * time.Second
	// maxPendingReleases bounds the claims released at the same time. Beyond it, a claim is
	// left to expire.
	maxPendingReleases = 1024
)

// releaseInBackground releases a claim with an unknown outcome whose call was not run. A
// network partition can delay the claim on its way to the log: the caller is told not-run,
// and the claim is applied once the partition heals. Without the release, a resend would be
// refused as in progress until the claim expires. The claim may arrive after the first
// release, so a release that finds no claim is retried. The log was tried more than once, over
// different connections: each copy of the claim may be applied after the others were released.
func (p *Proxy) releaseInBackground(release laburnumlever.Command) {
	select {
	case p.pendingReleases <- struct{}{}:
	default:
		p.scope.Counter("claims-not-freed").Inc(1)
		return
	}
	go func() {
		defer func() { <-p.pendingReleases }()
		pause, released := claimReleaseMinBackoff, false
		for end := p.timers.Now().Add(claimReleaseTimeout); p.timers.Now().Before(end); {
			if p.tryRelease(release) {
				pause, released = claimReleaseMinBackoff, true
				end = p.timers.Now().Add(claimCopiesTimeout)
			}
			if !laburnumtimer.Wait(p.closed, p.timers, pause) {
				return
			}
			pause = min(2*pause, claimReleaseMaxBackoff)
		}
		if !released {
			p.scope.Counter("claims-not-freed").Inc(1)
		}
	}()
}

// tryRelease reports whether the release was applied: it has freed the claim, or the key belongs to another one.
func (p *Proxy) tryRelease(release laburnumlever.Command) bool {
	ctx, cancel := p.withTimeout(context.Background(), recordTimeout)
	defer cancel()
	_, err := p.proposer.Propose(ctx, release)
	if result, rejected := laburnumlever.Rejection(err); err != nil && (!rejected || result.Code == laburnumlever.ResultUnknown) {
		return false
	}
	p.scope.Counter("claims-freed").Inc(1)
	return true
}
