package laburnumadmission

import "time"

// burstWindow is how long a bucket fills.
const burstWindow = time.Second

// rates are this VM's part of an owner's or entry's rates, a second.
type rates struct{ requests, tokens float64 }

// usage is what one owner or entry uses on this VM.
type usage struct {
	at       time.Time
	started  bool
	requests float64
	tokens   float64
	inFlight int
}

func newUsage(now time.Time) *usage { return &usage{at: now} }

// refill lets the buckets refill up to now. A part of less than one request a second
// still fills up to one, else nothing could ever pass.
func (a *usage) refill(now time.Time, r rates) {
	most := max(1, r.requests*burstWindow.Seconds())
	mostTokens := r.tokens * burstWindow.Seconds()
	if !a.started {
		a.started = true
		a.requests, a.tokens = most, mostTokens
	}
	passed := now.Sub(a.at).Seconds()
	a.at = now
	a.requests = min(most, a.requests+passed*r.requests)
	a.tokens = min(mostTokens, a.tokens+passed*r.tokens)
}

func (a *usage) charge(tokens int) {
	a.requests--
	a.tokens -= float64(tokens)
	a.inFlight++
}

func (a *usage) release(unused int) {
	a.inFlight--
	a.tokens += float64(unused)
}
