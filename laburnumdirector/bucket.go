package laburnumdirector

import "time"

// spareLoads is one less than the store allows beyond its rate, since loads may begin later than
// ordered.
const spareLoads = 2

// burst is the size of the bucket, so that no window exceeds what the store allows.
func (c config) burst(rate float64) float64 {
	return spareLoads + max(0, rate*c.storeWindow.Seconds()*(c.storeOvershoot-1))
}

// bucket is a token bucket for loads from the weight store. It starts empty: another owner may have
// used up the rate.
type bucket struct {
	tokens float64
	at     time.Duration
}

// take takes a token, refilled at a rate per second.
func (b *bucket) take(now time.Duration, rate, burst float64) bool {
	if b.at == 0 {
		b.at = now
	}
	b.tokens = min(burst, b.tokens+rate*(now-b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
