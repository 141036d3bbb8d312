package laburnumstandin

import (
	"net/http"
	"sync"
	"time"

	"laburnumlever/laburnumtimer"
)

// WeightStoreStats counts the loads that a weight store was asked for.
type WeightStoreStats struct {
	Loads           int `json:"loads"`
	HighestParallel int `json:"highest-parallel"`
	// HighestRate is the highest rate of requested loads per second, averaged over ten
	// seconds. It measures the demand, not the loads served.
	HighestRate float64 `json:"highest-rate"`
	// Delayed counts the loads that were delayed by the limits on the rate and on
	// parallel loads.
	Delayed int `json:"delayed"`
}

// rateWindow is the window of HighestRate, long enough that one load more or less
// changes it by only 0.1 loads per second.
const rateWindow = 10 * time.Second

// WeightStore is a stand-in for the rate-limited weight store. A load beyond its
// limits on the rate or on parallel loads is queued and counted as delayed.
type WeightStore struct {
	rate     float64
	parallel int
	cfg      config

	mu           sync.Mutex
	stats        WeightStoreStats
	active       int
	requestTimes []time.Time
	nextStart    time.Time
	waiting      []chan struct{}
}

// NewWeightStore makes a store that starts at most rate loads per second and serves at
// most parallel loads at once. WithLoadTime sets how long one load takes.
func NewWeightStore(rate float64, parallel int, opts ...Option) *WeightStore {
	s := &WeightStore{rate: rate, parallel: parallel, cfg: newConfig(opts)}
	if s.cfg.timers == nil {
		s.cfg.timers = laburnumtimer.New()
	}
	return s
}

// Stats returns the counts so far.
func (s *WeightStore) Stats() WeightStoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// ServeHTTP serves GET /weights, which returns once the load is done, and GET /stats.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/stats" {
		writeJSON(w, http.StatusOK, s.Stats())
		return
	}
	done := s.begin(s.cfg.timers.Now())
	select {
	case <-done:
		w.WriteHeader(http.StatusOK)
	case <-r.Context().Done():
	}
}

// Load starts one load without HTTP, for tests on a manual clock; the channel is
// closed when the load is done.
func (s *WeightStore) Load() <-chan struct{} { return s.begin(s.cfg.timers.Now()) }

func (s *WeightStore) begin(now time.Time) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordRequest(now)
	done := make(chan struct{})
	if s.active >= s.parallel {
		s.stats.Delayed++
		s.waiting = append(s.waiting, done)
		return done
	}
	s.active++
	s.serve(now, done)
	return done
}

// serve starts a load as soon as the rate allows and closes done after the load time;
// the caller holds mu.
func (s *WeightStore) serve(now time.Time, done chan struct{}) {
	start := now
	if s.nextStart.After(now) {
		start = s.nextStart
		s.stats.Delayed++
	}
	if s.rate > 0 {
		s.nextStart = start.Add(time.Duration(float64(time.Second) / s.rate))
	}
	s.cfg.timers.After(start.Sub(now)+s.cfg.loadTime, func(now time.Time) { s.finish(now, done) })
}

func (s *WeightStore) finish(now time.Time, done chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(done)
	if len(s.waiting) == 0 {
		s.active--
		return
	}
	first := s.waiting[0]
	s.waiting = s.waiting[1:]
	s.serve(now, first)
}

func (s *WeightStore) recordRequest(now time.Time) {
	s.stats.Loads++
	s.stats.HighestParallel = max(s.stats.HighestParallel, s.active+len(s.waiting)+1)
	s.requestTimes = append(s.requestTimes, now)
	for now.Sub(s.requestTimes[0]) >= rateWindow {
		s.requestTimes = s.requestTimes[1:]
	}
	s.stats.HighestRate = max(s.stats.HighestRate, float64(len(s.requestTimes))/rateWindow.Seconds())
}
