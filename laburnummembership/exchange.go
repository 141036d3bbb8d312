package laburnummembership

import (
	"encoding/json"
	"math"
	"time"

	"laburnumlever"
)

// gossipOnce starts this tick's exchange. Partners in this zone and partners among all VMs
// alternate, so that both the zone's load and the facts of all VMs get a share of the messages.
func (c *core) gossipOnce() {
	if c.ticks%2 == 0 {
		if id, ok := c.pickNear(); ok {
			c.exchange(id)
			return
		}
	}
	if id, ok := c.nextFar(); ok {
		c.exchange(id)
	}
}

func (c *core) pickNear() (laburnumlever.VMID, bool) {
	near := c.vms.sorted(func(r *vmRecord) bool { return isLiving(r.vm.State) && r.vm.Zone == c.self.Zone })
	if len(near) == 0 {
		return "", false
	}
	return near[c.random.IntN(len(near))].vm.ID, true
}

// nextFar returns the next VM of a shuffled round through all living VMs, so that each is
// probed within a bounded time.
func (c *core) nextFar() (laburnumlever.VMID, bool) {
	for range 2 {
		for len(c.farPartners) > 0 {
			id := c.farPartners[0]
			c.farPartners = c.farPartners[1:]
			if c.vms.lives(id) {
				return id, true
			}
		}
		for _, r := range c.vms.sorted(func(r *vmRecord) bool { return isLiving(r.vm.State) }) {
			c.farPartners = append(c.farPartners, r.vm.ID)
		}
		c.random.Shuffle(len(c.farPartners), func(i, j int) { c.farPartners[i], c.farPartners[j] = c.farPartners[j], c.farPartners[i] })
	}
	return "", false
}

// exchange sends updates to a VM. The call is also a probe.
func (c *core) exchange(id laburnumlever.VMID) {
	r := c.vms.records[id]
	p := &probe{target: id, incarnation: r.vm.Incarnation}
	g := c.buildMessage(r, nil)
	c.emit(send{Address: r.vm.PeerAddress, Method: methodGossip, Params: g, Timeout: probeTimeout},
		pending{vm: id, probe: p})
}

// buildMessage builds a message for a VM, or for an unknown sender if r is nil. skip holds the
// keys of updates to leave out.
func (c *core) buildMessage(r *vmRecord, skip map[string]bool) gossip {
	g := gossip{From: c.self.ID, Digest: c.digest.sum()}
	if r == nil {
		return g
	}
	g.To = r.vm.ID
	if r.vm.State != laburnumlever.VMAlive {
		receiver := r.vm
		g.Receiver = &receiver
	}
	g.Updates = c.collectUpdates(r.vm.Zone == c.self.Zone, skip)
	return g
}

// receive merges another VM's message and returns the answer.
func (c *core) receive(g gossip, now time.Time) gossip {
	if g.To != "" && g.To != c.self.ID {
		// The sender means the VM that had this address before; From in the answer tells it.
		return gossip{From: c.self.ID, Digest: c.digest.sum()}
	}
	c.contactAt = now
	skip := c.mergeMessage(g, now)
	r, known := c.vms.records[g.From]
	if !known {
		return gossip{From: c.self.ID, Digest: c.digest.sum(), UnknownSender: true}
	}
	r.contactAt = now
	return c.buildMessage(r, skip)
}

// mergeMessage merges a message and returns the keys of the updates in it.
func (c *core) mergeMessage(g gossip, now time.Time) map[string]bool {
	if g.Receiver != nil {
		c.refute(*g.Receiver)
	}
	if g.Updates == nil {
		return nil
	}
	return c.mergeUpdates(*g.Updates, now)
}

// collectUpdates fills a message with updates. near selects the load queue of this zone.
func (c *core) collectUpdates(near bool, skip map[string]bool) *updates {
	n := &updates{}
	facts, bulk := packedUpdates{}, packedUpdates{}
	c.collectFacts(&facts, c.factQueue, factBudget, c.sendLimit(factSends), skip)
	n.VMs, n.Backends = facts.VMs, facts.Backends
	c.collectFacts(&bulk, c.bulkQueue, bulkBudget, c.sendLimit(bulkSends), skip)
	n.Packed = bulk.pack()
	queue := c.farLoadQueue
	if near {
		queue = c.nearLoadQueue
	}
	n.Loads = c.collectLoads(queue, skip)
	if facts.size()+bulk.size() == 0 && len(n.Loads) == 0 {
		return nil
	}
	return n
}

func (c *core) sendLimit(factor float64) int {
	return max(minSends, int(math.Ceil(factor*math.Log2(float64(len(c.vms.records)+2)))))
}

