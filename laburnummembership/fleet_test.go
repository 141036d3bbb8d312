package laburnummembership

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumlever"
)

// Fleet runs many cores over in-memory queues on a simulated clock. Messages are encoded and
// decoded as on the wire, so that their bytes can be counted.
type Fleet struct {
	Now    time.Time
	VMs    []*FleetVM
	Random *rand.Rand
	// Blocked tells whether messages from one VM to another are lost.
	Blocked func(from, to *FleetVM) bool
	// Loss is the share of the remaining messages that are lost.
	Loss      float64
	byAddress map[string]*FleetVM
	queue     fleetQueue
	sequence  int
}

// FleetVM is one VM of a fleet.
type FleetVM struct {
	*core
	Frozen, Dead bool
	// Bytes, Messages and ByMethod count what the VM sent, Received the bytes it received.
	// Spent is the time taken by steps and encoding.
	Bytes, Messages int
	Received        int
	Spent           time.Duration
	ByMethod        map[string]int
}

const (
	fleetLatency = time.Millisecond
	// envelopeBytes is what jsonrpc2 adds to a message, as measured on the wire.
	envelopeBytes = 70
)

type fleetEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type fleetQueue []fleetEvent

func (q fleetQueue) Len() int { return len(q) }
func (q fleetQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q fleetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *fleetQueue) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *fleetQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// NewFleet returns VMs distributed over zones, each with the first three as seeds.
func NewFleet(vms, zones int, seed uint64) *Fleet {
	f := &Fleet{
		Now:       time.Date(2026, 12, 2, 4, 0, 0, 0, time.UTC),
		Random:    rand.New(rand.NewPCG(seed, 1)),
		Blocked:   func(_, _ *FleetVM) bool { return false },
		byAddress: map[string]*FleetVM{},
	}
	for i := range vms {
		f.add(i, zones)
	}
	return f
}

func (f *Fleet) add(i, zones int) {
	self := laburnumlever.VM{
		ID:            laburnumlever.VMID(fmt.Sprintf("vm-%03d", i)),
		Zone:          laburnumlever.ZoneName(fmt.Sprintf("zone-%d", i%zones)),
		Region:        "region",
		PeerAddress:   fmt.Sprintf("10.0.%d.%d:7201", i/200, i%200),
		CallerAddress: fmt.Sprintf("10.0.%d.%d:8080", i/200, i%200),
	}
	n := &FleetVM{ByMethod: map[string]int{}}
	f.VMs = append(f.VMs, n)
	f.byAddress[self.PeerAddress] = n
	f.boot(n, self)
	var tick func()
	tick = func() {
		if !n.Frozen && !n.Dead {
			f.step(n, func() { n.tick(f.Now) })
		}
		f.after(tickPeriod, tick)
	}
	f.after(time.Duration(f.Random.Int64N(int64(tickPeriod))), tick)
}

func (f *Fleet) boot(n *FleetVM, self laburnumlever.VM) {
	seeds := []string{"10.0.0.0:7201", "10.0.0.1:7201", "10.0.0.2:7201"}
	n.core = newCore(self, seeds, f.Now, rand.New(rand.NewPCG(f.Random.Uint64(), 2)))
}

// Restart restarts a VM without its state.
func (f *Fleet) Restart(n *FleetVM) {
	self := n.self
	self.Incarnation = 0
	f.boot(n, self)
	n.Dead = false
}

// after runs fn once the clock has advanced by d.
func (f *Fleet) after(d time.Duration, fn func()) {
	f.sequence++
	heap.Push(&f.queue, fleetEvent{at: f.Now.Add(d), sequence: f.sequence, run: fn})
}

// ForgetAfter sets how long the VMs remember a VM that is down.
func (f *Fleet) ForgetAfter(d time.Duration) {
	for _, n := range f.VMs {
		n.vms.retention = d
	}
}

// Advance advances the clock by d and runs all events due.
func (f *Fleet) Advance(d time.Duration) {
	end := f.Now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(fleetEvent)
		f.Now = e.at
		e.run()
	}
	f.Now = end
}

// Until advances the clock until done holds, for at most limit. It returns the time taken and
// whether done held.
func (f *Fleet) Until(limit time.Duration, done func() bool) (time.Duration, bool) {
	step := max(50*time.Millisecond, time.Duration(len(f.VMs))*time.Millisecond)
	for took := time.Duration(0); took <= limit; took += step {
		if done() {
			return took, true
		}
		f.Advance(step)
	}
	return limit, false
}

func (f *Fleet) step(n *FleetVM, fn func()) {
	began := time.Now()
	fn()
	out := n.drainOutbox()
	n.Spent += time.Since(began)
	for _, s := range out {
		f.deliver(n, s)
	}
}

