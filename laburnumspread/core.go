package laburnumspread

import (
	"math/rand/v2"
	"time"

	"laburnumlever"
)

const (
	// tickPeriod is how often a VM asks that has no catalogue, or knows that there
	// is a newer one.
	tickPeriod = 250 * time.Millisecond
	// comparePeriod is how often the others compare.
	comparePeriod = time.Second
	// fanout VMs are offered a new revision at once.
	fanout = 4
	// transferGrace is how long a revision that was asked for counts as coming: above
	// a transfer of hundreds of kilobytes, far below the seven seconds allowed.
	transferGrace = 500 * time.Millisecond
	offerTimeout  = time.Second
	bodyTimeout   = 3 * time.Second
)

// The methods between VMs.
const (
	methodOffer = "catalogue-offer"
	methodPush  = "catalogue-push"
	methodPull  = "catalogue-pull"
)

// offer tells the revision that a VM holds; 0 means none.
type offer struct {
	Revision uint64 `json:"revision"`
}

// offerAnswer tells the other's, and whether it wants the offered one.
type offerAnswer struct {
	Revision uint64 `json:"revision"`
	Wants    bool   `json:"wants,omitempty"`
}

// message is a message that a step asks for.
type message struct {
	address string
	method  string
	offer   offer
	body    *catalogueBody
}

// core decides what to send; it has no goroutine, network or clock.
type core struct {
	random  *rand.Rand
	current *catalogueBody
	// expectedRevision is the newest revision asked for. While it is not here by
	// comingUntil the body was lost, and waiting for the next offer would add
	// a second at every loss.
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

// adopt holds a newer catalogue and offers it on; an older one changes nothing.
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

// tick compares with a random VM.
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

// requestOnce tells whether a revision should be sent here, and notes that it will be.
func (c *core) requestOnce(revision uint64, now time.Time) bool {
	if revision <= c.expectedRevision && now.Before(c.expectedUntil) {
		return false
	}
	c.expectedRevision = revision
	c.expectedUntil = now.Add(transferGrace)
	return true
}

// pick chooses living VMs at random.
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
