package laburnumdispatch

import "time"

const (
	// paceSpan is the time over which starts are averaged: long against a single
	// answer, short against a burst.
	paceSpan = 2 * time.Second
	// paceMinimum of measured time before the rate is believed.
	paceMinimum = 300 * time.Millisecond
)

// pace is the rate, in tokens a second, at which waiting work has been started. It
// is measured only while something waits: at other times the rate is the callers'.
type pace struct {
	since time.Time
	last  time.Time
	cost  float64
}

func (p *pace) started(cost int, now time.Time) {
	if p.since.IsZero() {
		p.since = now
	}
	p.last = now
	if span := now.Sub(p.since); span > paceSpan {
		// keep half: a running mean over one to two spans
		p.since = now.Add(-paceSpan / 2)
		p.cost *= float64(paceSpan/2) / float64(span)
	}
	p.cost += float64(cost)
}

// wait is how long starting that many tokens is likely to take; 0 while unknown.
func (p *pace) wait(cost int) time.Duration {
	span := p.last.Sub(p.since)
	if span < paceMinimum || p.cost == 0 {
		return 0
	}
	return time.Duration(float64(cost) / p.cost * float64(span))
}
