package laburnumpeer

import (
	"math/rand/v2"
	"time"
)

// backoff spaces the tries to connect: without it each of hundreds of VMs would
// dial a dead one at every message. The wait doubles up to maxBackoff, which
// bounds how late a returned VM is noticed; jitter keeps VMs from dialling it at once.
type backoff struct {
	delay time.Duration
	until time.Time
	cause error
}

func (b backoff) check(now time.Time) error {
	if now.Before(b.until) {
		return &BackoffError{Wait: b.until.Sub(now), Cause: b.cause}
	}
	return nil
}

func (b backoff) next(now time.Time, cause error) backoff {
	b.delay = min(max(2*b.delay, minBackoff), maxBackoff)
	jittered := b.delay/2 + rand.N(b.delay/2)
	return backoff{delay: b.delay, until: now.Add(jittered), cause: cause}
}
