package laburnumdistribution

import (
	"math/rand/v2"
	"time"

	"laburnumlever"
)

const (
	// tickPeriod is the interval at which a VM that has no catalogue, or knows of a newer one,
	// sends an offer.
	tickPeriod = 250 * time.Millisecond
	// comparePeriod is the interval at which all other VMs send an offer.
	comparePeriod = time.Second
	// fanout is the number of VMs that are offered a new revision at once.
	fanout = 4
	// transferGrace is how long a requested revision is expected before it is requested again:
	// above the time to transfer hundreds of kilobytes, far below the seven seconds allowed for
	// a revision to reach all VMs.
	transferGrace = 500 * time.Millisecond
	offerTimeout  = time.Second
	bodyTimeout   = 3 * time.Second
)

// The JSON-RPC methods between VMs.
const (
	methodOffer = "catalogue-offer"
	methodPush  = "catalogue-push"
	methodPull  = "catalogue-pull"
)

// offer announces the sender's revision; 0 means that it has none.
type offer struct {
	Revision uint64 `json:"revision"`
}

// offerAnswer is the receiver's revision, and whether it wants the offered one.
type offerAnswer struct {
	Revision uint64 `json:"revision"`
	Wants    bool   `json:"wants,omitempty"`
}

// message is an outgoing call. An offer carries a revision, a push a catalogue, a pull neither.
type message struct {
	address string
	method  string
	offer   offer
	body    *catalogueBody
}

// core makes all decisions, without goroutines, network or clock. Messages to be sent collect
// in outbox.
type core struct {
	random  *rand.Rand
	current *catalogueBody
	// expectedRevision is the newest revision requested. If it has not arrived by
	// expectedUntil, the transfer was lost, and the VM sends offers at every tick: waiting for
	// the next regular comparison would add a second for each loss.
	expectedRevision uint64
	expectedUntil    time.Time
	comparedAt       time.Time
	outbox           []message
}

func (c *core) revision() uint64 {
	if c.current == nil {
		return 0
	}
	return c.current.catalogue.Revision
}

// adopt makes a newer catalogue the current one and offers it to some VMs. It returns false for
// a catalogue that is not newer.
func (c *core) adopt(b *catalogueBody, vms []laburnumlever.VM) bool {
	if c.current != nil && b.catalogue.Revision <= c.current.catalogue.Revision {
		return false
	}
	c.current = b
	for _, vm := range c.pick(vms, fanout) {
		c.offerTo(vm.PeerAddress)
	}
	return true
}

// tick offers the current revision to a random VM if a comparison is due.
func (c *core) tick(now time.Time, vms []laburnumlever.VM) {
	waiting := c.expectedRevision > c.revision() && now.Before(c.expectedUntil)
	behind := c.current == nil || c.expectedRevision > c.revision()
	if waiting || (!behind && now.Sub(c.comparedAt) < comparePeriod) {
		return
	}
	c.comparedAt = now
	for _, vm := range c.pick(vms, 1) {
		c.offerTo(vm.PeerAddress)
	}
}

func (c *core) offerTo(address string) {
	c.outbox = append(c.outbox, message{address: address, method: methodOffer, offer: offer{Revision: c.revision()}})
}

// handleOffer answers an offer.
func (c *core) handleOffer(o offer, now time.Time) offerAnswer {
	answer := offerAnswer{Revision: c.revision()}
	if o.Revision > c.revision() && c.requestOnce(o.Revision, now) {
		answer.Wants = true
	}
	return answer
}

// handleOfferAnswer pushes to a VM that is behind, or pulls from one that is ahead.
func (c *core) handleOfferAnswer(address string, a offerAnswer, now time.Time) {
	switch {
	case a.Wants && c.current != nil:
		c.outbox = append(c.outbox, message{address: address, method: methodPush, body: c.current})
	case a.Revision > c.revision() && c.requestOnce(a.Revision, now):
		c.outbox = append(c.outbox, message{address: address, method: methodPull})
	}
}

// requestOnce tells whether to request a revision and, if so, marks it as expected. It returns
// false while a transfer of this or a newer revision is expected.
func (c *core) requestOnce(revision uint64, now time.Time) bool {
	if revision <= c.expectedRevision && now.Before(c.expectedUntil) {
		return false
	}
	c.expectedRevision = revision
	c.expectedUntil = now.Add(transferGrace)
	return true
}

// pick returns up to n living VMs, chosen at random.
func (c *core) pick(vms []laburnumlever.VM, n int) []laburnumlever.VM {
	var living []laburnumlever.VM
	for _, vm := range vms {
		if vm.State == laburnumlever.VMAlive || vm.State == laburnumlever.VMSuspect {
			living = append(living, vm)
		}
	}
	n = min(n, len(living))
	for i := range n {
		j := i + c.random.IntN(len(living)-i)
		living[i], living[j] = living[j], living[i]
	}
	return living[:n]
}

func (c *core) drainOutbox() []message {
	out := c.outbox
	c.outbox = nil
	return out
}
