package laburnumdirector

import "time"

// spareLoads is the number of loads allowed beyond the rate. The store allows one more, which is
// left unused because loads may begin later than ordered.
const spareLoads = 2

// burst is the capacity of the bucket for a rate per second. It keeps the loads of each storeWindow
// within what the store allows.
func (c config) burst(rate float64) float64 {
	return spareLoads + max(0, rate*c.storeWindow.Seconds()*(c.storeOvershoot-1))
}

// bucket is a token bucket for loads from the weight store. It starts empty, since the previous
// director may have used up the rate.
type bucket struct {
	tokens float64
	at     time.Duration
}

// take refills the bucket at a rate per second and takes a token, if there is one.
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
