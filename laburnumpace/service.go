package laburnumpace

import (
	"math"
	"slices"
	"time"
)

const (
	// slowestTime is the time after which the slowest pace may be forgotten; it is kept for twice that.
	slowestTime = time.Minute
	// minPaces is the number of paces from which the slowest of them is taken for that of the service: with fewer it may well
	// not be among them.
	minPaces = 32
	// maxIntervals is the number of latest streams that the usual interval is taken from.
	maxIntervals = 32
)

// Gaps is the number of gaps between a stream's first events that tell its interval.
const Gaps = 3

// Service is what is known of all servers of a service that tell their pace. The zero value knows nothing.
type Service struct {
	// slowest is the slowest pace told since began, before that of the time before it.
	slowest, before float64
	began           time.Time
	paces           int // told so far, up to minPaces
	// intervals is a ring of the mean times between two events of the latest streams; usual is their median.
	intervals []time.Duration
	next      int
	usual     time.Duration
}

// Tell notes the pace that a server told.
func (s *Service) Tell(pace float64, now time.Time) {
	if now.Sub(s.began) >= slowestTime {
		s.before, s.slowest, s.began = s.slowest, 0, now
	}
	s.slowest = max(s.slowest, pace)
	s.paces = min(s.paces+1, minPaces)
}

// Slowest returns the slowest pace of the last minutes. It is infinite until enough paces were told.
func (s *Service) Slowest() float64 {
	if s.paces < minPaces {
		return math.Inf(1)
	}
	return max(s.slowest, s.before)
}

// StreamBegun notes the time that the first Gaps gaps between a stream's events took.
func (s *Service) StreamBegun(took time.Duration) {
	interval := took / Gaps
	if len(s.intervals) < maxIntervals {
		s.intervals = append(s.intervals, interval)
	} else {
		s.intervals[s.next] = interval
		s.next = (s.next + 1) % maxIntervals
	}
	sorted := slices.Clone(s.intervals)
	slices.Sort(sorted)
	s.usual = sorted[len(sorted)/2]
}

// Interval returns the usual time between two events of a stream; 0 if it is unknown.
func (s *Service) Interval() time.Duration { return s.usual }
