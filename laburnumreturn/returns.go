package laburnumreturn

import (
	"maps"
	"time"

	"laburnumlever"
)

const (
	// maxReturns is the number of callers that are remembered; those that are told to return while there are as many are not.
	maxReturns = 512
	// returnGrace is how long after its time a return is awaited: callers add delays of their own.
	returnGrace = time.Second
	// sweepPeriod is the time between two searches for returns that are not awaited any more.
	sweepPeriod = 500 * time.Millisecond
)

// Caller is a caller that was told to return.
type Caller struct {
	Digest laburnumlever.RequestDigest
	// Account keeps apart equal requests of two client accounts; empty for none.
	Account laburnumlever.AccountName
	Need    Need
	// Asked is when it first asked.
	Asked time.Time
}

// Returns are the callers that were told to return and have not.
type Returns struct {
	told    map[laburnumlever.RequestDigest]awaited
	pending map[Need]int
	sweptAt time.Time
}

type awaited struct {
	caller Caller
	until  time.Time
}

// Len returns the number of callers that are remembered.
func (r *Returns) Len() int { return len(r.told) }

// Told records a caller that was told to return at a time.
func (r *Returns) Told(c Caller, at, now time.Time) {
	r.sweep(now)
	r.forget(c.Digest)
	if len(r.told) >= maxReturns {
		return
	}
	if r.told == nil {
		r.told, r.pending = map[laburnumlever.RequestDigest]awaited{}, map[Need]int{}
	}
	r.told[c.Digest] = awaited{caller: c, until: at.Add(returnGrace)}
	r.pending[c.Need]++
}

// Returned returns when the caller of a request first asked, if it was told to return; each time for one request only.
func (r *Returns) Returned(digest laburnumlever.RequestDigest, account laburnumlever.AccountName, now time.Time) (time.Time, bool) {
	known, ok := r.told[digest]
	if !ok || known.caller.Account != account {
		return time.Time{}, false
	}
	r.forget(digest)
	return known.caller.Asked, !now.After(known.until)
}

// Pending returns the number of callers whose return is awaited.
func (r *Returns) Pending(need Need, now time.Time) int {
	r.sweep(now)
	return r.pending[need]
}

func (r *Returns) forget(digest laburnumlever.RequestDigest) {
	known, ok := r.told[digest]
	if !ok {
		return
	}
	delete(r.told, digest)
	if r.pending[known.caller.Need]--; r.pending[known.caller.Need] == 0 {
		delete(r.pending, known.caller.Need)
	}
}

func (r *Returns) sweep(now time.Time) {
	if now.Sub(r.sweptAt) < sweepPeriod {
		return
	}
	r.sweptAt = now
	for digest := range maps.Clone(r.told) {
		if now.After(r.told[digest].until) {
			r.forget(digest)
		}
	}
}
