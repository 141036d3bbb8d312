package laburnumquota

import "time"

// slots is the number of parts that a span is counted in.
const slots = 128

// grantWindow counts what was granted in the last span. It counts a slot until all of it has left the span.
type grantWindow struct {
	slotTime time.Duration
	// newest is the number of the newest slot since the clock's zero.
	newest int64
	counts [slots + 1]float64
	sum    float64
}

func newGrantWindow(span, now time.Duration) grantWindow {
	w := grantWindow{slotTime: max(1, span/slots)}
	w.newest = int64(now / w.slotTime)
	return w
}

// advance drops the slots that have left the span.
func (w *grantWindow) advance(now time.Duration) {
	number := int64(now / w.slotTime)
	for n := min(number-w.newest, int64(len(w.counts))); n > 0; n-- {
		at := &w.counts[(number-n+1)%int64(len(w.counts))]
		w.sum -= *at
		*at = 0
	}
	if number > w.newest {
		w.newest = number
	}
}

func (w *grantWindow) add(tokens float64) {
	w.counts[w.newest%int64(len(w.counts))] += tokens
	w.sum += tokens
}

// scale multiplies what was granted, so that a quota that was lowered doesn't stop its account for a whole span.
func (w *grantWindow) scale(factor float64) {
	for i := range w.counts {
		w.counts[i] *= factor
	}
	w.sum *= factor
}

// freeIn returns the time until an amount has left the span.
func (w *grantWindow) freeIn(amount float64, now time.Duration) time.Duration {
	freed := 0.0
	for n := int64(len(w.counts)) - 1; n >= 0; n-- {
		number := w.newest - n
		if freed >= amount {
			return 0
		}
		freed += w.counts[((number%int64(len(w.counts)))+int64(len(w.counts)))%int64(len(w.counts))]
		if freed >= amount {
			return time.Duration(number+int64(len(w.counts)))*w.slotTime - now
		}
	}
	return w.slotTime * time.Duration(len(w.counts))
}
