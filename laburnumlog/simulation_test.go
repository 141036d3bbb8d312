package laburnumlog_test

import (
	"fmt"
	"slices"

	"laburnumlever"
	"laburnumlever/laburnumlog"

	"github.com/cespare/xxhash/v2"
)

// replica is one VM in a simulation: its log, a disk with the synced state, and the writes
// that are not synced yet.
type replica struct {
	vm          string
	id          laburnumlog.ReplicaID
	incarnation int // number of disks that the VM has had
	boot        uint64
	log         *laburnumlog.Log
	disk        laburnumlog.Recovered
	unsynced    []laburnumlog.Write
	applied     uint64
	hash        uint64 // over all applied entries
	lastLedTerm uint64 // last term in which the replica was seen as leader
	// older is the disk from which the replica last started, olderBoot its count of starts.
	older     laburnumlog.Recovered
	olderBoot uint64
	// superseded is set once the replica is known to run on an older copy of its disk.
	superseded bool
	// met is set once the replica has met the others since its start.
	met bool
}

type committedEntry struct {
	entry laburnumlog.Entry
	hash  uint64
}

// position identifies a proposal in a leader's log.
type position struct{ index, term uint64 }

// simulation holds the replicas, the messages in flight and the committed entries. problem
// describes the first violated invariant.
type simulation struct {
	replicas  []*replica
	network   []laburnumlog.Message
	committed map[uint64]committedEntry
	leaders   map[uint64]laburnumlog.ReplicaID
	dead      map[laburnumlog.ReplicaID]bool
	// proposed holds, for each proposal, the highest index that was committed when it was made.
	proposed  map[position]uint64
	proposals int
	starts    uint32
	tolerance int
	problem   string
}

func newSimulation(n, voters, tolerance int) *simulation {
	s := &simulation{
		tolerance: tolerance,
		committed: map[uint64]committedEntry{}, leaders: map[uint64]laburnumlog.ReplicaID{},
		dead: map[laburnumlog.ReplicaID]bool{}, proposed: map[position]uint64{},
	}
	var first laburnumlog.Configuration
	for i := range n {
		r := &replica{vm: string(rune('a' + i))}
		s.replicas = append(s.replicas, r)
		s.newDisk(r)
		if i < voters {
			first = first.WithMember(r.member())
		}
	}
	for _, r := range s.replicas[:voters] {
		s.step(r, laburnumlog.Bootstrap{Configuration: first})
		r.applied = 1
		s.sync(r)
	}
	return s
}

func (r *replica) member() laburnumlog.Member {
	return laburnumlog.Member{ID: r.id, VM: laburnumlever.VMID(r.vm), Address: r.vm}
}

func (s *simulation) newDisk(r *replica) {
	if r.incarnation > 0 {
		s.dead[r.id] = true
	}
	r.incarnation++
	r.id = laburnumlog.ReplicaID(fmt.Sprintf("%s/%d", r.vm, r.incarnation))
	r.disk = laburnumlog.Recovered{}
	r.boot = 0
	s.restart(r)
}

// restart starts the replica from the state on its disk.
func (s *simulation) restart(r *replica) {
	r.older, r.olderBoot = cloneDisk(r.disk), r.boot
	r.boot++
	s.starts++
	r.unsynced, r.superseded, r.met = nil, false, false
	r.lastLedTerm = 0
	recovered := r.disk
	recovered.Entries = slices.Clone(r.disk.Entries)
	seed := xxhash.Sum64String(string(r.id)) + r.boot
	r.log = laburnumlog.New(r.id, recovered, laburnumlog.WithSeed(seed|1), laburnumlog.WithRetained(2), laburnumlog.WithBoot(laburnumlog.Boot(r.boot, s.starts)), laburnumlog.WithTolerance(s.tolerance))
	r.applied, r.hash = recovered.Snapshot.Index, hashOf(recovered.Snapshot.Data)
}

func cloneDisk(disk laburnumlog.Recovered) laburnumlog.Recovered {
	disk.Entries = slices.Clone(disk.Entries)
	return disk
}

