package laburnummembership

import (
	"time"

	"laburnumlever"
)

// probe checks whether a VM is alive, through a direct call and indirect probes.
type probe struct {
	target      laburnumlever.VMID
	incarnation uint64
	// helpersPending counts the helpers that have not answered yet.
	helpersPending int
	// targetUnreached counts helpers that did not reach the target, helperUnreached those that
	// were not reached themselves.
	targetUnreached, helperUnreached int
	reached                          bool
}

// exchangeAnswered handles the answer to an exchange.
func (c *core) exchangeAnswered(token uint64, g gossip, now time.Time) {
	p, ok := c.takePending(token)
	if !ok {
		return
	}
	if p.vm != "" && g.From != p.vm {
		c.probeFailed(p, now) // another VM has taken over the address
		return
	}
	wasLiving := c.vms.lives(g.From)
	c.mergeMessage(g, now)
	switch {
	case g.UnknownSender:
		c.pull(p.address, nil)
	case !wasLiving && c.vms.lives(g.From):
		// A partition has healed: the other side's updates from that time are in no VM's queue
		// any more.
		c.pull(p.address, c.digest.pack())
	default:
		c.compareDigest(g, p.address, now)
	}
	if g.Receiver != nil && c.vms.lives(g.From) {
		c.exchange(g.From) // sends the refutation
	}
}

// exchangeFailed handles an exchange that ended without an answer.
func (c *core) exchangeFailed(token uint64, now time.Time) {
	if p, ok := c.takePending(token); ok {
		c.probeFailed(p, now)
	}
}

func (c *core) probeFailed(p pending, now time.Time) {
	if p.probe == nil || !c.vms.lives(p.vm) || c.vms.records[p.vm].vm.State == laburnumlever.VMSuspect {
		return
	}
	c.probeIndirectly(p.probe, now)
}

// probeIndirectly probes the target through some other VMs.
func (c *core) probeIndirectly(p *probe, now time.Time) {
	target := c.vms.records[p.target]
	helpers := c.vms.sorted(func(r *vmRecord) bool { return r.vm.State == laburnumlever.VMAlive && r.vm.ID != p.target })
	c.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	helpers = helpers[:min(indirectProbes, len(helpers))]
	p.helpersPending = len(helpers)
	for _, h := range helpers {
		request := indirectProbeRequest{Target: p.target, Address: target.vm.PeerAddress}
		c.emit(send{Address: h.vm.PeerAddress, Method: methodIndirectProbe, Params: request, Timeout: indirectProbeTimeout},
			pending{vm: h.vm.ID, probe: p})
	}
	c.concludeProbe(p, now)
}

// indirectProbeAnswered handles a helper's answer, or err if the helper did not answer.
func (c *core) indirectProbeAnswered(token uint64, answer indirectProbeAnswer, err error, now time.Time) {
	sent, ok := c.takePending(token)
	if !ok {
		return
	}
	p := sent.probe
	p.helpersPending--
	switch {
	case err != nil:
		p.helperUnreached++
	case answer.Reached:
		p.reached = true
	default:
		p.targetUnreached++
	}
	c.concludeProbe(p, now)
}

// concludeProbe suspects the target once all probes have failed. At least one helper must have
// been reached: otherwise a VM whose outgoing messages are lost would suspect all others, which
// would spend their time refuting it. Only when it has received no message lately either is it
// completely cut off and may conclude without helpers.
func (c *core) concludeProbe(p *probe, now time.Time) {
	if p.helpersPending > 0 || p.reached {
		return
	}
	if p.helperUnreached > 0 && p.targetUnreached == 0 && now.Sub(c.contactAt) < recentContact {
		return
	}
	r, ok := c.vms.records[p.target]
	if !ok || r.vm.Incarnation != p.incarnation || now.Sub(r.contactAt) < recentContact {
		return
	}
	suspect := r.vm
	suspect.State = laburnumlever.VMSuspect
	if c.mergeVM(suspect, now) {
		r.suspectedHere = true
		r.deadline = now.Add(c.suspicion())
		c.factQueue.push(vmKey(p.target))
	}
}

// reprobeSuspects keeps probing the VMs that this VM itself suspects. On a lossy network a
// suspicion or its refutation is easily lost; probed at every tick, a living VM answers in time
// with a new incarnation. Other VMs only wait, and for longer.
func (c *core) reprobeSuspects() {
	suspects := c.vms.sorted(func(r *vmRecord) bool { return r.suspectedHere && r.vm.State == laburnumlever.VMSuspect })
	for _, r := range suspects[:min(maxReprobes, len(suspects))] {
		c.exchange(r.vm.ID)
	}
}

// expireSuspicions marks VMs as down that did not refute their suspicion in time.
func (c *core) expireSuspicions(now time.Time) {
	overdue := func(r *vmRecord) bool {
		return r.vm.State == laburnumlever.VMSuspect && !now.Before(r.deadline)
	}
	for _, r := range c.vms.sorted(overdue) {
		down := r.vm
		down.State = laburnumlever.VMDown
		if c.mergeVM(down, now) {
			c.factQueue.push(vmKey(down.ID))
		}
	}
}

// reachable tells whether the target has contacted this VM recently. Such a VM is alive even if
// it can't be reached from here.
func (c *core) reachable(target laburnumlever.VMID, now time.Time) bool {
	r, ok := c.vms.records[target]
	return ok && !r.contactAt.IsZero() && now.Sub(r.contactAt) < recentContact
}