// encode counts a message's bytes and copies it by encoding and decoding.
func (f *Fleet) encode(from, to *FleetVM, method string, message, into any) {
	began := time.Now()
	raw, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	from.Spent += time.Since(began)
	from.Bytes += len(raw) + envelopeBytes
	from.ByMethod[method] += len(raw) + envelopeBytes
	if g, ok := message.(gossip); ok && g.Updates != nil {
		from.ByMethod["  of it packed facts"] += len(g.Updates.Packed) * 4 / 3
		from.ByMethod["  of it load rows"] += len(g.Updates.Loads) * 4 / 3
	}
	from.Messages++
	to.Received += len(raw) + envelopeBytes
	began = time.Now()
	if err := json.Unmarshal(raw, into); err != nil {
		panic(err)
	}
	to.Spent += time.Since(began)
}

func (f *Fleet) lost(from, to *FleetVM) bool {
	return to.Frozen || f.Blocked(from, to) || f.Random.Float64() < f.Loss
}

// deliver delivers a message and its answer, or a failure after the timeout.
func (f *Fleet) deliver(from *FleetVM, s send) {
	to, ok := f.byAddress[s.Address]
	fail := func() {
		f.finish(from, outcome{token: s.Token, method: s.Method, err: &laburnumlever.PeerLostError{Address: s.Address}})
	}
	if !ok || to.Dead {
		f.after(fleetLatency, fail)
		return
	}
	o := outcome{token: s.Token, method: s.Method}
	answered := false
	if !f.lost(from, to) {
		f.after(fleetLatency, func() {
			if to.Frozen || to.Dead {
				return
			}
			f.serve(from, to, s, &o)
			if s.Token != 0 && s.Method != methodIndirectProbe && !f.lost(to, from) {
				answered = true
				f.after(fleetLatency, func() { f.finish(from, o) })
			}
			if s.Method == methodIndirectProbe {
				answered = true
			}
		})
	}
	f.after(s.Timeout, func() {
		if !answered && s.Token != 0 {
			fail()
		}
	})
}

func (f *Fleet) finish(n *FleetVM, o outcome) {
	if n.Frozen || n.Dead {
		f.after(tickPeriod, func() {
			if !n.Dead {
				f.finish(n, o)
			}
		})
		return
	}
	f.step(n, func() { n.handleOutcome(o, f.Now) })
}

func (f *Fleet) serve(from, to *FleetVM, s send, o *outcome) {
	switch s.Method {
	case methodGossip:
		var g, answer gossip
		f.encode(from, to, s.Method, s.Params, &g)
		f.step(to, func() { answer = to.receive(g, f.Now) })
		f.encode(to, from, s.Method, answer, &o.gossip)
	case methodSync:
		var request syncRequest
		var answer syncAnswer
		f.encode(from, to, s.Method, s.Params, &request)
		f.step(to, func() { answer = to.answerPull(request, f.Now) })
		f.encode(to, from, s.Method, answer, &o.sync)
	case methodDemand:
		var d demandReport
		f.encode(from, to, s.Method, s.Params, &d)
		f.step(to, func() { to.mergeDemand(d, f.Now) })
	case methodIndirectProbe:
		f.serveIndirectProbe(from, to, s)
	}
}

// serveIndirectProbe does the work of Membership.handleIndirectProbe.
func (f *Fleet) serveIndirectProbe(from, helper *FleetVM, s send) {
	var request indirectProbeRequest
	f.encode(from, helper, s.Method, s.Params, &request)
	answer := func(reached bool) {
		o := outcome{token: s.Token, method: s.Method}
		f.encode(helper, from, s.Method, indirectProbeAnswer{Reached: reached}, &o.indirectProbe)
		if f.lost(helper, from) {
			o.err = &laburnumlever.PeerLostError{}
		}
		f.finish(from, o)
	}
	target := f.byAddress[request.Address]
	reached := helper.reachable(request.Target, f.Now)
	if !reached && !target.Dead && !f.lost(helper, target) && !f.lost(target, helper) {
		reached = true
	}
	if reached {
		f.after(fleetLatency, func() { answer(true) })
		return
	}
	f.after(probeTimeout, func() { answer(false) })
}

// State returns the state of another VM as known to this one, VMLeft if it is unknown.
func (n *FleetVM) State(of *FleetVM) laburnumlever.VMState {
	for _, vm := range n.vmList() {
		if vm.ID == of.self.ID {
			return vm.State
		}
	}
	return laburnumlever.VMLeft
}

// AliveCount returns how many VMs this VM holds as alive, itself included.
func (n *FleetVM) AliveCount() (alive int) {
	for _, vm := range n.vmList() {
		if vm.State == laburnumlever.VMAlive {
			alive++
		}
	}
	return alive
}

// Backend returns a backend server as known to a VM.
func (f *Fleet) Backend(n *FleetVM, id laburnumlever.BackendID) (laburnumlever.Backend, bool) {
	for _, b := range n.backendList(f.Now) {
		if b.Announcement.Backend == id {
			return b, true
		}
	}
	return laburnumlever.Backend{}, false
}

// All tells whether the condition holds on every VM that is up.
func (f *Fleet) All(holds func(n *FleetVM) bool) bool {
	for _, n := range f.VMs {
		if !n.Dead && !n.Frozen && !holds(n) {
			return false
		}
	}
	return true
}
