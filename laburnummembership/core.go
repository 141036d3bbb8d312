package laburnummembership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

// send is an outgoing message. The outcome of a call carries its Token; Token 0 marks a
// notification, which has none.
type send struct {
	Address string
	Method  string
	Params  any
	Token   uint64
	Timeout time.Duration
}

// core makes all decisions, without goroutines, network or clock. Messages to be sent collect
// in outbox.
type core struct {
	self     laburnumlever.VM
	seeds    []string
	random   *rand.Rand
	digest   digest
	vms      *vmTable
	backends *backendTable
	demand   *demandTable

	factQueue     *updateQueue // VMs and backend states: small and urgent
	bulkQueue     *updateQueue // announcements and inventories
	nearLoadQueue *updateQueue
	farLoadQueue  *updateQueue

	outbox      []send
	token       uint64
	pending     map[uint64]pending
	farPartners []laburnumlever.VMID // remaining partners of the current round through all VMs
	ticks       uint64
	lastTickAt  time.Time
	started     time.Time
	// contactAt is when this VM last received a message from another VM.
	contactAt   time.Time
	reconnectAt time.Time
	joinAt      time.Time
	joined      bool
	syncAt      time.Time
	mismatches  int
	forgottenAt time.Time

	factsChanged bool
	loadsChanged bool
}

// pending is a call whose outcome has not arrived yet.
type pending struct {
	vm      laburnumlever.VMID
	address string
	probe   *probe
}

func newCore(self laburnumlever.VM, seeds []string, now time.Time, random *rand.Rand) *core {
	if self.Incarnation == 0 {
		// A VM without a disk has no counter to continue, so the start time serves as its
		// incarnation.
		self.Incarnation = uint64(now.UnixMilli())
	}
	self.State = laburnumlever.VMAlive
	c := &core{
		self:          self,
		seeds:         seeds,
		random:        random,
		factQueue:     newUpdateQueue(),
		bulkQueue:     newUpdateQueue(),
		nearLoadQueue: newUpdateQueue(),
		farLoadQueue:  newUpdateQueue(),
		pending:       map[uint64]pending{},
		lastTickAt:    now,
		started:       now,
		contactAt:     now,
		forgottenAt:   now,
	}
	c.vms = newVMTable(&c.digest)
	c.backends = newBackendTable(&c.digest)
	c.demand = newDemandTable(self.ID)
	c.toggleSelf()
	return c
}

func (c *core) toggleSelf() { c.vms.toggle(c.self) }

// setSelf changes this VM's own record, under a new incarnation if anything differs.
func (c *core) setSelf(next laburnumlever.VM) {
	next.ID = c.self.ID
	next.Incarnation = c.self.Incarnation
	if next == c.self {
		return
	}
	next.Incarnation++
	c.toggleSelf()
	c.self = next
	c.toggleSelf()
	c.factQueue.push(vmKey(c.self.ID))
	c.factsChanged = true
}

// refute raises this VM's incarnation above that of another VM's claim about it. The claim may
// date from before a restart, so its incarnation may be higher than the current one.
func (c *core) refute(claimed laburnumlever.VM) {
	if claimed.Incarnation < c.self.Incarnation {
		// The sender missed the refutation, which may have used up its sends by now.
		c.factQueue.push(vmKey(c.self.ID))
		return
	}
	if claimed.Incarnation == c.self.Incarnation && claimed.State <= c.self.State {
		return
	}
	c.toggleSelf()
	c.self.Incarnation = claimed.Incarnation + 1
	c.toggleSelf()
	c.factQueue.push(vmKey(c.self.ID))
	c.factsChanged = true
}

// leave announces that this VM stops for good.
func (c *core) leave() {
	next := c.self
	next.State = laburnumlever.VMLeft
	c.setSelf(next)
	for range leaveMessages {
		if id, ok := c.nextFar(); ok {
			c.exchange(id)
		}
	}
}

// leaveMessages is how many VMs are notified at once of this VM's leaving: enough for the
// update to spread even if some messages are lost.
const leaveMessages = 4

// tick runs the periodic work: timeouts, failure detection, gossip and demand.
func (c *core) tick(now time.Time) {
	if pause := now.Sub(c.lastTickAt); pause > pauseThreshold {
		c.resumeAfterPause(now, pause)
	}
	c.lastTickAt = now
	c.ticks++
	c.expireSuspicions(now)
	c.reprobeSuspects()
	c.checkBackendHealth(now)
	c.repeatLoads(now)
	c.forget(now)
	c.join(now)
	c.reconnectDown(now)
	c.gossipOnce()
	c.sendDemand(now)
}

// resumeAfterPause discards pending calls and moves the deadlines by the length of a pause of
// this VM (SIGSTOP, CPU starvation, live migration). Without it, all answers would be late and
// all deadlines over on resumption, and this VM would mark all other VMs and its backend
// servers as down.
func (c *core) resumeAfterPause(now time.Time, pause time.Duration) {
	c.pending = map[uint64]pending{}
	c.contactAt = now
	for _, r := range c.vms.records {
		r.deadline = r.deadline.Add(pause)
		r.contactAt = r.contactAt.Add(pause)
	}
	for _, r := range c.backends.records {
		r.updatedAt = r.updatedAt.Add(pause)
		if !r.contactAt.IsZero() {
			r.contactAt = r.contactAt.Add(pause)
		}
		r.changedAt = r.changedAt.Add(pause)
	}
}

func (c *core) forget(now time.Time) {
	if now.Sub(c.forgottenAt) < time.Minute {
		return
	}
	c.forgottenAt = now
	if c.vms.forget(now) {
		c.factsChanged = true
	}
	for _, r := range c.backends.records {
		gone := r.state.Health == healthDown || r.state.Leaving
		if gone && now.Sub(r.changedAt) > backendRetention && now.Sub(r.contactAt) > backendRetention {
			c.backends.remove(r)
			c.factsChanged = true
		}
	}
}

// emit queues a call and registers it as pending.
func (c *core) emit(s send, p pending) {
	c.token++
	s.Token = c.token
	p.address = s.Address
	c.pending[s.Token] = p
	c.outbox = append(c.outbox, s)
}

// vmList returns the known VMs, this one included, in order of their id.
func (c *core) vmList() []laburnumlever.VM {
	records := c.vms.sorted(func(*vmRecord) bool { return true })
	out := make([]laburnumlever.VM, 0, len(records)+1)
	for _, r := range records {
		out = append(out, r.vm)
	}
	at, _ := slices.BinarySearchFunc(out, c.self.ID, func(vm laburnumlever.VM, id laburnumlever.VMID) int {
		return strings.Compare(string(vm.ID), string(id))
	})
	return slices.Insert(out, at, c.self)
}

// drainOutbox returns the messages queued since the last call and empties the outbox.
func (c *core) drainOutbox() []send {
	out := c.outbox
	c.outbox = nil
	return out
}

func (c *core) takePending(token uint64) (pending, bool) {
	p, ok := c.pending[token]
	delete(c.pending, token)
	return p, ok
}
