package laburnumquota

import (
	"slices"
	"time"

	"laburnumlever"
)

const (
	// freshShare is the part of the reserve time that reserves have left to be counted as lasting.
	freshShare = 0.7
	// surplus times the target is what a gateway keeps of its reserves at most.
	surplus = 2
	// maxReserves bounds the reserves of one account, each of which asks tell the keeper about.
	maxReserves = 16
)

// purseReserves are a gateway's reserves of one account.
type purseReserves struct{ list []purseReserve }

type purseReserve struct {
	HeldReserve
	tokens float64
	until  time.Duration
	// told is set once the keeper was told of Spent and Dropped.
	told bool
}

func (r *purseReserve) left() float64 { return r.tokens - r.Spent - r.Dropped }

// left returns what may be spent.
func (r *purseReserves) left(now time.Duration) float64 {
	r.list = slices.DeleteFunc(r.list, func(x purseReserve) bool { return x.until <= now })
	total := 0.0
	for i := range r.list {
		total += r.list[i].left()
	}
	return total
}

// spend spends tokens of the reserves that expire first.
func (r *purseReserves) spend(tokens float64) {
	slices.SortFunc(r.list, func(a, b purseReserve) int { return int(a.until - b.until) })
	for i := range r.list {
		x := &r.list[i]
		if used := min(tokens, x.left()); used > 0 {
			x.Spent, x.told = x.Spent+used, false
			tokens -= used
		}
	}
}

// ask returns what to ask a keeper for so that reserves of a size last for longer, and drops what is
// beyond it. A keeper is told once of one that is used up.
func (r *purseReserves) ask(target float64, lasts, now time.Duration) (add float64, held []HeldReserve) {
	r.drop(r.left(now) - surplus*target)
	fresh := now + time.Duration(freshShare*float64(lasts))
	for i := range r.list {
		x := &r.list[i]
		if !x.told || x.until < fresh {
			held = append(held, x.HeldReserve)
			x.told = true
		}
		target -= x.left()
	}
	r.list = slices.DeleteFunc(r.list, func(x purseReserve) bool { return x.told && x.left() <= 0 })
	if len(r.list) >= maxReserves {
		return 0, held
	}
	return max(0, target), held
}

// drop drops tokens of the reserves that expire first.
func (r *purseReserves) drop(tokens float64) {
	for i := range r.list {
		x := &r.list[i]
		if dropped := min(tokens, x.left()); dropped > 0 {
			x.Dropped, x.told = x.Dropped+dropped, false
			tokens -= dropped
		}
	}
}

// apply adds a keeper's answer, which lasts until a time. Reserves of another quota are not taken.
func (r *purseReserves) apply(g Grant, quota laburnumlever.Quota, until time.Duration) {
	for i := range r.list {
		if x := &r.list[i]; slices.Contains(g.Extended, x.ID) {
			x.until = max(x.until, until)
		}
	}
	if g.Reserve == nil || g.Reserve.Quota != quota {
		return
	}
	if tokens := amount(g.Reserve.Tokens); tokens > 0 {
		r.list = append(r.list, purseReserve{HeldReserve: HeldReserve{ID: g.Reserve.ID}, tokens: tokens, until: until, told: true})
	}
}

// dropAll drops all tokens.
func (r *purseReserves) dropAll() {
	for i := range r.list {
		x := &r.list[i]
		x.Dropped, x.told = x.Dropped+x.left(), false
	}
}
