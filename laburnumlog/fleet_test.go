package laburnumlog_test

import (
	"fmt"
	"slices"
	"sync"

	"laburnumlever/laburnumlog"
	"laburnumlever/laburnumquorum"

	"github.com/cespare/xxhash/v2"
)

const (
	// secondTicks is the number of ticks per second.
	secondTicks = 10
	// joinRequestTicks is how long a replica has no leader before it asks to join.
	joinRequestTicks = 30
	// replaceTicks is how long a voter is silent before it may be replaced: half of the 4 s
	// within which a returning VM has to be a voter again, at 100 ms a tick.
	replaceTicks = 20
	// recoverTicks is the time limit for a leader to be elected and commit once all VMs are
	// back. The settings promise 12 s; elections and repairs take a few seconds.
	recoverTicks = 120
)

// vmFaults are the faults of a VM that are not part of its replica's state.
type vmFaults struct {
	partition       int  // only VMs with the same number reach each other
	down            bool // powered off
	dropsAppends    bool // appends and snapshots to it are lost, other messages arrive
	diskHung        bool // its disk completes no write and returns no error
	leaderlessTicks int  // time without a known leader
}

// fleet is a simulation in which VMs are partitioned, lost and replaced, and the leader changes
// the members by the policy. It verifies that the log tolerates the number of lost disks that
// the settings promise.
type fleet struct {
	*simulation
	faults []vmFaults
	// target is the number of voters that the policy aims at. Each VM has its own planner.
	target   int
	planners []laburnumquorum.Planner
	// losses is how many disks may be lost at once, lossesUsed how many have been lost since the
	// log last had all its voters.
	losses, lossesUsed int
	ticks              int
	nextVM             int  // number of the last VM name given out
	confirmed          bool // whether a command has been committed
	// verified holds the disk states that are known to tolerate the losses; nil while such a
	// check runs.
	verified *verifiedStates
	// pause, if set, stops exchange as soon as it returns true.
	pause func() bool
}

// verifiedStates is a set of state fingerprints that fleets of the same size may share.
type verifiedStates struct {
	mu   sync.Mutex
	seen map[uint64]bool
}

// add adds the state and reports whether it is new.
func (k *verifiedStates) add(key uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.seen[key] {
		return false
	}
	if k.seen == nil {
		k.seen = map[uint64]bool{}
	}
	k.seen[key] = true
	return true
}

func newFleet(n, losses int) *fleet {
	f := &fleet{
		simulation: newSimulation(n, 3, losses), faults: make([]vmFaults, n), losses: losses, nextVM: n, verified: &verifiedStates{},
		target: 2*losses + 1,
	}
	for range n {
		f.planners = append(f.planners, f.newPlanner())
	}
	return f
}

func (f *fleet) newPlanner() laburnumquorum.Planner {
	return laburnumquorum.NewPlanner(laburnumquorum.Policy{Target: f.target, ReplaceTicks: replaceTicks})
}

func (f *fleet) clone() *fleet {
	c := *f
	c.simulation = f.simulation.clone()
	c.faults, c.planners = slices.Clone(f.faults), slices.Clone(f.planners)
	c.pause = nil
	return &c
}

func (f *fleet) reaches(a, b int) bool {
	from, to := f.faults[a], f.faults[b]
	return !from.down && !to.down && from.partition == to.partition
}

func (f *fleet) index(id laburnumlog.ReplicaID) int {
	return slices.IndexFunc(f.replicas, func(r *replica) bool { return r.id == id })
}

// leader returns the index of the leader of the highest term, or -1 if there is none.
func (f *fleet) leader() int {
	best := -1
	for i, r := range f.replicas {
		if !f.faults[i].down && r.log.Role() == laburnumlog.Leader && (best < 0 || r.log.Term() > f.replicas[best].log.Term()) {
			best = i
		}
	}
	return best
}

// tick advances all VMs by one tick, a tenth of a second.
func (f *fleet) tick() {
	f.ticks++
	for i, r := range f.replicas {
		if f.faults[i].down {
			continue
		}
		f.meetOthers(i)
		f.step(r, laburnumlog.Tick{})
		f.faults[i].leaderlessTicks++
		if r.log.Leader() != "" {
			f.faults[i].leaderlessTicks = 0
		}
		f.reconcileMembers(i)
	}
	f.exchange()
	f.resetLossesOnceRepaired()
}

