package laburnumdispatch_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"laburnumlever"
)

const (
	reportInterval  = 500 * time.Millisecond
	reportLag       = 300 * time.Millisecond
	tickInterval    = 100 * time.Millisecond
	callerTimeout   = 30 * time.Second // after which a caller without a first token disconnects
	engineQueueSize = 4                // of engines with a bounded queue
)

var start = time.Unix(1_000_000, 0)

// call is a request in a simulated load, with its retries.
type call struct {
	key                     string
	class                   laburnumlever.Class
	prompt, answer          int
	arrivedAt, firstTokenAt time.Time
	policy                  policy // of the VM at which the call arrived
	abandoned, answered     bool
	sent                    int
	ticket                  any
}

// engine simulates an engine with batch slots, a prefill rate and a token rate per slot.
type engine struct {
	id             int
	slots          int
	prefill        float64
	rate           float64
	maxQueue       int // -1 for unbounded
	running        int
	waiting        []*call
	reportSequence uint64
}

// policy routes the calls that arrive at a VM.
type policy interface {
	arrive(c *call)
	ended(c *call, e *engine)
	busy(c *call, e *engine)
	callerGone(c *call)
	report(view *laburnumlever.View)
	tick()
}

type event struct {
	at    time.Time
	order int
	fn    func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].order < h[j].order)
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simulation runs one load against one policy on a simulated clock.
type simulation struct {
	now      time.Time
	order    int
	queue    events
	rand     *rand.Rand
	engines  []*engine
	policies []policy // one for each VM
	calls    []*call
	refused  map[string]int
	retries  int
}

func newSimulation(engines int, maxQueue int) *simulation {
	s := &simulation{now: start, rand: rand.New(rand.NewPCG(1, 2)), refused: map[string]int{}}
	for i := range engines {
		s.engines = append(s.engines, &engine{id: i, slots: 4, prefill: 4000, rate: 50, maxQueue: maxQueue})
	}
	return s
}

func (s *simulation) after(d time.Duration, fn func()) {
	s.order++
	heap.Push(&s.queue, event{at: s.now.Add(d), order: s.order, fn: fn})
}

func (s *simulation) every(d time.Duration, fn func()) {
	s.after(d, func() { fn(); s.every(d, fn) })
}

// arrivals generates Poisson arrivals at a rate that depends on time, until end.
func (s *simulation) arrivals(end time.Duration, rate func(since time.Duration) float64, draw func() *call) {
	since := s.now.Sub(start)
	if since >= end {
		return
	}
	wait := time.Duration(s.rand.ExpFloat64() / rate(since) * float64(time.Second))
	s.after(wait, func() {
		c := draw()
		c.arrivedAt = s.now
		c.policy = s.policies[s.rand.IntN(len(s.policies))]
		s.calls = append(s.calls, c)
		s.after(callerTimeout, func() {
			if c.firstTokenAt.IsZero() && !c.abandoned {
				c.abandoned = true
				s.removeFromQueues(c)
				c.policy.callerGone(c)
			}
		})
		c.policy.arrive(c)
		s.arrivals(end, rate, draw)
	})
}

func (s *simulation) run(length time.Duration) {
	s.every(reportInterval, s.reports)
	s.every(tickInterval, func() {
		for _, p := range s.policies {
			p.tick()
		}
	})
	s.reports()
	end := start.Add(length)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		ev := heap.Pop(&s.queue).(event)
		s.now = ev.at
		ev.fn()
	}
}

// reports sends the engines' load reports to the VMs, with reportLag except at the start.
func (s *simulation) reports() {
	view := &laburnumlever.View{}
	for _, e := range s.engines {
		e.reportSequence++
		b := laburnumlever.Backend{ReportedAt: s.now}
		b.Announcement = laburnumlever.Announcement{Backend: laburnumlever.BackendID(strconv.Itoa(e.id)), Slots: 4, TokensPerSecond: 200}
		b.Report = laburnumlever.LoadReport{
			Sequence: e.reportSequence, InFlight: e.running, Queued: len(e.waiting),
			Loaded: []laburnumlever.ModelCopy{{Model: "m", Ready: true}},
		}
		view.Backends = append(view.Backends, b)
	}
	lag := reportLag
	if s.now.Equal(start) {
		lag = 0
	}
	s.after(lag, func() {
		for _, p := range s.policies {
			p.report(view)
		}
	})
}

// send sends the call to an engine.
func (s *simulation) send(c *call, e *engine) {
	c.sent++
	if c.sent > 1 {
		s.retries++
	}
	switch {
	case e.running < e.slots:
		s.serve(c, e)
	case e.maxQueue >= 0 && len(e.waiting) >= e.maxQueue:
		c.policy.busy(c, e)
	default:
		e.waiting = append(e.waiting, c)
	}
}

func (s *simulation) serve(c *call, e *engine) {
	e.running++
	prefill := time.Duration(float64(c.prompt) / e.prefill * float64(time.Second))
	generate := time.Duration(float64(c.answer) / e.rate * float64(time.Second))
	s.after(prefill, func() { c.firstTokenAt = s.now })
	s.after(prefill+generate, func() {
		c.answered = true
		e.running--
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			s.serve(next, e)
		}
		c.policy.ended(c, e)
	})
}

// removeFromQueues removes an abandoned call from the engines' queues.
func (s *simulation) removeFromQueues(c *call) {
	for _, e := range s.engines {
		e.waiting = slices.DeleteFunc(e.waiting, func(other *call) bool { return other == c })
	}
}

// callStats summarises the calls of one kind.
type callStats struct {
	calls, onTime, late, noFirstToken int           // calls is the sum of the others
	longest                           time.Duration // wait for a first token
}

func (c callStats) onTimeShare() float64 { return float64(c.onTime) / float64(max(1, c.calls)) }

func (s *simulation) stats(of func(c *call) bool) callStats {
	var stats callStats
	for _, c := range s.calls {
		if !of(c) {
			continue
		}
		stats.calls++
		wait := c.firstTokenAt.Sub(c.arrivedAt)
		switch {
		case c.firstTokenAt.IsZero():
			stats.noFirstToken++
			continue
		case wait <= time.Duration(c.class.FirstToken):
			stats.onTime++
		default:
			stats.late++
		}
		stats.longest = max(stats.longest, wait)
	}
	return stats
}
