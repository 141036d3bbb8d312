package laburnumretry

import "time"

// Backoff spaces retries: the wait doubles from Least up to Most. The zero value of its state is
// ready to use.
//
// Load pattern: for seconds no control VM serves the calls of hundreds of gateways. Retried at a
// fixed short interval, they starve the control VM that takes over.
type Backoff struct {
	Least, Most time.Duration
	wait        time.Duration
}

// Next returns the wait before the next retry.
func (b *Backoff) Next() time.Duration {
	b.wait = min(b.Most, max(b.Least, 2*b.wait))
	return b.wait
}
