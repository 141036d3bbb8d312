package laburnumretry

import "time"

const (
	// windowParts is into how many parts a window is divided: what a part holds is
	// forgotten together, and counted until the last of it is out of the window.
	windowParts = 10
	// ownShare of the ratio is used by this VM. The rest is for requests that are
	// counted here in one window and there in the next.
	ownShare = 0.7
	// slackShare of the slack is shared out among the gateways; the rest is for
	// those that were started again within the window and have forgotten theirs.
	slackShare = 0.5
)

// Window bounds repeats by a share of the requests seen in a sliding window, and a
// slack. It keeps a bound that holds over all gateways together without asking
// them: the shares of the requests add up by themselves, and the slack is split
// into fixed parts.
//
// A Window is not safe for concurrent use.
type Window struct {
	ratio, slack float64
	part         time.Duration
	// start is when the window was first used: the time since then is steady,
	// while the time of day may jump.
	start time.Time
	parts []windowPart
}

type windowPart struct {
	number   int64
	requests int
	repeats  int
}

// NewWindow makes an empty window: of the requests in any span of the length, at
// most ratio times as many repeats as there are requests, plus slack, over all
// gateways.
func NewWindow(length time.Duration, ratio, slack float64) *Window {
	return &Window{ratio: ratio, slack: slack, part: length / windowParts}
}

// Request counts a first attempt.
func (w *Window) Request(now time.Time) { w.at(now).requests++ }

// Repeat tells whether one more attempt is allowed, and counts it; gateways is how
// many share the slack.
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

// at returns the part that now falls into and drops those out of the window.
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
