package laburnumdispatch

import "time"

const (
	// startRateWindow is the time over which starts are averaged: long against a single
	// answer, short against a burst.
	startRateWindow = 2 * time.Second
	// minMeasuredTime of measured time before the rate is believed.
	minMeasuredTime = 300 * time.Millisecond
)

// startRate is the rate, in tokens a second, at which waiting work has been started. It
// is measured only while something waits: at other times the rate is the callers'.
type startRate struct {
	since time.Time
	last  time.Time
	cost  float64
}

func (p *startRate) record(cost int, now time.Time) {
	if p.since.IsZero() {
		p.since = now
	}
	p.last = now
	if span := now.Sub(p.since); span > startRateWindow {
		// keep half: a running mean over one to two spans
		p.since = now.Add(-startRateWindow / 2)
		p.cost *= float64(startRateWindow/2) / float64(span)
	}
	p.cost += float64(cost)
}

// expectedWait is how long starting that many tokens is likely to take; 0 while unknown.
func (p *startRate) expectedWait(cost int) time.Duration {
	span := p.last.Sub(p.since)
	if span < minMeasuredTime || p.cost == 0 {
		return 0
	}
	return time.Duration(float64(cost) / p.cost * float64(span))
}
