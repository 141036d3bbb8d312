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
		pause, settled := claimReleaseMinBackoff, false
		for end := p.timers.Now().Add(claimReleaseTimeout); p.timers.Now().Before(end); {
			freed, taken := p.tryRelease(release)
			if freed {
				pause = claimReleaseMinBackoff
			}
			// A later claim on the key keeps it for long, so that finding it must not put off the end again.
			if freed || taken && !settled {
				end, settled = p.timers.Now().Add(claimCopiesTimeout), true
			}
			if !laburnumtimer.Wait(p.closed, p.timers, pause) {
				return
			}
			pause = min(2*pause, claimReleaseMaxBackoff)
		}
		if !settled {
			p.scope.Counter("claims-not-freed").Inc(1)
		}
	}()
}

// tryRelease releases the claim. It reports whether that freed it, and whether another claim holds the key, beside which no copy of
// this one is applied.
func (p *Proxy) tryRelease(release laburnumlever.Command) (freed, taken bool) {
	ctx, cancel := p.withTimeout(context.Background(), recordTimeout)
	defer cancel()
	_, err := p.proposer.Propose(ctx, release)
	if err == nil {
		p.scope.Counter("claims-freed").Inc(1)
		return true, false
	}
	result, rejected := laburnumlever.Rejection(err)
	return false, rejected && result.Code != laburnumlever.ResultUnknown
}
