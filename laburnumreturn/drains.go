package laburnumreturn

import (
	"maps"
	"math"
	"time"
)

const (
	// drainHalfLife is the half-life of what was seen of a drain. Demand and copies change within seconds.
	drainHalfLife = 4 * time.Second
	// minSeen is the time with waiting requests before a drain is known. Slots come free at random, several in a moment.
	minSeen = time.Second
	// surelyShare is the part of the expected wait that is taken as certain: if slots come free at random, one request in ten gets its
	// slot sooner, and far fewer of those behind others.
	surelyShare = 0.1
	// holdWeight is the weight of the newest time for which a request held a slot.
	holdWeight = 0.1
	// maxDrains is the number of drains above which unused ones are dropped.
	maxDrains = 1024
)

// Drains are how fast queued requests got slots, while any waited. Requests that find a free slot at once tell nothing of that.
type Drains struct {
	drains map[Need]*drain
}

type drain struct {
	waiting int
	// seen is the time with waiting requests in seconds, granted the number of slots that they got; both decay, as of at.
	seen, granted float64
	at            time.Time
	hold          time.Duration // for which requests hold a slot; 0 if not known
}

// advance brings the sums forward to a time.
func (d *drain) advance(now time.Time) {
	passed := max(0, now.Sub(d.at).Seconds())
	kept := math.Exp2(-passed / drainHalfLife.Seconds())
	d.seen, d.granted = d.seen*kept, d.granted*kept
	if d.waiting > 0 {
		// The time that has passed decays, too.
		d.seen += (1 - kept) * drainHalfLife.Seconds() / math.Ln2
	}
	d.at = now
}

func (d *Drains) of(need Need, now time.Time) *drain {
	if known := d.drains[need]; known != nil {
		known.advance(now)
		return known
	}
	if d.drains == nil {
		d.drains = map[Need]*drain{}
	}
	if len(d.drains) >= maxDrains {
		maps.DeleteFunc(d.drains, func(_ Need, old *drain) bool { return old.waiting == 0 && now.Sub(old.at) > drainHalfLife })
	}
	known := &drain{at: now}
	d.drains[need] = known
	return known
}

// Queued records a request that begins to wait for a slot.
func (d *Drains) Queued(need Need, now time.Time) { d.of(need, now).waiting++ }

// Left records that a request no longer waits.
func (d *Drains) Left(need Need, now time.Time) {
	known := d.of(need, now)
	known.waiting = max(0, known.waiting-1)
}

// Granted records that a request which has waited got a slot.
func (d *Drains) Granted(need Need, now time.Time) { d.of(need, now).granted++ }

// Held records for how long a request held a slot.
func (d *Drains) Held(need Need, held time.Duration, now time.Time) {
	known := d.of(need, now)
	if known.hold == 0 {
		known.hold = held
		return
	}
	known.hold += time.Duration(holdWeight * float64(held-known.hold))
}

// Hold returns for how long requests hold a slot on average; 0 if not known.
func (d *Drains) Hold(need Need) time.Duration {
	if known := d.drains[need]; known != nil {
		return known.hold
	}
	return 0
}

// Wait returns how long a request waits for a slot behind others, and how long it waits almost surely; false if not known. The next
// slot is taken to come free now.
func (d *Drains) Wait(need Need, ahead int, now time.Time) (expected, surely time.Duration, ok bool) {
	known := d.drains[need]
	if known == nil {
		return 0, 0, false
	}
	known.advance(now)
	if known.seen < minSeen.Seconds() {
		return 0, 0, false
	}
	wait := float64(ahead+1) * known.seen / (known.granted + 1)
	expected = time.Duration(wait * float64(time.Second))
	return expected, time.Duration(surelyShare * float64(expected)), true
}
