package laburnumadmission

import "time"

// burst is how long a bucket fills.
const burst = time.Second

// rates are this VM's part of an owner's or entry's rates, a second.
type rates struct{ requests, tokens float64 }

// account is what one owner or entry uses on this VM.
type account struct {
	at       time.Time
	started  bool
	requests float64
	tokens   float64
	inFlight int
}

func newAccount(now time.Time) *account { return &account{at: now} }

// fill lets the buckets fill up to now. A part of less than one request a second
// still fills up to one, else nothing could ever pass.
func (a *account) fill(now time.Time, r rates) {
	most := max(1, r.requests*burst.Seconds())
	mostTokens := r.tokens * burst.Seconds()
	if !a.started {
		a.started = true
		a.requests, a.tokens = most, mostTokens
	}
	passed := now.Sub(a.at).Seconds()
	a.at = now
	a.requests = min(most, a.requests+passed*r.requests)
	a.tokens = min(mostTokens, a.tokens+passed*r.tokens)
}

func (a *account) take(tokens int) {
	a.requests--
	a.tokens -= float64(tokens)
	a.inFlight++
}

func (a *account) release(unused int) {
	a.inFlight--
	a.tokens += float64(unused)
}
