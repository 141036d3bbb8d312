package laburnummembership

import (
	"encoding/json"
	"time"

	"laburnumlever"
)

// join pulls all facts from the seeds until one has answered. After that it pulls from seeds
// whose address no living VM has, so that two halves of a fleet that have forgotten each other
// merge again.
func (c *core) join(now time.Time) {
	if now.Before(c.joinAt) || c.self.State == laburnumlever.VMLeft {
		return
	}
	c.joinAt = now.Add(joinPeriod)
	if c.joined {
		c.joinAt = now.Add(reconnectPeriod)
	}
	for _, address := range c.seeds {
		if address != c.self.PeerAddress && !c.isLivingAddress(address) {
			c.pull(address, nil)
		}
	}
}

func (c *core) isLivingAddress(address string) bool {
	for _, r := range c.vms.records {
		if r.vm.PeerAddress == address && isLiving(r.vm.State) {
			return true
		}
	}
	return false
}

// reconnectDown contacts one VM that is down: after a partition each side holds the other as
// down, and otherwise neither would contact the other again.
func (c *core) reconnectDown(now time.Time) {
	if now.Before(c.reconnectAt) || c.self.State == laburnumlever.VMLeft {
		return
	}
	c.reconnectAt = now.Add(reconnectPeriod)
	down := c.vms.sorted(func(r *vmRecord) bool { return r.vm.State == laburnumlever.VMDown })
	if len(down) == 0 {
		return
	}
	r := down[c.random.IntN(len(down))]
	c.emit(send{Address: r.vm.PeerAddress, Method: methodGossip, Params: c.buildMessage(r, nil), Timeout: probeTimeout},
		pending{vm: r.vm.ID})
}

// compareDigest pulls what gossip missed once the digests have differed for some time.
func (c *core) compareDigest(g gossip, address string, now time.Time) {
	if g.Digest == c.digest.sum() {
		// Does not reset the count: the VMs of a zone may agree with each other and
		// all lack what the other zones have.
		return
	}
	c.mismatches++
	period := syncPeriod + time.Duration(len(c.vms.records))*syncStep
	if c.mismatches < syncMismatches || now.Sub(c.syncAt) < period {
		return
	}
	c.mismatches = 0
	c.syncAt = now
	c.pull(address, c.digest.pack())
}

func (c *core) pull(address string, buckets []byte) {
	request := syncRequest{From: c.self, Buckets: buckets}
	c.emit(send{Address: address, Method: methodSync, Params: request, Timeout: syncTimeout}, pending{})
}

// pullAnswered handles the answer to a pull.
func (c *core) pullAnswered(token uint64, answer syncAnswer, now time.Time) {
	if _, ok := c.takePending(token); !ok {
		return
	}
	c.joined = true
	n := unpack(answer.Packed)
	relay := relayUrgent
	if n.size() > relayLimit {
		relay = relayNone
		c.syncAt = time.Time{} // much was missed: pull again as soon as digests differ
	}
	c.mergeFacts(n, now, relay, map[string]bool{})
	if c.mergeVM(answer.From, now) {
		c.factQueue.push(vmKey(answer.From.ID))
	}
}

// answerPull returns the facts of the requested buckets, within syncBudget, or all facts for a
// request without buckets.
func (c *core) answerPull(request syncRequest, now time.Time) syncAnswer {
	c.contactAt = now
	if c.mergeVM(request.From, now) {
		c.factQueue.push(vmKey(request.From.ID))
	}
	var answer packedUpdates
	remaining := syncBudget
	whole := len(request.Buckets) != bucketCount*bucketBytes
	for _, key := range c.factKeys() {
		if !whole && !c.digest.differs(request.Buckets, bucketOf(bucketKey(key))) {
			continue
		}
		if !whole && remaining < 0 {
			break
		}
		remaining -= c.addFullFact(&answer, key)
	}
	return syncAnswer{From: c.self, Packed: answer.pack()}
}

// bucketKey returns the key under which a fact is digested: announcements and inventories are
// digested with their backend server.
func bucketKey(key string) string {
	if key[0] == 'i' || key[0] == 'a' {
		return "b" + key[1:]
	}
	return key
}

// factKeys returns the keys of all facts, each announcement before the inventory of the same
// backend server. The backend servers start at a random one, so that a truncated answer sends
// different ones at each pull.
func (c *core) factKeys() []string {
	var keys []string
	vms := c.vms.sorted(func(*vmRecord) bool { return true })
	for i := range vms {
		keys = append(keys, vmKey(vms[i].vm.ID))
	}
	backends := c.backends.sorted()
	if len(backends) == 0 {
		return keys
	}
	first := c.random.IntN(len(backends))
	for i := range backends {
		id := backends[(first+i)%len(backends)].state.Backend
		keys = append(keys, announcementKey(id), inventoryKey(id))
	}
	return keys
}

// addFullFact adds a complete fact and returns its size in bytes.
func (c *core) addFullFact(n *packedUpdates, key string) int {
	item, _ := c.fact(key)
	if key[0] == 'i' {
		item = c.backends.records[laburnumlever.BackendID(key[1:])].fullInventory()
	}
	switch v := item.(type) {
	case backendState:
		n.Backends = append(n.Backends, v)
	case laburnumlever.VM:
		n.VMs = append(n.VMs, v)
	case inventoryUpdate:
		if v.Sequence == 0 {
			return 0
		}
		n.Inventories = append(n.Inventories, v)
	}
	return jsonBytes(item)
}

func jsonBytes(v any) int {
	raw, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(raw)
}
