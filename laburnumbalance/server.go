package laburnumbalance

import (
	"math"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
)

const (
	// The limit on prompts under way at a server, in ms of reading, adapts by additive
	// increase and multiplicative decrease.
	initialReadingLimit = 120
	minReadingLimit     = 25
	maxReadingLimit     = 300
	readingIncrease     = 4
	readingDecrease     = 0.9
	// readingTarget divides a latency target: the rest is for the network and the queue.
	readingTarget = 2

	loadDecay       = 3 * time.Second        // a reported load fades to nothing
	currentTime     = 200 * time.Millisecond // a reported load counts as current
	failureHalfLife = 4 * time.Second

	// A server whose slots are all taken is tried again after a time that grows with the number
	// of gateways, since any of them that finds a free slot uses it.
	retryPerGateway = 7 * time.Millisecond
	minRetry        = 40 * time.Millisecond
	maxRetry        = 150 * time.Millisecond

	// Backoff for a server that can't be connected to, doubled with each failure.
	minUnreachable = 300 * time.Millisecond
	maxUnreachable = time.Second

	absentTime = 1500 * time.Millisecond // outlasts a heartbeat that still lists the model
	addedTime  = 4 * time.Second         // outlasts heartbeats that do not list it yet
)

// heldModel names a model, or an adapter of one, on a server.
type heldModel struct {
	model   laburnumlever.ModelName
	adapter laburnumlever.AdapterName
}

// server is the endpoint state of a backend server, as seen by this VM.
type server struct {
	record  laburnumregistry.Record
	overlay laburnumregistry.Overlay
	local   bool
	// listed are the models under which the table lists the server.
	listed []laburnumlever.ModelName
	own    int // requests of this VM
	// others are the requests of other VMs, by the last answer.
	others    float64
	othersAt  time.Time
	fullUntil time.Time
	// reservationRefused tells that the last reservation was refused and no load was reported since.
	reservationRefused bool
	// reading is the estimated time to read this VM's prompts there, in ms, and its limit.
	reading      float64
	readingLimit float64
	failures     float64
	failedAt     time.Time
	// failed and answered count outcomes since the last failure was reported.
	failed, answered int
	// unreachableUntil ends the current backoff, unreachableFor is its length.
	unreachableUntil time.Time
	unreachableTime  time.Duration
	absent           map[heldModel]time.Time
	added            map[heldModel]time.Time
}

// load estimates the requests at the server, running or queued.
func (s *server) load(now time.Time) float64 {
	fade := 1 - now.Sub(s.othersAt).Seconds()/loadDecay.Seconds()
	return float64(s.own) + max(0, fade)*s.others
}

// mayBeFull tells whether the load is stale and the server may be full.
func (s *server) mayBeFull(now time.Time) bool {
	age := now.Sub(s.othersAt)
	if age < currentTime && !s.reservationRefused {
		return false
	}
	return s.reservationRefused || age > loadDecay || float64(s.own)+s.others >= idleShare*float64(s.record.Heartbeat.Slots)
}

// adaptReadingLimit adapts the limit on prompts. Additive increase and multiplicative decrease converge
// to equal shares among the VMs that send to the server.
func (s *server) adaptReadingLimit(took, target time.Duration) {
	if target <= 0 {
		return
	}
	if took > target/readingTarget {
		s.readingLimit = max(minReadingLimit, s.readingLimit*readingDecrease)
		return
	}
	s.readingLimit = min(maxReadingLimit, s.readingLimit+readingIncrease)
}

// failurePenalty is the penalty for recent failures.
func (s *server) failurePenalty(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	return failureMillis * s.failuresAt(now)
}

// backOff starts or doubles the backoff.
func (s *server) backOff(now time.Time) {
	s.unreachableTime = min(maxUnreachable, max(minUnreachable, 2*s.unreachableTime))
	s.unreachableUntil = now.Add(s.unreachableTime)
}

func (s *server) failuresAt(now time.Time) float64 {
	age := now.Sub(s.failedAt).Seconds() / failureHalfLife.Seconds()
	return s.failures / math.Exp2(age)
}

// markOutlier counts as one failure, unless this VM has seen some itself.
func (s *server) markOutlier(now time.Time) {
	s.failures = max(1, s.failuresAt(now))
	s.failedAt = now
}

func (s *server) fail(now time.Time) {
	s.failures = min(s.failuresAt(now)+1, maxFailures)
	s.failedAt = now
}

// holds tells whether the server holds the model and adapter, by its heartbeat and by newer
// answers.
func (s *server) holds(model laburnumlever.ModelName, adapter laburnumlever.AdapterName, now time.Time) bool {
	if model == "" {
		return true
	}
	if now.Before(s.absent[heldModel{model: model}]) {
		return false
	}
	if adapter != "" && now.Before(s.absent[heldModel{model: model, adapter: adapter}]) {
		return false
	}
	if s.overlay.Holds(s.record.Heartbeat, model, adapter) {
		return true
	}
	return now.Before(s.added[heldModel{model: model, adapter: adapter}]) &&
		(adapter == "" || s.holds(model, "", now))
}

// wasAdded tells whether the model, or an adapter of it, was added ahead of a heartbeat.
func (s *server) wasAdded(model laburnumlever.ModelName) bool {
	for key := range s.added {
		if key.model == model {
			return true
		}
	}
	return false
}

// setExpiry sets a key until a time and drops expired keys.
func setExpiry(m map[heldModel]time.Time, key heldModel, until, now time.Time) map[heldModel]time.Time {
	if m == nil {
		m = map[heldModel]time.Time{}
	}
	for k, at := range m {
		if now.After(at) {
			delete(m, k)
		}
	}
	m[key] = until
	return m
}
