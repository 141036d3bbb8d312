package laburnumlog

import (
	"slices"
	"strings"

	"laburnumlever"
)

const (
	// announceTicks is the number of ticks between two announcements of a start that is not
	// confirmed yet.
	announceTicks = 2
	// spreadTicks is the same for a confirmed start, to VMs that have not registered it.
	spreadTicks = 10
	// witnessTicks is how long a start waits for VMs that do not answer: the longest election
	// timeout, which passes meanwhile.
	witnessTicks = 2 * electionTicks
	// forgetTicks is how long a VM without a voter may be silent before its start is forgotten.
	forgetTicks = 600
)

// VM returns the VM of the replica.
func (id ReplicaID) VM() laburnumlever.VMID {
	if i := strings.LastIndexByte(string(id), '/'); i >= 0 {
		id = id[:i]
	}
	return laburnumlever.VMID(id)
}

// Start is one start of a replica.
type Start struct {
	Replica ReplicaID `json:"replica"`
	Boot    uint64    `json:"boot"`
	Address string    `json:"address,omitempty"`
}

// supersedes reports whether the start shows that another one of the same replica was made from an
// older copy of its disk.
func (s Start) supersedes(other Start) bool {
	return s.Replica == other.Replica && s.Boot != other.Boot && s.Boot>>nonceBits >= other.Boot>>nonceBits
}

// Starts are the latest known starts of other VMs, one for each VM. It is immutable.
type Starts []Start

// Of returns the latest known start on a VM.
func (s Starts) Of(vm laburnumlever.VMID) (Start, bool) {
	i := slices.IndexFunc(s, func(e Start) bool { return e.Replica.VM() == vm })
	if i < 0 {
		return Start{}, false
	}
	return s[i], true
}

// WithStart returns a copy in which the start replaces an earlier one of its VM.
func (s Starts) WithStart(start Start) Starts { return append(s.Without(start.Replica.VM()), start) }

// Without returns a copy without the VM.
func (s Starts) Without(vm laburnumlever.VMID) Starts {
	return slices.DeleteFunc(slices.Clone(s), func(e Start) bool { return e.Replica.VM() == vm })
}

// startCheck decides whether this start may take part in elections and acknowledge entries. A disk
// that was rolled back to an older copy has lost votes and entries that its replica has promised to
// keep, and can't tell by itself. So each start is registered by the other VMs with a disk before
// the replica promises anything; one of them that knows a start which the disk doesn't know shows
// that the disk was rolled back.
type startCheck struct {
	// witnesses are the replicas on other VMs that the disk knows of.
	witnesses []ReplicaID
	losses    int
	// registered are the replicas that have this start on disk.
	registered map[ReplicaID]bool
	confirmed  bool
}

// WithTolerance sets how many disks may be lost or rolled back to an older copy at once. By default
// it is 0, and starts are not registered.
func WithTolerance(losses int) Option { return func(l *Log) { l.start.losses = losses } }

// WithForgetTicks sets after how many silent ticks the start of a VM without a voter is forgotten.
func WithForgetTicks(n int) Option { return func(l *Log) { l.forgetTicks = uint64(max(1, n)) } }

// newStartCheck returns the check of this start, by the starts and voters on the disk.
func (l *Log) newStartCheck() startCheck {
	c := startCheck{losses: l.start.losses, registered: map[ReplicaID]bool{}}
	for _, m := range l.Configuration().Voters() {
		if m.ID.VM() != l.id.VM() {
			c.witnesses = append(c.witnesses, m.ID)
		}
	}
	for _, e := range l.hard.Starts {
		if !slices.ContainsFunc(c.witnesses, func(w ReplicaID) bool { return w.VM() == e.Replica.VM() }) {
			c.witnesses = append(c.witnesses, e.Replica)
		}
	}
	first := l.boot>>nonceBits <= 1 // its replica has not promised anything yet
	c.confirmed = first || c.losses == 0 || len(c.witnesses) == 0
	return c
}

// complete reports whether enough VMs have registered the start: all that the disk knows of but for
// the tolerated losses. Two starts from the same copy of a disk then have a witness in common, if
// there are more than twice as many witnesses as tolerated losses. Some may be gone for good without
// anybody knowing, so after witnessTicks as many as an election takes are enough.
func (c *startCheck) complete(waited uint64) bool {
	registered := 0
	for _, w := range c.witnesses {
		if c.registered[w] {
			registered++
		}
	}
	return registered >= len(c.witnesses)-c.losses || waited >= witnessTicks && len(c.registered) >= c.losses
}

// StartConfirmed reports whether this replica takes part in elections and acknowledges entries.
func (l *Log) StartConfirmed() bool { return l.start.confirmed }

