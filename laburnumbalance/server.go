package laburnumbalance

import (
	"math"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
)

const (
	// startReading is the limit on prompts under way at a server that this VM begins
	// with, in milliseconds; minReading lets one request through, maxReading is a
	// usual target.
	startReading = 120
	minReading   = 25
	maxReading   = 300
	// readingTarget is the part of a request's target after which its answer should
	// have begun; the rest is for the caller's network and for a wait on the gateway.
	readingTarget = 2
	readingRise   = 4
	readingFall   = 0.9
	// loadFade is how long another VM's work that an answer told of is believed:
	// about one and a half of a usual stream.
	loadFade = 3 * time.Second
	// sureTime is how long a server's word on its load is as good as new: a few places of
	// a usual engine are taken or come free meanwhile.
	sureTime = 200 * time.Millisecond
	// TakenTime is how long a server that had no place is left out: until as much of what
	// it said has faded as is kept free.
	TakenTime = time.Duration(freeShare * float64(loadFade))
	// failureHalfLife halves what is held against a server for a failure.
	failureHalfLife = 4 * time.Second
	// failureMillis is added to the score for each fresh failure: above the time
	// of a usual queue, so that a sound server with work is preferred.
	failureMillis = 250
	// unreachableTime is how long a server that took no connection is left out at
	// first; each further failure doubles it, up to unreachableMost. One that is dark
	// costs every try a whole dial timeout.
	unreachableTime = 300 * time.Millisecond
	unreachableMost = time.Second
	// absentTime is how long it is believed that a server lacks a model which
	// its heartbeat listed: until the next heartbeat is sure to have come.
	absentTime = 1500 * time.Millisecond
	// addedTime is how long a model or adapter is believed to be there that a
	// heartbeat has not listed yet.
	addedTime = 4 * time.Second
)

// held names a model, or an adapter of one, on a server.
type held struct {
	model   laburnumlever.ModelName
	adapter laburnumlever.AdapterName
}

// server is one backend server as this VM sees it.
type server struct {
	record  laburnumregistry.Record
	overlay laburnumregistry.Overlay
	local   bool
	// listed are the models under which the table lists the server.
	listed []laburnumlever.ModelName
	own    int
	// others is what the last answer told beyond the own count.
	others   float64
	othersAt time.Time
	fullTill time.Time
	// taken tells that it had no place when it was asked last, and has said nothing since.
	taken bool
	// reading is the time in milliseconds that the prompts take which this VM sent
	// and whose answers have not begun, readingLimit how much of it this VM may have
	// there.
	reading      float64
	readingLimit float64
	failures     float64
	failedAt     time.Time
	// unreachableTill is when a server that took no connection is tried again,
	// unreachableFor how long it is left out.
	unreachableTill time.Time
	unreachableFor  time.Duration
	absent          map[held]time.Time
	added           map[held]time.Time
}

// load estimates the requests at the server, running or waiting.
func (s *server) load(now time.Time) float64 {
	fade := 1 - now.Sub(s.othersAt).Seconds()/loadFade.Seconds()
	return float64(s.own) + max(0, fade)*s.others
}

// unsure tells whether the server may be full for all that is known.
func (s *server) unsure(now time.Time) bool {
	age := now.Sub(s.othersAt)
	if age < sureTime && !s.taken {
		return false
	}
	return s.taken || age > loadFade || float64(s.own)+s.others >= emptyShare*float64(s.record.Heartbeat.Slots)
}

// began learns from an answer that has begun: one that took longer than half of its
// target shows that the server has more to read than it should, from all VMs together.
// Falling by a share and rising by steps, the VMs that send there end up with equal
// parts.
func (s *server) began(took, target time.Duration) {
	if target <= 0 {
		return
	}
	if took > target/readingTarget {
		s.readingLimit = max(minReading, s.readingLimit*readingFall)
		return
	}
	s.readingLimit = min(maxReading, s.readingLimit+readingRise)
}

// blame is what failures add to the score.
func (s *server) blame(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	return failureMillis * s.failuresAt(now)
}

// unreachable leaves the server out for a while.
func (s *server) unreachable(now time.Time) {
	s.unreachableFor = min(unreachableMost, max(unreachableTime, 2*s.unreachableFor))
	s.unreachableTill = now.Add(s.unreachableFor)
}

func (s *server) failuresAt(now time.Time) float64 {
	age := now.Sub(s.failedAt).Seconds() / failureHalfLife.Seconds()
	return s.failures / math.Exp2(age)
}

func (s *server) fail(now time.Time) {
	s.failures = min(s.failuresAt(now)+1, maxFailures)
	s.failedAt = now
}

// holds tells whether the server holds the model and adapter, by its heartbeat and
// by what was learned since.
func (s *server) holds(model laburnumlever.ModelName, adapter laburnumlever.AdapterName, now time.Time) bool {
	if model == "" {
		return true
	}
	if now.Before(s.absent[held{model: model}]) {
		return false
	}
	if adapter != "" && now.Before(s.absent[held{model: model, adapter: adapter}]) {
		return false
	}
	if s.overlay.Holds(s.record.Heartbeat, model, adapter) {
		return true
	}
	return now.Before(s.added[held{model: model, adapter: adapter}]) &&
		(adapter == "" || s.holds(model, "", now))
}

// wasAdded tells whether the server was said to hold the model, or an adapter of it, before a
// heartbeat listed it.
func (s *server) wasAdded(model laburnumlever.ModelName) bool {
	for key := range s.added {
		if key.model == model {
			return true
		}
	}
	return false
}

// note remembers something until a time and drops what is past.
func note(m map[held]time.Time, key held, until, now time.Time) map[held]time.Time {
	if m == nil {
		m = map[held]time.Time{}
	}
	for k, at := range m {
		if now.After(at) {
			delete(m, k)
		}
	}
	m[key] = until
	return m
}
