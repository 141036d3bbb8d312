package laburnumretry

import "time"

// Backoff spaces retries: the wait doubles from Least up to Most. A value with these two set is
// ready to use; it has no jitter.
//
// Load pattern: for some seconds no control VM serves the calls of hundreds of gateways. If they
// retried at a short fixed interval, they would overload the control VM that takes over.
type Backoff struct {
	Least, Most time.Duration
	wait        time.Duration
}

// Next returns the wait before the next retry.
func (b *Backoff) Next() time.Duration {
	b.wait = min(b.Most, max(b.Least, 2*b.wait))
	return b.wait
}
