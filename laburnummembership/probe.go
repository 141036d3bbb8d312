package laburnummembership

import (
	"time"

	"laburnumlever"
)

// probe is the question whether a VM is alive, over its direct and indirect tries.
type probe struct {
	target      laburnumlever.VMID
	incarnation uint64
	// asked counts the helpers not yet heard of.
	asked int
	// denied and unreachable count helpers that did not reach the target, and
	// that were not reached themselves.
	denied, unreachable int
	reached             bool
}

// answered takes the answer to an exchange.
func (c *core) answered(token uint64, g gossip, now time.Time) {
	p, ok := c.settle(token)
	if !ok {
		return
	}
	if p.vm != "" && g.From != p.vm {
		c.unanswered(p, now) // another VM has taken over the address
		return
	}
	livedBefore := c.vms.lives(g.From)
	c.absorb(g, now)
	switch {
	case g.Stranger:
		c.pull(p.address, nil)
	case !livedBefore && c.vms.lives(g.From):
		// A cut has healed: the other side's news of the time between is not in
		// anybody's queue any more.
		c.pull(p.address, c.digest.pack())
	default:
		c.compare(g, p.address, now)
	}
	if g.AboutYou != nil && c.vms.lives(g.From) {
		c.exchange(g.From) // brings the refutation
	}
}

// failed takes the end of an exchange without an answer.
func (c *core) failed(token uint64, now time.Time) {
	if p, ok := c.settle(token); ok {
		c.unanswered(p, now)
	}
}

func (c *core) unanswered(p pending, now time.Time) {
	if p.probe == nil || !c.vms.lives(p.vm) || c.vms.records[p.vm].vm.State == laburnumlever.VMSuspect {
		return
	}
	c.askOthers(p.probe, now)
}

// askOthers probes the target through some other VMs.
func (c *core) askOthers(p *probe, now time.Time) {
	target := c.vms.records[p.target]
	helpers := c.vms.sorted(func(r *vmRecord) bool { return r.vm.State == laburnumlever.VMAlive && r.vm.ID != p.target })
	c.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	helpers = helpers[:min(askHelpers, len(helpers))]
	p.asked = len(helpers)
	for _, h := range helpers {
		request := askRequest{Target: p.target, Address: target.vm.PeerAddress}
		c.emit(send{Address: h.vm.PeerAddress, Method: methodAsk, Params: request, Timeout: askTimeout},
			pending{vm: h.vm.ID, probe: p})
	}
	c.conclude(p, now)
}

// asked takes what a helper found, or that it could not be asked.
func (c *core) asked(token uint64, answer askAnswer, err error, now time.Time) {
	pend, ok := c.settle(token)
	if !ok {
		return
	}
	p := pend.probe
	p.asked--
	switch {
	case err != nil:
		p.unreachable++
	case answer.Reached:
		p.reached = true
	default:
		p.denied++
	}
	c.conclude(p, now)
}

// conclude suspects the target once all tries failed. A helper must have been
// reached: a VM that can send to nobody would else suspect all the others, who
// would spend their time refuting it. Only when no other VM has sent anything
// lately either is it cut off wholly, and then it may judge for itself.
func (c *core) conclude(p *probe, now time.Time) {
	if p.asked > 0 || p.reached {
		return
	}
	if p.unreachable > 0 && p.denied == 0 && now.Sub(c.contactAt) < contactRecent {
		return
	}
	r, ok := c.vms.records[p.target]
	if !ok || r.vm.Incarnation != p.incarnation || now.Sub(r.contactAt) < contactRecent {
		return
	}
	suspect := r.vm
	suspect.State = laburnumlever.VMSuspect
	if c.mergeVM(suspect, now) {
		r.accused = true
		r.deadline = now.Add(c.suspicion())
		c.facts.push(vmKey(p.target))
	}
}

// confirm goes on asking those that this VM has accused. On a lossy network an
// accusation or its refutation is easily lost; asked at every tick, a living VM
// answers in time with a new incarnation. The other VMs only wait, and longer.
func (c *core) confirm() {
	accused := c.vms.sorted(func(r *vmRecord) bool { return r.accused && r.vm.State == laburnumlever.VMSuspect })
	for _, r := range accused[:min(maxConfirms, len(accused))] {
		c.exchange(r.vm.ID)
	}
}

// expireSuspicions declares down who did not refute in time.
func (c *core) expireSuspicions(now time.Time) {
	overdue := func(r *vmRecord) bool {
		return r.vm.State == laburnumlever.VMSuspect && !now.Before(r.deadline)
	}
	for _, r := range c.vms.sorted(overdue) {
		down := r.vm
		down.State = laburnumlever.VMDown
		if c.mergeVM(down, now) {
			c.facts.push(vmKey(down.ID))
		}
	}
}

// reachable answers a helper's own knowledge: a VM that sent something lately is
// alive even if it can't be reached from here.
func (c *core) reachable(target laburnumlever.VMID, now time.Time) bool {
	r, ok := c.vms.records[target]
	return ok && !r.contactAt.IsZero() && now.Sub(r.contactAt) < contactRecent
}
