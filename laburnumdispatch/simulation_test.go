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
	callerTimeout   = 30 * time.Second // a caller without a first token disconnects then
	engineQueueSize = 4                // of engines with a bounded queue
)

var start = time.Unix(1_000_000, 0)

// call is one request in a simulated load.
type call struct {
	key                 string
	class               laburnumlever.Class
	prompt, answer      int
	at, first           time.Time
	vm                  policy
	abandoned, answered bool
	sent                int
	ticket              any
}

// engine simulates an engine with batch slots, a prefill rate and a token rate per slot.
type engine struct {
	id        int
	slots     int
	prefill   float64
	rate      float64
	maxQueue  int // -1 for unbounded
	running   int
	waiting   []*call
	nextCount uint64
}

// policy is the routing policy of a VM.
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
	now     time.Time
	order   int
	queue   events
	rand    *rand.Rand
	engines []*engine
	vms     []policy
	calls   []*call
	refused map[string]int
	retries int
}

func newSimulation(engines int, maxQueue int) *simulation {
	p := &simulation{now: start, rand: rand.New(rand.NewPCG(1, 2)), refused: map[string]int{}}
	for i := range engines {
		p.engines = append(p.engines, &engine{id: i, slots: 4, prefill: 4000, rate: 50, maxQueue: maxQueue})
	}
	return p
}

func (p *simulation) after(d time.Duration, fn func()) {
	p.order++
	heap.Push(&p.queue, event{at: p.now.Add(d), order: p.order, fn: fn})
}

func (p *simulation) every(d time.Duration, fn func()) {
	p.after(d, func() { fn(); p.every(d, fn) })
}

// arrivals generates Poisson arrivals at a rate that depends on time, until end.
func (p *simulation) arrivals(end time.Duration, rate func(since time.Duration) float64, draw func() *call) {
	since := p.now.Sub(start)
	if since >= end {
		return
	}
	wait := time.Duration(p.rand.ExpFloat64() / rate(since) * float64(time.Second))
	p.after(wait, func() {
		c := draw()
		c.at = p.now
		c.vm = p.vms[p.rand.IntN(len(p.vms))]
		p.calls = append(p.calls, c)
		p.after(callerTimeout, func() {
			if c.first.IsZero() && !c.abandoned {
				c.abandoned = true
				p.removeFromQueues(c)
				c.vm.callerGone(c)
			}
		})
		c.vm.arrive(c)
		p.arrivals(end, rate, draw)
	})
}

func (p *simulation) run(length time.Duration) {
	p.every(reportInterval, p.reports)
	p.every(tickInterval, func() {
		for _, vm := range p.vms {
			vm.tick()
		}
	})
	p.reports()
	end := start.Add(length)
	for len(p.queue) > 0 && !p.queue[0].at.After(end) {
		ev := heap.Pop(&p.queue).(event)
		p.now = ev.at
		ev.fn()
	}
}

// reports sends the engines' load reports to the VMs, with reportLag except at the start.
func (p *simulation) reports() {
	view := &laburnumlever.View{}
	for _, e := range p.engines {
		e.nextCount++
		b := laburnumlever.Backend{ReportedAt: p.now}
		b.Announcement = laburnumlever.Announcement{Backend: laburnumlever.BackendID(strconv.Itoa(e.id)), Slots: 4, TokensPerSecond: 200}
		b.Report = laburnumlever.LoadReport{
			Sequence: e.nextCount, InFlight: e.running, Queued: len(e.waiting),
			Loaded: []laburnumlever.ModelCopy{{Model: "m", Ready: true}},
		}
		view.Backends = append(view.Backends, b)
	}
	lag := reportLag
	if p.now.Equal(start) {
		lag = 0
	}
	p.after(lag, func() {
		for _, vm := range p.vms {
			vm.report(view)
		}
	})
}

// send sends the call to an engine.
func (p *simulation) send(c *call, e *engine) {
	c.sent++
	if c.sent > 1 {
		p.retries++
	}
	switch {
	case e.running < e.slots:
		p.serve(c, e)
	case e.maxQueue >= 0 && len(e.waiting) >= e.maxQueue:
		c.vm.busy(c, e)
	default:
		e.waiting = append(e.waiting, c)
	}
}

func (p *simulation) serve(c *call, e *engine) {
	e.running++
	prefill := time.Duration(float64(c.prompt) / e.prefill * float64(time.Second))
	generate := time.Duration(float64(c.answer) / e.rate * float64(time.Second))
	p.after(prefill, func() { c.first = p.now })
	p.after(prefill+generate, func() {
		c.answered = true
		e.running--
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			p.serve(next, e)
		}
		c.vm.ended(c, e)
	})
}

// removeFromQueues removes an abandoned call from the engines' queues.
func (p *simulation) removeFromQueues(c *call) {
	for _, e := range p.engines {
		e.waiting = slices.DeleteFunc(e.waiting, func(other *call) bool { return other == c })
	}
}

// callStats summarises the calls of one kind.
type callStats struct {
	calls, onTime, late, refused int
	longest                      time.Duration // wait for a first token
}

func (t callStats) onTimeShare() float64 { return float64(t.onTime) / float64(max(1, t.calls)) }

func (p *simulation) stats(of func(c *call) bool) callStats {
	var t callStats
	for _, c := range p.calls {
		if !of(c) {
			continue
		}
		t.calls++
		wait := c.first.Sub(c.at)
		switch {
		case c.first.IsZero():
			t.refused++
			continue
		case wait <= time.Duration(c.class.FirstToken):
			t.onTime++
		default:
			t.late++
		}
		t.longest = max(t.longest, wait)
	}
	return t
}
