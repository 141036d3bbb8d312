package laburnumproxy

import (
	"context"
	"time"

	"laburnumlever/laburnumtimer"

	"laburnumlever"
)

const (
	// claimReleaseTimeout is how long an abandoned claim is looked for: a command that a cut
	// held up arrives as soon as the network is back, and most cuts are shorter.
	claimReleaseTimeout = 10 * time.Minute
	// The pause between two tries doubles from the first to the last: most claims
	// arrive, if at all, right after a short cut, and a thousand that never do must
	// not keep the log busy.
	claimReleaseMinBackoff = time.Second
	claimReleaseMaxBackoff = 30 * time.Second
	// maxPendingReleases bounds the claims looked for at once. Beyond it a claim is left
	// to expire by itself.
	maxPendingReleases = 1024
)

// releaseInBackground frees a claim whose fate is not known and whose call was not run. The
// failure: a cut holds the claim up on its way to the log, the caller is told
// not-run, and the claim arrives after the heal; without this a resend of the call
// finds its key in progress, with nobody running it, until the claim expires. The
// claim may arrive after a first try to free it, so a try that finds no such claim is
// repeated. The caller does not wait for any of it.
func (p *Proxy) releaseInBackground(release laburnumlever.Command) {
	select {
	case p.pendingReleases <- struct{}{}:
	default:
		p.scope.Counter("claims-not-freed").Inc(1)
		return
	}
	go func() {
		defer func() { <-p.pendingReleases }()
		pause := claimReleaseMinBackoff
		for end := p.timers.Now().Add(claimReleaseTimeout); p.timers.Now().Before(end); {
			if p.tryRelease(release) || !laburnumtimer.Wait(p.closed, p.timers, pause) {
				return
			}
			pause = min(2*pause, claimReleaseMaxBackoff)
		}
		p.scope.Counter("claims-not-freed").Inc(1)
	}()
}

// tryRelease tells whether the claim is known to be gone for good.
func (p *Proxy) tryRelease(release laburnumlever.Command) bool {
	ctx, cancel := p.withTimeout(context.Background(), recordTimeout)
	defer cancel()
	result, err := p.proposer.Propose(ctx, release)
	if err != nil || result.Code == laburnumlever.ResultUnknown {
		return false
	}
	p.scope.Counter("claims-freed").Inc(1)
	return true
}
