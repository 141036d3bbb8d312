package laburnumretry

import "time"

// Backoffs spaces the calls to several addresses: one whose answer is late once is soon called again, one that never answers
// rarely. It is not safe for concurrent use.
type Backoffs struct {
	least, most time.Duration
	failed      map[string]failedAddress
}

// failedAddress is an address whose last call failed.
type failedAddress struct {
	at      time.Time
	backoff Backoff
	until   time.Time
}

// NewBackoffs returns backoffs that double from least up to most.
func NewBackoffs(least, most time.Duration) *Backoffs {
	return &Backoffs{least: least, most: most, failed: map[string]failedAddress{}}
}

// Allows reports whether an address may be called.
func (b *Backoffs) Allows(address string, now time.Time) bool {
	return !now.Before(b.failed[address].until)
}

// Failed records that a call which began at a time failed. Calls at the same time count once.
func (b *Backoffs) Failed(address string, began, now time.Time) {
	for a, f := range b.failed {
		if now.Sub(f.until) >= b.most {
			delete(b.failed, a)
		}
	}
	f, ok := b.failed[address]
	if ok && began.Before(f.at) {
		return
	}
	if !ok {
		f.backoff = Backoff{Least: b.least, Most: b.most}
	}
	f.at, f.until = now, now.Add(f.backoff.Next())
	b.failed[address] = f
}

// Succeeded records that an address answers.
func (b *Backoffs) Succeeded(address string) { delete(b.failed, address) }