// reconcileMembers lets a leader start the next membership change, if one is due.
func (f *fleet) reconcileMembers(i int) {
	l := f.replicas[i].log
	if l.Role() != laburnumlog.Leader {
		return
	}
	change, due := f.planners[i].Next(laburnumquorum.View{
		Configuration: l.Configuration(), Pending: l.ChangePending(), Commit: l.Commit(),
		Progress: l.Progress, Joiners: f.joiners(i),
	})
	if due {
		f.step(f.replicas[i], laburnumlog.ChangeMembers{Configuration: change.To})
	}
}

// joiners returns the replicas that ask to join: those that are not members, or have had no
// leader for joinRequestTicks.
func (f *fleet) joiners(leader int) []laburnumlog.Member {
	var list []laburnumlog.Member
	for i, r := range f.replicas {
		_, in := r.log.Configuration().Find(r.id)
		if i != leader && f.reaches(i, leader) && (!in || f.faults[i].leaderlessTicks > joinRequestTicks) {
			list = append(list, r.member())
		}
	}
	return list
}

// exchange delivers messages and syncs writes until nothing is left. After each sync it checks
// that the disks' state tolerates the losses that the settings promise.
func (f *fleet) exchange() {
	for moved := true; moved; {
		moved = false
		for len(f.network) > 0 {
			if f.paused() {
				return
			}
			moved = true
			f.deliverFirst()
		}
		for i, r := range f.replicas {
			for len(r.unsynced) > 0 && !f.faults[i].down && !f.faults[i].diskHung {
				if f.paused() {
					return
				}
				moved = true
				f.sync(r)
				f.checkLossTolerance()
			}
		}
	}
}

func (f *fleet) paused() bool { return f.pause != nil && f.pause() }

func (f *fleet) deliverFirst() {
	m := f.network[0]
	f.network = f.network[1:]
	from, to := f.index(m.From), f.index(m.To)
	if from < 0 || to < 0 || !f.reaches(from, to) {
		return
	}
	if f.faults[to].dropsAppends && (m.Kind == laburnumlog.MessageAppend || m.Kind == laburnumlog.MessageSnapshot) {
		return
	}
	f.step(f.replicas[to], laburnumlog.Receive{Message: m})
	f.replaceSuperseded(to)
}

// meetOthers lets a replica that has just started, is no member or has no leader meet all others.
func (f *fleet) meetOthers(i int) {
	r := f.replicas[i]
	_, in := r.log.Configuration().Find(r.id)
	due := f.ticks%secondTicks == 0 && (!in || f.faults[i].leaderlessTicks > joinRequestTicks)
	if r.met && !due {
		return
	}
	r.met = true
	for j, other := range f.replicas {
		if i != j && f.reaches(i, j) {
			f.step(r, laburnumlog.Met{Start: other.start()})
			f.step(other, laburnumlog.Met{Start: r.start()})
		}
	}
}

func (r *replica) start() laburnumlog.Start {
	return laburnumlog.Start{Replica: r.id, Boot: r.log.Boot()}
}

// replaceSuperseded starts a replica with an empty disk in place of one that runs on an older copy.
func (f *fleet) replaceSuperseded(i int) {
	if f.replicas[i].superseded {
		f.newDisk(f.replicas[i])
	}
}

// proposeChange proposes a command as an operator does. The first one waits until the log has
// all its voters.
func (f *fleet) proposeChange() {
	i := f.leader()
	if i < 0 {
		return
	}
	r := f.replicas[i]
	if len(f.committedVoters(r)) < f.target && !f.confirmed {
		return
	}
	before := r.log.LastIndex()
	f.propose(r, 1)
	f.exchange()
	if r.log.Commit() > before {
		f.confirmed = true
	}
}

// committedVoters returns the voters of the last configuration that the replica knows to be
// committed.
func (f *fleet) committedVoters(r *replica) []laburnumlog.Member {
	return r.log.ConfigurationAt(r.log.Commit()).Voters()
}

