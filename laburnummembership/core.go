package laburnummembership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

// send is a message that a step asks for. Its outcome comes back with the token.
type send struct {
	Address string
	Method  string
	Params  any
	Token   uint64
	Timeout time.Duration
}

// core is the whole decision code: no goroutine, no network, no clock. Each method
// is a step; what it wants sent collects in out.
type core struct {
	self     laburnumlever.VM
	seeds    []string
	random   *rand.Rand
	digest   digest
	vms      *vmTable
	backends *backendTable
	demand   *demandTable

	factQueue     *updateQueue // VMs and the states of backend servers: small and urgent
	bulkQueue     *updateQueue // announcements and inventories
	nearLoadQueue *updateQueue
	farLoadQueue  *updateQueue

	outbox      []send
	token       uint64
	pending     map[uint64]pending
	farPartners []laburnumlever.VMID // the far partners still to come in this round
	ticks       uint64
	lastTickAt  time.Time
	started     time.Time
	// contactAt is when any VM last sent this one a message.
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

// pending is a message sent whose outcome is still to come.
type pending struct {
	vm      laburnumlever.VMID
	address string
	probe   *probe
}

func newCore(self laburnumlever.VM, seeds []string, now time.Time, random *rand.Rand) *core {
	if self.Incarnation == 0 {
		// Start times order the incarnations of a VM without a disk.
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

// setSelf changes what the VM says of itself, under a new incarnation.
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

// refute raises the own incarnation above what others say of this VM. What they
// say may come from an earlier start, so the number may be higher than the own.
func (c *core) refute(claimed laburnumlever.VM) {
	if claimed.Incarnation < c.self.Incarnation {
		// The refutation was lost on its way to whoever says this, and by now may
		// have been sent as often as news is.
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

// leave tells the others that this VM stops for good.
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

// leaveMessages is how many VMs are told of the leaving at once: enough that the
// news goes on even if some of them are just lost.
const leaveMessages = 4

// tick does the periodic work.
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

// resumeAfterPause guards against this VM's own pause (SIGSTOP, a starved or moved VM): on
// waking, every answer is late and every deadline over, and without it the VM
// would declare all the others and its backend servers down. So all it waited for is
// dropped and its deadlines move on by the pause.
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

// emit asks for a message to be sent.
func (c *core) emit(s send, p pending) {
	c.token++
	s.Token = c.token
	p.address = s.Address
	c.pending[s.Token] = p
	c.outbox = append(c.outbox, s)
}

// vmList is what the view shows, this VM included.
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

// drainOutbox returns what the steps since the last call want sent.
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
