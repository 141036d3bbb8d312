package laburnumpeer

import (
	"math/rand/v2"
	"time"
)

// backoff is an exponential backoff with jitter between attempts to connect. Without it, hundreds of
// VMs would dial a failed VM at every message. The delay doubles up to maxBackoff, which limits how
// late a recovered VM is detected; jitter keeps VMs from dialling it all at once.
type backoff struct {
	delay time.Duration
	until time.Time
	cause error
}

// check returns a *BackoffError until the delay has passed.
func (b backoff) check(now time.Time) error {
	if now.Before(b.until) {
		return &BackoffError{Wait: b.until.Sub(now), Cause: b.cause}
	}
	return nil
}

// next returns the backoff after another failed attempt.
func (b backoff) next(now time.Time, cause error) backoff {
	b.delay = min(max(2*b.delay, minBackoff), maxBackoff)
	jittered := b.delay/2 + rand.N(b.delay/2)
	return backoff{delay: b.delay, until: now.Add(jittered), cause: cause}
}