// resetLossesOnceRepaired resets the count of losses once the log has all its voters again.
func (f *fleet) resetLossesOnceRepaired() {
	i := f.leader()
	if i < 0 || f.lossesUsed == 0 {
		return
	}
	l := f.replicas[i].log
	if l.ChangePending() || len(l.Configuration().Voters()) < f.target {
		return
	}
	for _, m := range l.Configuration().Voters() {
		if f.dead[m.ID] {
			return
		}
	}
	f.lossesUsed = 0
}

// runSecond advances the fleet by one second, with some proposals during it.
func (f *fleet) runSecond() {
	for i := range secondTicks {
		f.tick()
		if i%3 == 0 {
			f.proposeChange()
		}
	}
}

// untilMembersChange advances time until some replica appends a new configuration, and stops
// right there, with messages and writes still pending. It returns false if that does not happen
// within four seconds.
func (f *fleet) untilMembersChange() bool {
	before := f.newestConfiguration()
	f.pause = func() bool { return f.newestConfiguration() > before }
	defer func() { f.pause = nil }()
	for range 4 * secondTicks {
		f.tick()
		f.proposeChange()
		if f.paused() {
			return true
		}
	}
	return false
}

func (f *fleet) newestConfiguration() uint64 {
	var newest uint64
	for _, r := range f.replicas {
		newest = max(newest, r.log.ConfigurationIndex())
	}
	return newest
}

// restartAll restarts all VMs at once, as after a power loss, and removes all faults.
func (f *fleet) restartAll() {
	f.network = nil
	for i, r := range f.replicas {
		f.faults[i], f.planners[i] = vmFaults{}, f.newPlanner()
		f.restart(r)
	}
}

// loseDiskOf empties the VM's disk, unless that would exceed the tolerated losses.
func (f *fleet) loseDiskOf(i int) bool {
	if f.lossesUsed >= f.losses {
		return false
	}
	f.lossesUsed++
	f.newDisk(f.replicas[i])
	return true
}

// rollBackDiskOf replaces the VM's disk by an older copy, unless that would exceed the tolerated
// losses.
func (f *fleet) rollBackDiskOf(i int) bool {
	if f.lossesUsed >= f.losses {
		return false
	}
	f.lossesUsed++
	f.rollBack(f.replicas[i])
	return true
}

// replaceVM removes the VM permanently and adds an empty one at another address.
func (f *fleet) replaceVM(i int) bool {
	if !f.loseDiskOf(i) {
		return false
	}
	r := f.replicas[i]
	f.nextVM++
	r.vm, r.incarnation = string(rune('a'+f.nextVM)), 0
	f.newDisk(r)
	return true
}

// checkLossTolerance verifies the settings' promise for the current disks: if any of the
// tolerated number of VMs lose their disks and all others lose power, the log elects a leader
// once all are back and still holds every committed entry, whether the lost ones come back empty or
// stay away.
func (f *fleet) checkLossTolerance() {
	if !f.confirmed || f.verified == nil || f.problem != "" || !f.verified.add(f.fingerprint()) {
		return
	}
	f.checkRecovery(nil, false)
	for _, lost := range combinations(len(f.replicas), f.losses-f.lossesUsed) {
		f.checkRecovery(lost, false)
		f.checkRecovery(lost, true)
	}
}

// checkRecovery checks the recovery after all VMs have lost power and some of them their disks. With
// stayAway, the latter do not come back.
func (f *fleet) checkRecovery(lost []int, stayAway bool) {
	c := f.clone()
	c.verified = nil
	for _, i := range lost {
		c.newDisk(c.replicas[i])
	}
	c.restartAll()
	for _, i := range lost {
		c.faults[i].down = stayAway
	}
	newest := c.newestCommitted()
	for range recoverTicks {
		c.tick()
		if i := c.leader(); i >= 0 && c.replicas[i].applied >= newest {
			before := c.replicas[i].log.LastIndex()
			c.propose(c.replicas[i], 1)
			c.exchange()
			if c.replicas[i].log.Commit() > before {
				break
			}
		}
		if c.problem != "" {
			break
		}
	}
	i := c.leader()
	switch {
	case c.problem != "":
		f.fail("%s, after the disks of %s were lost (stay away: %t): %s", f.describe(), f.vmsOf(lost), stayAway, c.problem)
	case i < 0 || c.replicas[i].log.Commit() <= newest:
		f.fail("no leader that commits after the disks of %s were lost (stay away: %t), with %s", f.vmsOf(lost), stayAway, f.describe())
	}
}