// rollBack restarts the replica from the copy of its disk from before its last start.
func (s *simulation) rollBack(r *replica) {
	s.dead[r.id] = true
	r.disk, r.boot = r.older, r.olderBoot
	s.restart(r)
}

func hashOf(data []byte) uint64 {
	var h uint64
	_, _ = fmt.Sscanf(string(data), "%x", &h)
	return h
}

func (s *simulation) step(r *replica, ev laburnumlog.Event) laburnumlog.Output {
	out := r.log.Step(ev)
	if out.Fault != nil {
		s.fail("%s: %v", r.id, out.Fault)
	}
	r.superseded = r.superseded || out.Superseded
	s.network = append(s.network, out.Messages...)
	if out.Write != nil {
		r.unsynced = append(r.unsynced, *out.Write)
	}
	if out.Install != nil {
		r.applied, r.hash = out.Install.Index, hashOf(out.Install.Data)
		s.checkHash(r)
	}
	for _, e := range out.Committed {
		s.apply(r, e)
	}
	s.checkLeader(r)
	return out
}

func (s *simulation) apply(r *replica, e laburnumlog.Entry) {
	if e.Index != r.applied+1 {
		s.fail("%s applies index %d after %d", r.id, e.Index, r.applied)
	}
	r.applied = e.Index
	r.hash = xxhash.Sum64String(fmt.Sprintf("%x %d %d %s", r.hash, e.Index, e.Term, e.Data))
	if before, ok := s.proposed[position{e.Index, e.Term}]; ok && before >= e.Index {
		s.fail("%s commits proposal %d of term %d, though index %d was committed before it was made", r.id, e.Index, e.Term, before)
	}
	known, ok := s.committed[e.Index]
	if ok && (known.entry.Term != e.Term || string(known.entry.Data) != string(e.Data)) {
		s.fail("%s applies term %d at index %d, which is committed with term %d", r.id, e.Term, e.Index, known.entry.Term)
	}
	if !ok {
		s.committed[e.Index] = committedEntry{entry: e, hash: r.hash}
	}
	s.checkHash(r)
}

func (s *simulation) checkHash(r *replica) {
	if known, ok := s.committed[r.applied]; ok && known.hash != r.hash {
		s.fail("%s has a different state at index %d", r.id, r.applied)
	}
}

// checkLeader verifies that a term has only one leader, and that a new leader's log holds all
// entries committed so far.
func (s *simulation) checkLeader(r *replica) {
	if r.log.Role() != laburnumlog.Leader || r.lastLedTerm == r.log.Term() {
		return
	}
	r.lastLedTerm = r.log.Term()
	if other, ok := s.leaders[r.lastLedTerm]; ok && other != r.id {
		s.fail("term %d has two leaders, %s and %s", r.lastLedTerm, other, r.id)
	}
	s.leaders[r.lastLedTerm] = r.id
	for index, c := range s.committed {
		if index > r.log.SnapshotIndex() && r.log.TermAt(index) != c.entry.Term {
			s.fail("%s leads term %d but lacks committed entry %d", r.id, r.lastLedTerm, index)
		}
	}
}

func (s *simulation) fail(format string, args ...any) {
	if s.problem == "" {
		s.problem = fmt.Sprintf(format, args...)
	}
}

// sync makes the oldest unsynced write durable.
func (s *simulation) sync(r *replica) {
	if len(r.unsynced) == 0 {
		return
	}
	w := r.unsynced[0]
	r.unsynced = r.unsynced[1:]
	save(&r.disk, w)
	s.step(r, laburnumlog.Written{Seq: w.Seq})
	s.network = append(s.network, w.DeferredMessages...)
}

// save applies a write to the simulated disk as the data folder does.
func save(disk *laburnumlog.Recovered, w laburnumlog.Write) {
	if w.Empty {
		return
	}
	disk.Hard = w.Hard
	if w.Reset {
		disk.Entries = nil
	}
	if len(w.Entries) > 0 {
		first := w.Entries[0].Index
		kept := slices.DeleteFunc(slices.Clone(disk.Entries), func(e laburnumlog.Entry) bool { return e.Index >= first })
		disk.Entries = append(kept, w.Entries...)
	}
	if w.Snapshot != nil {
		disk.Snapshot = *w.Snapshot
	}
}
