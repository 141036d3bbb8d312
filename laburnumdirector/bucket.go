package laburnumdirector

import "time"

// spareLoads is how many loads beyond the rate a window allows in any case; one less
// is used, for a load that begins a little later than it was ordered.
const spareLoads = 2

// burst is how many loads may begin at once after a quiet time, so that no window
// holds more than the store allows.
func (c config) burst(rate float64) float64 {
	return spareLoads + max(0, rate*c.window.Seconds()*(c.overshoot-1))
}

// bucket bounds the loads from the weight store. It starts empty: another VM may
// have used up the rate a moment ago.
type bucket struct {
	tokens float64
	at     time.Duration
}

// take pays for one load at the rate a second, if it can.
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