// newestCommitted returns the last index that any replica has ever known to be committed. The
// committed indexes are contiguous, and the bootstrap snapshot has the first one.
func (f *fleet) newestCommitted() uint64 { return uint64(len(f.committed)) + 1 }

func (f *fleet) vmsOf(list []int) []string {
	vms := make([]string, 0, len(list))
	for _, i := range list {
		vms = append(vms, f.replicas[i].vm)
	}
	return vms
}

func (f *fleet) describe() string {
	text := ""
	for _, r := range f.replicas {
		recovered := laburnumlog.New(r.id, r.disk)
		text += fmt.Sprintf("[%s last %d/%d: %s] ", r.id, recovered.TermAt(recovered.LastIndex()), recovered.LastIndex(), memberList(recovered.Configuration()))
	}
	return fmt.Sprintf("%scommitted %d, %d of %d tolerated losses used", text, f.newestCommitted(), f.lossesUsed, f.losses)
}

func memberList(c laburnumlog.Configuration) string {
	text := ""
	for _, m := range c.Members {
		text += string(m.ID)
		switch {
		case m.Learner:
			text += "(learner)"
		case m.Joining:
			text += "(joining)"
		case m.Leaving:
			text += "(leaving)"
		}
		text += " "
	}
	return text
}

// combinations returns all ways to pick k of n.
func combinations(n, k int) [][]int {
	if k <= 0 {
		return nil
	}
	var all [][]int
	var pick func(from int, chosen []int)
	pick = func(from int, chosen []int) {
		if len(chosen) == k {
			all = append(all, slices.Clone(chosen))
			return
		}
		for i := from; i < n; i++ {
			pick(i+1, append(chosen, i))
		}
	}
	pick(0, nil)
	return all
}

// fingerprint returns the same hash for disks that differ only in how many commands came
// before: indexes and terms are replaced by their ranks, and replica IDs by their VM's index,
// or by -1 for a lost replica.
func (f *fleet) fingerprint() uint64 {
	newest := f.newestCommitted()
	indexes, terms := []uint64{newest}, []uint64(nil)
	for _, r := range f.replicas {
		index, term := lastEntry(r.disk)
		indexes = append(indexes, index)
		terms = append(terms, r.disk.Hard.Term, term)
		for _, e := range r.disk.Entries {
			if e.Configuration != nil {
				indexes = append(indexes, e.Index)
			}
		}
	}
	slices.Sort(indexes)
	slices.Sort(terms)
	indexes, terms = slices.Compact(indexes), slices.Compact(terms)
	text := []byte{rank(indexes, newest), byte(f.lossesUsed)}
	for _, r := range f.replicas {
		index, term := lastEntry(r.disk)
		text = append(text, '|', rank(terms, r.disk.Hard.Term), byte(f.index(r.disk.Hard.Vote)), rank(indexes, index), rank(terms, term))
		text = f.appendMembers(text, r.disk.Snapshot.Configuration)
		for _, e := range r.disk.Entries {
			if e.Configuration != nil {
				text = f.appendMembers(append(text, rank(indexes, e.Index)), *e.Configuration)
			}
		}
	}
	return xxhash.Sum64(text)
}

func rank(sorted []uint64, n uint64) byte {
	i, _ := slices.BinarySearch(sorted, n)
	return byte(i)
}

// lastEntry returns the index and term of the last entry on a disk.
func lastEntry(disk laburnumlog.Recovered) (index, term uint64) {
	if n := len(disk.Entries); n > 0 && disk.Entries[n-1].Index > disk.Snapshot.Index {
		return disk.Entries[n-1].Index, disk.Entries[n-1].Term
	}
	return disk.Snapshot.Index, disk.Snapshot.Term
}

// appendMembers appends each member's VM index and kind; a lost replica has the index -1.
func (f *fleet) appendMembers(text []byte, c laburnumlog.Configuration) []byte {
	for _, m := range c.Members {
		kind := byte('v')
		switch {
		case m.Learner:
			kind = 'l'
		case m.Joining:
			kind = 'j'
		case m.Leaving:
			kind = 'o'
		}
		text = append(text, byte(f.index(m.ID)), kind)
	}
	return append(text, ';')
}
