package laburnumdispatch

import "time"

const (
	// startRateWindow is the time over which starts are averaged: longer than a single
	// answer, shorter than a burst.
	startRateWindow = 2 * time.Second
	// minMeasuredTime is the time measured before the rate is used.
	minMeasuredTime = 300 * time.Millisecond
)

// startRate measures the rate, in tokens per second, at which queued work is started. It is
// measured only while requests are queued: otherwise the arrival rate limits it.
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
		// keep half a window, which gives a moving average
		p.since = now.Add(-startRateWindow / 2)
		p.cost *= float64(startRateWindow/2) / float64(span)
	}
	p.cost += float64(cost)
}

// expectedWait estimates the time to start work of the given cost in tokens; 0 while the
// rate is unknown.
func (p *startRate) expectedWait(cost int) time.Duration {
	span := p.last.Sub(p.since)
	if span < minMeasuredTime || p.cost == 0 {
		return 0
	}
	return time.Duration(float64(cost) / p.cost * float64(span))
}
