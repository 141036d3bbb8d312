package laburnumretry

import "time"

// Backoff spaces retries: the wait doubles from Least up to Most. The zero value of its state is
// ready to use.
//
// Load pattern: for seconds no control VM can serve what hundreds of gateways ask for. Retried
// at a fixed short interval, their requests take the processor that the next control VM needs to
// take over.
type Backoff struct {
	Least, Most time.Duration
	wait        time.Duration
}

// Next returns the wait before the next retry.
func (b *Backoff) Next() time.Duration {
	b.wait = min(b.Most, max(b.Least, 2*b.wait))
	return b.wait
}
