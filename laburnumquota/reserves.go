package laburnumquota

import (
	"math/rand/v2"
	"time"

	"laburnumlever"
)

const (
	// reserveTimeShare is the part of the window for which a gateway may spend a reserve after it last asked the keeper.
	reserveTimeShare = 0.75
	// keeperTimeFactor lengthens the time for which a keeper counts a reserve: clocks differ in speed by less than 2%.
	keeperTimeFactor = 1.02
	// expiryScans is the number of times in the life of a reserve that a keeper looks for expired ones.
	expiryScans = 16
)

// HeldReserve tells a keeper about a reserve that a gateway holds.
type HeldReserve struct {
	ID uint64 `json:"id"`
	// Spent and Dropped are what was spent of it and what will not be, since it was granted.
	Spent   float64 `json:"spent,omitempty"`
	Dropped float64 `json:"dropped,omitempty"`
}

// Reserve is tokens that a gateway may spend while keepers don't grant any.
type Reserve struct {
	ID     uint64  `json:"id"`
	Tokens float64 `json:"tokens"`
	// Quota is the quota that they are part of.
	Quota laburnumlever.Quota `json:"quota"`
}

// reserves are those that a keeper has granted of one account and that may still be spent.
type reserves struct {
	time  time.Duration
	held  map[uint64]*keptReserve
	total float64
	// scanAt is when to look for expired ones.
	scanAt time.Duration
}

type keptReserve struct {
	tokens, spent, dropped float64
	until                  time.Duration
	// final is set if it is not extended any more.
	final bool
}

func (r *keptReserve) left() float64 { return r.tokens - r.spent - r.dropped }

// grant grants a reserve and returns its ID.
func (r *reserves) grant(tokens float64, now time.Duration) uint64 {
	if r.held == nil {
		r.held = map[uint64]*keptReserve{}
	}
	id := rand.Uint64() //nolint:gosec // it only has to differ from those of other keepers
	r.held[id] = &keptReserve{tokens: tokens, until: now + r.time}
	r.total += tokens
	return id
}

// update records what a gateway says about a reserve. It returns the tokens that will not be spent and whether the gateway
// may hold the reserve for longer, if that is wanted. Messages may arrive in any order and more than once.
func (r *reserves) update(h HeldReserve, extend bool, now time.Duration) (returned float64, extended bool) {
	k := r.held[h.ID]
	if k == nil {
		return 0, false
	}
	before := k.left()
	k.spent = max(k.spent, min(h.Spent, k.tokens-k.dropped))
	returned = max(0, min(h.Dropped, k.tokens-k.spent)-k.dropped)
	k.dropped += returned
	r.total -= before - k.left()
	if k.left() <= 0 {
		delete(r.held, h.ID)
		return returned, false
	}
	if k.final || !extend {
		return returned, false
	}
	k.until = max(k.until, now+r.time)
	return returned, true
}

// expire drops the reserves that can't be spent any more.
func (r *reserves) expire(now time.Duration) {
	if now < r.scanAt {
		return
	}
	r.scanAt = now + r.time/expiryScans
	for id, k := range r.held {
		if k.until <= now {
			r.total -= k.left()
			delete(r.held, id)
		}
	}
	if len(r.held) == 0 {
		r.total = 0
	}
}

// close ends the extension of all reserves.
func (r *reserves) close() {
	for _, k := range r.held {
		k.final = true
	}
}
