package laburnumretry

import "time"

const (
	// windowParts is the number of buckets of a window; a bucket counts until all of it
	// is out of the window.
	windowParts = 10
	// ownShare of the ratio is used; the rest covers requests at the edges of windows.
	ownShare = 0.7
	// slackShare of the slack is split among the gateways; the rest covers gateways
	// restarted within the window.
	slackShare = 0.5
)

// Window limits retries to a share of the requests in a sliding window, plus a slack. The limit
// holds for all gateways together without coordination: shares of requests add up, and the
// slack is split evenly.
//
// A Window is not safe for concurrent use.
type Window struct {
	ratio, slack float64
	part         time.Duration
	// start is when the window was first used; times are relative to it, since the time
	// of day may jump.
	start time.Time
	parts []windowPart
}

type windowPart struct {
	number   int64
	requests int
	repeats  int
}

// NewWindow makes an empty window: in any span of the length, all gateways together make at
// most ratio times as many retries as there are requests, plus slack.
func NewWindow(length time.Duration, ratio, slack float64) *Window {
	return &Window{ratio: ratio, slack: slack, part: length / windowParts}
}

// Request counts a first attempt.
func (w *Window) Request(now time.Time) { w.at(now).requests++ }

// Repeat tells whether a retry is allowed, and counts it; gateways is the number that share the
// slack.
func (w *Window) Repeat(now time.Time, gateways int) bool {
	last := w.at(now)
	requests, repeats := 0, 0
	for _, p := range w.parts {
		requests += p.requests
		repeats += p.repeats
	}
	allowed := w.ratio*ownShare*float64(requests) + w.slack*slackShare/float64(max(1, gateways))
	if float64(repeats+1) > allowed {
		return false
	}
	last.repeats++
	return true
}

// at returns the current bucket and drops those out of the window.
func (w *Window) at(now time.Time) *windowPart {
	if w.start.IsZero() {
		w.start = now
	}
	number := int64(now.Sub(w.start) / max(1, w.part))
	keep := w.parts[:0]
	for _, p := range w.parts {
		if number-p.number <= windowParts {
			keep = append(keep, p)
		}
	}
	w.parts = keep
	if n := len(w.parts); n == 0 || w.parts[n-1].number != number {
		w.parts = append(w.parts, windowPart{number: number})
	}
	return &w.parts[len(w.parts)-1]
}
