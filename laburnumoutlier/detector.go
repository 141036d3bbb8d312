package laburnumoutlier

import (
	"math"
	"time"

	"laburnumlever"
)

const (
	// halfLife is the half-life of reported outcomes.
	halfLife = 2 * time.Second
	// minFailures is the least number of recent failures of an outlier. A single failure may be
	// caused by the request.
	minFailures = 1.5
	// minFailureShare is the least share of failures among the recent outcomes of an outlier, from
	// the gateways that report it.
	minFailureShare = 0.2
	// redetectionInterval is the least time between two detections of a server. Gateways that have
	// retried the server by then have reported it again.
	redetectionInterval = time.Second
	// retention is the time without reports after which a server's outcomes are dropped.
	retention = time.Minute
)

// Detector adds up the outcomes that gateways report, and detects outliers.
type Detector struct {
	servers map[laburnumlever.BackendID]*server
	sweptAt time.Time
}

// server holds the recent outcomes of a server, which decay with halfLife.
type server struct {
	// incarnation is the newest start that outcomes were reported of.
	incarnation      uint64
	failed, answered float64
	updatedAt        time.Time
	detectedAt       time.Time
	detections       uint64
}

// New returns a detector without outcomes.
func New() *Detector {
	return &Detector{servers: map[laburnumlever.BackendID]*server{}}
}

// Add adds a gateway's outcomes and returns the servers that they make outliers.
func (d *Detector) Add(outcomes []laburnumlever.BackendOutcome, now time.Time) []laburnumlever.BackendID {
	d.sweep(now)
	var detected []laburnumlever.BackendID
	for _, o := range outcomes {
		s := d.servers[o.Backend]
		if s == nil || o.Incarnation > s.incarnation {
			s = &server{incarnation: o.Incarnation, updatedAt: now}
			d.servers[o.Backend] = s
		}
		if o.Incarnation != 0 && o.Incarnation < s.incarnation {
			continue
		}
		if s.add(o, now) {
			detected = append(detected, o.Backend)
		}
	}
	return detected
}

// Detections returns how often a start of a server has been detected as an outlier.
func (d *Detector) Detections(id laburnumlever.BackendID, incarnation uint64) uint64 {
	if s := d.servers[id]; s != nil && (s.incarnation == 0 || s.incarnation == incarnation) {
		return s.detections
	}
	return 0
}

// add adds an outcome and tells whether the server is detected as an outlier.
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

// sweep drops servers without recent reports, at most once per retention.
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