func (c *core) collectFacts(n *packedUpdates, queue *updateQueue, budget, limit int, skip map[string]bool) {
	remaining := budget
	queue.take(limit, func(key string) addResult {
		if skip[key] {
			return addSkipped
		}
		return c.addFact(n, key, &remaining, budget)
	})
}

// addFact adds one fact to the message. The first one is always added, so that a fact larger
// than the budget does not block the queue.
func (c *core) addFact(n *packedUpdates, key string, remaining *int, budget int) addResult {
	item, ok := c.fact(key)
	if !ok {
		return addGone
	}
	raw, err := json.Marshal(item)
	if err != nil {
		return addGone
	}
	if len(raw) > *remaining && *remaining != budget {
		return addFull
	}
	*remaining -= len(raw)
	switch v := item.(type) {
	case laburnumlever.VM:
		n.VMs = append(n.VMs, v)
	case backendState:
		n.Backends = append(n.Backends, v)
	case inventoryUpdate:
		n.Inventories = append(n.Inventories, v)
	}
	return addSent
}

// fact returns the current state of a queued fact.
func (c *core) fact(key string) (any, bool) {
	id := key[1:]
	switch key[0] {
	case 'v':
		if laburnumlever.VMID(id) == c.self.ID {
			return c.self, true
		}
		r, ok := c.vms.records[laburnumlever.VMID(id)]
		if !ok {
			return nil, false
		}
		return r.vm, true
	case 'a', 'b':
		r, ok := c.backends.records[laburnumlever.BackendID(id)]
		if !ok {
			return nil, false
		}
		n := r.state
		if key[0] == 'b' {
			n.Announcement = nil
		}
		return n, true
	default:
		r, ok := c.backends.records[laburnumlever.BackendID(id)]
		if !ok {
			return nil, false
		}
		return r.inventoryToSend(), true
	}
}

// relayScope selects which merged updates are gossiped on.
type relayScope int

const (
	relayNone relayScope = iota
	// relayUrgent leaves out announcements and inventories: other VMs that lack them pull them
	// too, and complete ones would displace the deltas in transit.
	relayUrgent
	relayAll
)

// mergeUpdates merges updates and gossips the new ones on. It returns the keys of all of them.
func (c *core) mergeUpdates(n updates, now time.Time) map[string]bool {
	seen := map[string]bool{}
	c.mergeFacts(packedUpdates{VMs: n.VMs, Backends: n.Backends}, now, relayAll, seen)
	c.mergeFacts(unpack(n.Packed), now, relayAll, seen)
	c.mergeLoads(n.Loads, now, seen)
	return seen
}

func (c *core) mergeFacts(n packedUpdates, now time.Time, relay relayScope, seen map[string]bool) {
	for _, vm := range n.VMs {
		seen[vmKey(vm.ID)] = true
		if c.mergeVM(vm, now) && relay != relayNone {
			c.factQueue.push(vmKey(vm.ID))
		}
	}
	for _, b := range n.Backends {
		seen[backendKey(b.Backend)] = true
		seen[announcementKey(b.Backend)] = b.Announcement != nil
		c.mergeBackend(b, now, relay)
	}
	for _, i := range n.Inventories {
		seen[inventoryKey(i.Backend)] = true
		if c.backends.mergeInventory(i, now) {
			c.factsChanged = true
			if relay == relayAll {
				c.pushInventory(i.Backend)
			}
		}
	}
}

func (c *core) mergeLoads(rows loadRows, now time.Time, seen map[string]bool) {
	for _, row := range rows.rows() {
		known, ok := c.backends.byKey[row.key]
		if !ok {
			continue
		}
		seen["l"+string(known.state.Backend)] = true
		if c.backends.mergeLoad(known, row, now) {
			c.loadsChanged = true
			c.queueLoad(known, now)
		}
	}
}

func (c *core) mergeVM(vm laburnumlever.VM, now time.Time) bool {
	if vm.ID == c.self.ID {
		c.refute(vm)
		return false
	}
	remoteSuspicion := time.Duration(remoteSuspicionFactor * float64(c.suspicion()))
	if !c.vms.merge(vm, now, remoteSuspicion) {
		if r, ok := c.vms.records[vm.ID]; ok && vm.State != laburnumlever.VMAlive && supersedesVM(r.vm, vm) {
			// The sender has missed the refutation: send it again.
			c.factQueue.push(vmKey(vm.ID))
		}
		return false
	}
	c.factsChanged = true
	return true
}

// suspicion is how long a suspected VM has to refute: the update must reach it and the
// refutation must spread back, which takes some rounds for each doubling of the fleet.
func (c *core) suspicion() time.Duration {
	doublings := math.Log2(float64(len(c.vms.records) + 2))
	return suspicionBase + time.Duration(doublings*float64(suspicionStep))
}
