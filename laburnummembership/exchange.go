package laburnummembership

import (
	"encoding/json"
	"math"
	"time"

	"laburnumlever"
)

// gossipOnce starts this tick's exchange: near and far in turn, so that both the
// own zone's load and the facts of all get their share.
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

// nextFar goes through all VMs in a random order before any comes again, so that
// each is probed within a bounded time.
func (c *core) nextFar() (laburnumlever.VMID, bool) {
	for range 2 {
		for len(c.round) > 0 {
			id := c.round[0]
			c.round = c.round[1:]
			if c.vms.lives(id) {
				return id, true
			}
		}
		for _, r := range c.vms.sorted(func(r *vmRecord) bool { return isLiving(r.vm.State) }) {
			c.round = append(c.round, r.vm.ID)
		}
		c.random.Shuffle(len(c.round), func(i, j int) { c.round[i], c.round[j] = c.round[j], c.round[i] })
	}
	return "", false
}

// exchange sends news to a VM and probes it by that.
func (c *core) exchange(id laburnumlever.VMID) {
	r := c.vms.records[id]
	p := &probe{target: id, incarnation: r.vm.Incarnation}
	g := c.message(r, nil)
	c.emit(send{Address: r.vm.PeerAddress, Method: methodGossip, Params: g, Timeout: probeTimeout},
		pending{vm: id, probe: p})
}

// message builds a message for a VM, or for a stranger if r is nil.
func (c *core) message(r *vmRecord, skip map[string]bool) gossip {
	g := gossip{From: c.self.ID, Digest: c.digest.sum()}
	if r == nil {
		return g
	}
	g.To = r.vm.ID
	if r.vm.State != laburnumlever.VMAlive {
		about := r.vm
		g.AboutYou = &about
	}
	g.News = c.collect(r.vm.Zone == c.self.Zone, skip)
	return g
}

// receive takes in another VM's message and answers it.
func (c *core) receive(g gossip, now time.Time) gossip {
	if g.To != "" && g.To != c.self.ID {
		// The sender wants whoever had this address before: let it see that by From.
		return gossip{From: c.self.ID, Digest: c.digest.sum()}
	}
	c.contactAt = now
	skip := c.absorb(g, now)
	r, known := c.vms.records[g.From]
	if !known {
		return gossip{From: c.self.ID, Digest: c.digest.sum(), Stranger: true}
	}
	r.contactAt = now
	return c.message(r, skip)
}

// absorb takes in a message's content and returns the keys of its news.
func (c *core) absorb(g gossip, now time.Time) map[string]bool {
	if g.AboutYou != nil {
		c.refute(*g.AboutYou)
	}
	if g.News == nil {
		return nil
	}
	return c.mergeNews(*g.News, now)
}

// collect fills a message with news.
func (c *core) collect(near bool, skip map[string]bool) *news {
	n := &news{}
	facts, bulk := packedNews{}, packedNews{}
	c.collectFacts(&facts, c.facts, factBudget, c.sendLimit(factSends), skip)
	n.VMs, n.Backends = facts.VMs, facts.Backends
	c.collectFacts(&bulk, c.bulk, bulkBudget, c.sendLimit(bulkSends), skip)
	n.Packed = bulk.pack()
	queue := c.farLoads
	if near {
		queue = c.nearLoads
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

func (c *core) collectFacts(n *packedNews, queue *newsQueue, budget, limit int, skip map[string]bool) {
	room := budget
	queue.take(limit, func(key string) taken {
		if skip[key] {
			return takenNot
		}
		return c.addFact(n, key, &room, budget)
	})
}

// addFact puts one fact into the message. The first always goes in, so that one
// larger than the budget is not stuck.
func (c *core) addFact(n *packedNews, key string, room *int, budget int) taken {
	item, ok := c.fact(key)
	if !ok {
		return takenGone
	}
	raw, err := json.Marshal(item)
	if err != nil {
		return takenGone
	}
	if len(raw) > *room && *room != budget {
		return takenFull
	}
	*room -= len(raw)
	switch v := item.(type) {
	case laburnumlever.VM:
		n.VMs = append(n.VMs, v)
	case backendNews:
		n.Backends = append(n.Backends, v)
	case inventoryNews:
		n.Inventories = append(n.Inventories, v)
	}
	return takenSent
}

// fact reads the present state of a queued fact.
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
		n := r.news
		if key[0] == 'b' {
			n.Announcement = nil
		}
		return n, true
	default:
		r, ok := c.backends.records[laburnumlever.BackendID(id)]
		if !ok {
			return nil, false
		}
		return r.newsOfInventory(), true
	}
}

// relaying says what of the news is passed on.
type relaying int

const (
	relayNone relaying = iota
	// relayUrgent leaves out announcements and inventories: whoever else lacks them
	// pulls them too, and in whole they would crowd out the changes on their way.
	relayUrgent
	relayAll
)

// mergeNews takes in news and passes on what is new. It returns the
// keys of all that was in it.
func (c *core) mergeNews(n news, now time.Time) map[string]bool {
	seen := map[string]bool{}
	c.mergeFacts(packedNews{VMs: n.VMs, Backends: n.Backends}, now, relayAll, seen)
	c.mergeFacts(unpack(n.Packed), now, relayAll, seen)
	c.mergeLoads(n.Loads, now, seen)
	return seen
}

func (c *core) mergeFacts(n packedNews, now time.Time, relay relaying, seen map[string]bool) {
	for _, vm := range n.VMs {
		seen[vmKey(vm.ID)] = true
		if c.mergeVM(vm, now) && relay != relayNone {
			c.facts.push(vmKey(vm.ID))
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
		seen["l"+string(known.news.Backend)] = true
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
	patience := time.Duration(hearsayPatience * float64(c.suspicion()))
	if !c.vms.merge(vm, now, patience) {
		if r, ok := c.vms.records[vm.ID]; ok && vm.State != laburnumlever.VMAlive && supersedesVM(r.vm, vm) {
			// Whoever says this has missed the refutation: tell it.
			c.facts.push(vmKey(vm.ID))
		}
		return false
	}
	c.factsChanged = true
	return true
}

// suspicion is how long a suspected VM has to refute: the news must reach it and
// its answer come back, which takes some rounds for each doubling of the fleet.
func (c *core) suspicion() time.Duration {
	doublings := math.Log2(float64(len(c.vms.records) + 2))
	return suspicionBase + time.Duration(doublings*float64(suspicionStep))
}
