package laburnumpace

import (
	"slices"
	"time"
)

const (
	// slowestTime is the time after which the slowest pace may be forgotten; it is kept for twice that.
	slowestTime = time.Minute
	// maxIntervals is the number of latest streams that the usual interval is taken from, minIntervals the least.
	maxIntervals = 32
	minIntervals = 4
	// minGaps is the least number of gaps of a stream that tells its interval.
	minGaps = 3
)

// Service is what is known of all servers of a service that tell their pace. The zero value knows nothing.
type Service struct {
	// slowest is the slowest pace told since began, before that of the time before it.
	slowest, before float64
	began           time.Time
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
}

// Slowest returns the slowest pace of the last minutes.
func (s *Service) Slowest() float64 { return max(s.slowest, s.before) }

// StreamEnded notes the time from the first event of a stream to the last one of so many.
func (s *Service) StreamEnded(took time.Duration, events int) {
	gaps := events - 1
	if gaps < minGaps {
		return
	}
	interval := took / time.Duration(gaps)
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
func (s *Service) Interval() time.Duration {
	if len(s.intervals) < minIntervals {
		return 0
	}
	return s.usual
}