// UnregisteredBy returns the witnesses that have not registered this start.
func (l *Log) UnregisteredBy() []ReplicaID {
	return slices.DeleteFunc(slices.Clone(l.start.witnesses), func(w ReplicaID) bool {
		return l.start.registered[w]
	})
}

// Starts returns the latest known starts of other VMs.
func (l *Log) Starts() Starts { return l.hard.Starts }

// meet records a replica that runs on another VM, and announces this start to it.
func (l *Log) meet(ev Met) {
	vm := ev.Start.Replica.VM()
	if l.start.losses == 0 || vm == l.id.VM() {
		return
	}
	l.heardAt[vm] = l.ticks
	known, ok := l.hard.Starts.Of(vm)
	if !ok || known.Replica != ev.Start.Replica || known.Boot>>nonceBits < ev.Start.Boot>>nonceBits || known.Address != ev.Start.Address {
		if !known.supersedes(ev.Start) {
			l.setStarts(l.hard.Starts.WithStart(ev.Start))
		}
	}
	if ev.Unaware {
		l.registeredAt(ev.Start.Replica)
		return
	}
	if !l.start.registered[ev.Start.Replica] {
		l.announce(ev.Start.Replica)
	}
}

func (l *Log) setStarts(s Starts) {
	l.hard.Starts = s
	l.startsChanged = true
}

func (l *Log) announce(to ReplicaID) {
	l.send(Message{Kind: MessageStart, To: to, Starts: l.hard.Starts})
}

// announceAll announces this start to all VMs that have not registered it.
func (l *Log) announceAll() {
	if l.start.losses == 0 {
		return
	}
	for _, e := range l.hard.Starts {
		if !l.start.registered[e.Replica] {
			l.announce(e.Replica)
		}
	}
	for _, w := range l.start.witnesses {
		if _, known := l.hard.Starts.Of(w.VM()); !known && !l.start.registered[w] {
			l.announce(w)
		}
	}
}

func (l *Log) tickStarts() {
	l.ticks++
	every := uint64(announceTicks)
	if l.start.confirmed {
		every = spreadTicks
	}
	if l.ticks%every == 0 {
		l.announceAll()
		l.forgetStarts()
	}
	l.confirmStart()
}

// forgetStarts forgets VMs that are gone. A VM that is cut off itself forgets none.
func (l *Log) forgetStarts() {
	if !l.start.confirmed || !l.hasLeader() {
		return
	}
	for _, e := range l.hard.Starts {
		vm := e.Replica.VM()
		isVoter := slices.ContainsFunc(l.Configuration().Voters(), func(m Member) bool { return m.ID.VM() == vm })
		if !isVoter && l.ticks-l.heardAt[vm] > l.forgetTicks {
			l.setStarts(l.hard.Starts.Without(vm))
		}
	}
}

func (l *Log) onStart(m Message) {
	announced := Start{Replica: m.From, Boot: m.Boot}
	known, _ := l.hard.Starts.Of(m.From.VM())
	if known.supersedes(announced) {
		l.send(Message{Kind: MessageStartAnswer, To: m.From, Announced: m.Boot, Reject: true})
		return
	}
	if known.Replica == announced.Replica {
		announced.Address = known.Address
	}
	if known != announced {
		l.setStarts(l.hard.Starts.WithStart(announced))
	}
	l.learnStarts(m.Starts)
	l.sendDurable(Message{Kind: MessageStartAnswer, To: m.From, Announced: m.Boot, Starts: l.hard.Starts})
}

func (l *Log) onStartAnswer(m Message) {
	switch {
	case m.Announced != l.boot:
	case m.Reject:
		l.out.Superseded = true
	default:
		l.learnStarts(m.Starts)
		l.registeredAt(m.From)
	}
}

func (l *Log) registeredAt(id ReplicaID) {
	l.start.registered[id] = true
	l.confirmStart()
}

func (l *Log) confirmStart() {
	if l.start.confirmed || l.out.Superseded || !l.start.complete(l.ticks) {
		return
	}
	l.start.confirmed = true
	if l.leader == "" {
		// A leader that works is heard before its followers would grant a pre-vote; after a restart of all VMs there is none to
		// wait for.
		l.timeout = l.elapsed + 1 + int(l.random%electionTicks)
	}
}

// learnStarts takes later starts that another VM knows: a VM that was down learns of those that it
// has missed. Which of two replicas on one VM is the later one only the VM itself can tell.
func (l *Log) learnStarts(starts Starts) {
	for _, e := range starts {
		if e.Replica.VM() == l.id.VM() {
			if e.supersedes(Start{Replica: l.id, Boot: l.boot}) {
				l.out.Superseded = true
			}
			continue
		}
		known, ok := l.hard.Starts.Of(e.Replica.VM())
		if !ok || known.Replica == e.Replica && e.Boot>>nonceBits > known.Boot>>nonceBits {
			l.setStarts(l.hard.Starts.WithStart(e))
		}
	}
}
