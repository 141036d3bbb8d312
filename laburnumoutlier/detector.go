package laburnumoutlier

import (
	"math"
	"time"

	"laburnumlever"
)

const (
	halfLife = 2 * time.Second // of reported outcomes
	// leastFailed is the number of failures of an outlier. A single one may be the request's
	// fault.
	leastFailed = 1.5
	// failedShare is the least share of failures among the outcomes of the reporting gateways.
	failedShare = 0.2
	// repeatTime is the least time between two detections of a server, after which gateways that
	// tried it again would have reported it.
	repeatTime = time.Second
	// forgetTime is the time without reports after which a server is dropped.
	forgetTime = time.Minute
)

// Detector adds up the outcomes that gateways report.
type Detector struct {
	servers map[laburnumlever.BackendID]*server
	swept   time.Time
}

type server struct {
	failed, answered float64
	at               time.Time
	detected         time.Time
	count            uint64
}

// New makes a detector.
func New() *Detector {
	return &Detector{servers: map[laburnumlever.BackendID]*server{}}
}

// Add adds a gateway's outcomes and returns the servers detected as outliers by them.
func (d *Detector) Add(outcomes []laburnumlever.BackendOutcome, now time.Time) []laburnumlever.BackendID {
	d.sweep(now)
	var detected []laburnumlever.BackendID
	for _, o := range outcomes {
		s := d.servers[o.Backend]
		if s == nil {
			s = &server{at: now}
			d.servers[o.Backend] = s
		}
		if s.add(o, now) {
			detected = append(detected, o.Backend)
		}
	}
	return detected
}

// Count returns the number of detections of a server.
func (d *Detector) Count(id laburnumlever.BackendID) uint64 {
	if s := d.servers[id]; s != nil {
		return s.count
	}
	return 0
}

func (s *server) add(o laburnumlever.BackendOutcome, now time.Time) bool {
	decay := math.Exp2(-now.Sub(s.at).Seconds() / halfLife.Seconds())
	s.failed = s.failed*decay + float64(max(0, o.Failed))
	s.answered = s.answered*decay + float64(max(0, o.Answered))
	s.at = now
	if s.failed < leastFailed || s.failed < failedShare*(s.failed+s.answered) || now.Sub(s.detected) < repeatTime {
		return false
	}
	s.detected = now
	s.count++
	return true
}

func (d *Detector) sweep(now time.Time) {
	if now.Sub(d.swept) < forgetTime {
		return
	}
	d.swept = now
	for id, s := range d.servers {
		if now.Sub(s.at) > forgetTime {
			delete(d.servers, id)
		}
	}
}
