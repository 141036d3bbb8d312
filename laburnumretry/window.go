package laburnumretry

import "time"

const (
	// windowBuckets is the number of buckets of a window. A bucket counts until all of it has left
	// the window.
	windowBuckets = 10
	// ratioShare is the part of the ratio that is used; the rest covers requests at the edges of
	// the window.
	ratioShare = 0.7
	// slackShare is the part of the slack that is split among the gateways; the rest covers
	// gateways that restart within the window, since a restart empties it.
	slackShare = 0.5
)

// Window limits retries to a ratio of the requests in a sliding window, plus a slack. The limit
// holds for all gateways together without coordination: each retries its ratio of its own requests
// and gets an equal part of the slack.
//
// A Window is not safe for concurrent use.
type Window struct {
	ratio, slack float64
	bucketLength time.Duration
	// start is the time of the first call. Times are counted from it by the monotonic clock, since
	// the wall clock may jump.
	start   time.Time
	buckets []bucket
}

// bucket counts the requests and retries of one bucketLength; number counts buckets from start.
type bucket struct {
	number   int64
	requests int
	retries  int
}

// NewWindow returns an empty window. In any span of the given length, all gateways together make at
// most ratio retries per request, plus slack retries.
func NewWindow(length time.Duration, ratio, slack float64) *Window {
	return &Window{ratio: ratio, slack: slack, bucketLength: length / windowBuckets}
}

// CountRequest counts a first attempt.
func (w *Window) CountRequest(now time.Time) { w.bucketAt(now).requests++ }

// AllowRetry tells whether a retry is allowed, and counts it if so. The slack is split among the
// given number of gateways.
func (w *Window) AllowRetry(now time.Time, gateways int) bool {
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

// bucketAt returns the current bucket and drops those that have left the window.
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
