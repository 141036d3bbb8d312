package laburnumdirector

import "time"

const (
	// storeShare of the weight store's rate is used, so that orders sent in one
	// window and begun in the next stay within the bound.
	storeShare = 0.9
	// storeBurst is how many loads may begin at once after a quiet time, within
	// the overshoot that a store allows in a few seconds.
	storeBurst = 3
)

// bucket bounds the loads from the weight store. It starts empty: another VM may
// have used up the rate a moment ago.
type bucket struct {
	tokens float64
	at     time.Duration
}

// take pays for one load at the rate a second, if it can.
func (b *bucket) take(now time.Duration, rate float64) bool {
	if b.at == 0 {
		b.at = now
	}
	b.tokens = min(storeBurst, b.tokens+storeShare*rate*(now-b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
