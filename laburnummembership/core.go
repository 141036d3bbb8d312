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

	facts     *newsQueue // VMs and the states of backend servers: small and urgent
	bulk      *newsQueue // announcements and inventories
	nearLoads *newsQueue
	farLoads  *newsQueue

	out      []send
	token    uint64
	pending  map[uint64]pending
	round    []laburnumlever.VMID // the far partners still to come in this round
	ticks    uint64
	tickedAt time.Time
	started  time.Time
	// contactAt is when any VM last sent this one a message.
	contactAt  time.Time
	healAt     time.Time
	joinAt     time.Time
	joined     bool
	syncAt     time.Time
	mismatches int
	forgetAt   time.Time

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
		self:      self,
		seeds:     seeds,
		random:    random,
		facts:     newNewsQueue(),
		bulk:      newNewsQueue(),
		nearLoads: newNewsQueue(),
		farLoads:  newNewsQueue(),
		pending:   map[uint64]pending{},
		tickedAt:  now,
		started:   now,
		contactAt: now,
		forgetAt:  now,
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
	c.facts.push(vmKey(c.self.ID))
	c.factsChanged = true
}

// refute raises the own incarnation above what others say of this VM. What they
// say may come from an earlier start, so the number may be higher than the own.
func (c *core) refute(said laburnumlever.VM) {
	if said.Incarnation < c.self.Incarnation {
		// The refutation was lost on its way to whoever says this, and by now may
		// have been sent as often as news is.
		c.facts.push(vmKey(c.self.ID))
		return
	}
	if said.Incarnation == c.self.Incarnation && said.State <= c.self.State {
		return
	}
	c.toggleSelf()
	c.self.Incarnation = said.Incarnation + 1
	c.toggleSelf()
	c.facts.push(vmKey(c.self.ID))
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
	if pause := now.Sub(c.tickedAt); pause > lateTick {
		c.resume(now, pause)
	}
	c.tickedAt = now
	c.ticks++
	c.expireSuspicions(now)
	c.confirm()
	c.judgeBackends(now)
	c.repeatLoads(now)
	c.forget(now)
	c.join(now)
	c.heal(now)
	c.gossipOnce()
	c.sendDemand(now)
}

// resume guards against this VM's own pause (SIGSTOP, a starved or moved VM): on
// waking, every answer is late and every deadline over, and without it the VM
// would declare all the others and its backend servers down. So all it waited for is
// dropped and its deadlines move on by the pause.
func (c *core) resume(now time.Time, pause time.Duration) {
	c.pending = map[uint64]pending{}
	c.contactAt = now
	for _, r := range c.vms.records {
		r.deadline = r.deadline.Add(pause)
		r.contactAt = r.contactAt.Add(pause)
	}
	for _, r := range c.backends.records {
		r.newsAt = r.newsAt.Add(pause)
		if !r.heardAt.IsZero() {
			r.heardAt = r.heardAt.Add(pause)
		}
		r.changedAt = r.changedAt.Add(pause)
	}
}

func (c *core) forget(now time.Time) {
	if now.Sub(c.forgetAt) < time.Minute {
		return
	}
	c.forgetAt = now
	if c.vms.forget(now) {
		c.factsChanged = true
	}
	for _, r := range c.backends.records {
		gone := r.news.Health == healthDown || r.news.Leaving
		if gone && now.Sub(r.changedAt) > backendForget && now.Sub(r.heardAt) > backendForget {
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
	c.out = append(c.out, s)
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

// takeOut returns what the steps since the last call want sent.
func (c *core) takeOut() []send {
	out := c.out
	c.out = nil
	return out
}

func (c *core) settle(token uint64) (pending, bool) {
	p, ok := c.pending[token]
	delete(c.pending, token)
	return p, ok
}
