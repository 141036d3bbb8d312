package laburnumbalance

import (
	"math"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumpace"
	"laburnumlever/laburnumregistry"
)

const (
	// The limit on this VM's unread prompts at a server, in ms that the server takes to read
	// (prefill) them, adapts by additive increase and multiplicative decrease.
	initialUnreadPromptLimit = 120
	minUnreadPromptLimit     = 25
	maxUnreadPromptLimit     = 300
	unreadPromptIncrease     = 4
	unreadPromptDecrease     = 0.9
	// latencyTargetDivisor is the divisor of the latency target: an answer that starts later than
	// the quotient lowers the limit. The rest of the target is for the network and the queue.
	latencyTargetDivisor = 2

	loadDecay       = 3 * time.Second        // time in which the reported load of other VMs decays to 0
	currentLoadAge  = 200 * time.Millisecond // age up to which a reported load counts as current
	failureHalfLife = 4 * time.Second        // time in which the number of recent failures halves

	// A server whose slots are all taken is tried again after a time proportional to the number of
	// gateways: more of them compete for a free slot, and any of them may find it.
	retryPerGateway = 7 * time.Millisecond
	minRetry        = 40 * time.Millisecond
	maxRetry        = 150 * time.Millisecond

	// Bounds of the backoff for an unreachable server, which doubles with each failed connection.
	minUnreachable = 300 * time.Millisecond
	maxUnreachable = time.Second

	absentTime = 1500 * time.Millisecond // longer than a stale heartbeat keeps listing the model
	loadedTime = 4 * time.Second         // longer than it takes heartbeats to list the model
)

// heldModel identifies a model, or an adapter of it, on a server.
type heldModel struct {
	model   laburnumlever.ModelName
	adapter laburnumlever.AdapterName
}

// server is the state of a backend server as seen by this VM.
type server struct {
	record  laburnumregistry.Record
	overlay laburnumregistry.Overlay
	local   bool
	// limited tells that requests need a permit for the server.
	limited bool
	// listed are the models under which the table lists the server.
	listed []laburnumlever.ModelName
	own    int // running requests of this VM
	// others is the number of requests of other VMs, by the last answer, at othersAt.
	others    float64
	othersAt  time.Time
	fullUntil time.Time
	// noConnectionUntil is when a connection is asked for again after the last request got none. It is zero once another
	// request has ended.
	noConnectionUntil time.Time
	// reservationRefused tells that the last reservation was refused and that no load has been
	// reported since.
	reservationRefused bool
	// unreadPromptTime is the estimated time that the server takes to read this VM's unread prompts,
	// in ms; unreadPromptLimit is its limit.
	unreadPromptTime  float64
	unreadPromptLimit float64
	// recentFailures is the decaying count of failures, as of failedAt.
	recentFailures float64
	failedAt       time.Time
	// failedSinceReport and answeredSinceReport count attempts since Outcomes last reported the server.
	failedSinceReport, answeredSinceReport int
	// unreachableUntil is the end of the last backoff, unreachableTime its length; 0 after an
	// attempt that did not fail.
	unreachableUntil time.Time
	unreachableTime  time.Duration
	// restUntil is when the server takes requests of this VM again, after a rest that it asked for. recovering is set from then
	// until it answers, trialing while the request runs that it gets meanwhile.
	restUntil            time.Time
	recovering, trialing bool
	// pace is what this start of the server has told.
	pace laburnumpace.Told
	// absent are the models and adapters that the server has answered to be absent, loaded those that
	// ModelLoaded has reported. Until its time, an entry overrides the heartbeat, which may be older.
	absent map[heldModel]time.Time
	loaded map[heldModel]time.Time
}

// load estimates the number of requests at the server, running or queued.
func (s *server) load(now time.Time) float64 {
	fade := 1 - now.Sub(s.othersAt).Seconds()/loadDecay.Seconds()
	return float64(s.own) + max(0, fade)*s.others
}

// lacksConnection tells whether this VM's requests have all of the connections that it may have to the server.
func (s *server) lacksConnection(q Query, now time.Time) bool {
	return q.Connections != nil && (now.Before(s.noConnectionUntil) || s.own >= q.Connections(s.record.Heartbeat.Backend))
}

// mayBeFull tells whether the server may be full, since its last reservation was refused or its load
// is too old to rely on. A load is too old after currentLoadAge, or after loadDecay if it is below
// idleShare of the slots.
func (s *server) mayBeFull(now time.Time) bool {
	age := now.Sub(s.othersAt)
	if age < currentLoadAge && !s.reservationRefused {
		return false
	}
	return s.reservationRefused || age > loadDecay || float64(s.own)+s.others >= idleShare*float64(s.record.Heartbeat.Slots)
}

// adaptUnreadPromptLimit adapts the limit on unread prompts after an answer has started. took is the
// time that the answer took to start, target the latency target, 0 for none. Additive
// increase and multiplicative decrease converge to equal shares among the VMs that send to the
// server.
func (s *server) adaptUnreadPromptLimit(took, target time.Duration) {
	if target <= 0 {
		return
	}
	if took > target/latencyTargetDivisor {
		s.unreadPromptLimit = max(minUnreadPromptLimit, s.unreadPromptLimit*unreadPromptDecrease)
		return
	}
	s.unreadPromptLimit = min(maxUnreadPromptLimit, s.unreadPromptLimit+unreadPromptIncrease)
}

// failurePenalty is the term of the score for recent failures, in ms.
func (s *server) failurePenalty(now time.Time) float64 {
	if s.recentFailures == 0 {
		return 0
	}
	return failureMillis * s.failuresAt(now)
}

// backOff starts or doubles the backoff after a failed connection.
func (s *server) backOff(now time.Time) {
	s.unreachableTime = min(maxUnreachable, max(minUnreachable, 2*s.unreachableTime))
	s.unreachableUntil = now.Add(s.unreachableTime)
}

// failuresAt returns the number of recent failures, which halves every failureHalfLife.
func (s *server) failuresAt(now time.Time) float64 {
	age := now.Sub(s.failedAt).Seconds() / failureHalfLife.Seconds()
	return s.recentFailures / math.Exp2(age)
}

// markOutlier raises the number of recent failures to at least 1, after the director has detected the
// server as an outlier. Failures that this VM has seen itself are not counted again.
func (s *server) markOutlier(now time.Time) {
	s.recentFailures = max(1, s.failuresAt(now))
	s.failedAt = now
}

// recordFailure adds a failure to the recent ones, up to maxFailures.
func (s *server) recordFailure(now time.Time) {
	s.recentFailures = min(s.failuresAt(now)+1, maxFailures)
	s.failedAt = now
}

// holds tells whether the server holds the model and adapter, by its heartbeat, the overlay (what the
// director knows beyond heartbeats) and newer answers.
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
	return now.Before(s.loaded[heldModel{model: model, adapter: adapter}]) &&
		(adapter == "" || s.holds(model, "", now))
}

// wasLoaded tells whether the model, or an adapter of it, is in loaded, even if the entry has expired.
func (s *server) wasLoaded(model laburnumlever.ModelName) bool {
	for key := range s.loaded {
		if key.model == model {
			return true
		}
	}
	return false
}

// setExpiry stores a key with its expiry time and drops expired keys.
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
