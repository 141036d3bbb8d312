package laburnumretry

import "time"

const (
	// windowBuckets is the number of buckets of a window; a bucket counts until all of it
	// is out of the window.
	windowBuckets = 10
	// ratioShare of the ratio is used; the rest covers requests at the edges of windows.
	ratioShare = 0.7
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
	bucketLength time.Duration
	// start is when the window was first used; times are relative to it, since the time
	// of day may jump.
	start   time.Time
	buckets []bucket
}

type bucket struct {
	number   int64
	requests int
	retries  int
}

// NewWindow makes an empty window: in any span of the length, all gateways together make at
// most ratio times as many retries as there are requests, plus slack.
func NewWindow(length time.Duration, ratio, slack float64) *Window {
	return &Window{ratio: ratio, slack: slack, bucketLength: length / windowBuckets}
}

// Request counts a first attempt.
func (w *Window) Request(now time.Time) { w.bucketAt(now).requests++ }

// Repeat tells whether a retry is allowed, and counts it; gateways is the number that share the
// slack.
func (w *Window) Repeat(now time.Time, gateways int) bool {
	last := w.bucketAt(now)
	requests, retries := 0, 0
	for _, b := range w.buckets {
		requests += b.requests
		retries += b.retries
	}
	allowed := w.ratio*ratioShare*float64(requests) + w.slack*slackShare/float64(max(1, gateways))
	if float64(retries+1) > allowed {
		return false
	}
	last.retries++
	return true
}

// bucketAt returns the current bucket and drops those out of the window.
func (w *Window) bucketAt(now time.Time) *bucket {
	if w.start.IsZero() {
		w.start = now
	}
	number := int64(now.Sub(w.start) / max(1, w.bucketLength))
	keep := w.buckets[:0]
	for _, b := range w.buckets {
		if number-b.number <= windowBuckets {
			keep = append(keep, b)
		}
	}
	w.buckets = keep
	if n := len(w.buckets); n == 0 || w.buckets[n-1].number != number {
		w.buckets = append(w.buckets, bucket{number: number})
	}
	return &w.buckets[len(w.buckets)-1]
}
