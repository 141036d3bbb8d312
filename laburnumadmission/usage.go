package laburnumadmission

import "time"

// burstWindow is the time in which an empty bucket fills; doc.go gives the reason for 1 s.
const burstWindow = time.Second

// rates are this VM's share of an owner's or entry's rates, per second.
type rates struct{ requests, tokens float64 }

// usage holds the token buckets and the in-flight count of one owner or entry on this VM.
type usage struct {
	at       time.Time
	started  bool
	requests float64
	tokens   float64
	inFlight int
}

func newUsage(now time.Time) *usage { return &usage{at: now} }

// refill refills the buckets up to now. A bucket for less than one request a second still
// holds one request, as otherwise none could ever be admitted.
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
