package laburnumoutlier

import (
	"math"
	"time"

	"laburnumlever"
)

const (
	halfLife = 2 * time.Second // of reported outcomes
	// minFailures is the number of failures of an outlier. A single one may be the request's
	// fault.
	minFailures = 1.5
	// minFailureShare is the least share of failures among the outcomes of the reporting gateways.
	minFailureShare = 0.2
	// redetectionInterval is the least time between two detections of a server, after which gateways that
	// tried it again would have reported it.
	redetectionInterval = time.Second
	// retention is the time without reports after which a server is dropped.
	retention = time.Minute
)

// Detector adds up the outcomes that gateways report.
type Detector struct {
	servers map[laburnumlever.BackendID]*server
	sweptAt time.Time
}

type server struct {
	failed, answered float64
	updatedAt        time.Time
	detectedAt       time.Time
	detections       uint64
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
			s = &server{updatedAt: now}
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
		return s.detections
	}
	return 0
}

func (s *server) add(o laburnumlever.BackendOutcome, now time.Time) bool {
	decay := math.Exp2(-now.Sub(s.updatedAt).Seconds() / halfLife.Seconds())
	s.failed = s.failed*decay + float64(max(0, o.Failed))
	s.answered = s.answered*decay + float64(max(0, o.Answered))
	s.updatedAt = now
	if s.failed < minFailures || s.failed < minFailureShare*(s.failed+s.answered) || now.Sub(s.detectedAt) < redetectionInterval {
		return false
	}
	s.detectedAt = now
	s.detections++
	return true
}

func (d *Detector) sweep(now time.Time) {
	if now.Sub(d.sweptAt) < retention {
		return
	}
	d.sweptAt = now
	for id, s := range d.servers {
		if now.Sub(s.updatedAt) > retention {
			delete(d.servers, id)
		}
	}
}
