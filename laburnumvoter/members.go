package laburnumvoter

import (
	"slices"

	"laburnumlever"
	"laburnumlever/laburnumlog"
	"laburnumlever/laburnumquorum"

	"github.com/go-kit/log/level"
)

const (
	// memberCheckTicks is the number of ticks between two runs of checkMembers.
	memberCheckTicks = 10
	// helloTicks is how many ticks a hello is valid, and how many a member is without a
	// leader before it sends one.
	helloTicks = 30
)

// joiner is a replica that has sent a hello.
type joiner struct {
	hello helloMessage
	seen  uint64 // the tick of the last hello
}

func (v *Voter) member() laburnumlog.Member {
	return laburnumlog.Member{ID: v.log.ID(), VM: v.self.ID, Address: v.self.PeerAddress}
}

func (v *Voter) configured() bool { return len(v.log.Configuration().Members) > 0 }

// checkMembers discards expired hellos. On the leader it notifies superseded replicas; on others
// it sends hellos while the replica is no member or has no leader, and bootstraps the log.
func (v *Voter) checkMembers() {
	for vm, j := range v.joiners {
		if v.ticks-j.seen > helloTicks {
			delete(v.joiners, vm)
		}
	}
	if v.isLeader() {
		v.notifySuperseded()
		return
	}
	_, in := v.log.Configuration().Find(v.log.ID())
	if !in || v.ticks-v.leaderSeen > helloTicks || !v.log.StartConfirmed() {
		v.sendHello()
	}
	if !v.configured() {
		v.maybeBootstrap()
	}
}

func (v *Voter) sendHello() {
	m := helloMessage{Member: v.member(), Boot: v.boot, Configured: v.configured(), KnowsStarts: true}
	for _, address := range v.helloAddresses() {
		v.peers.Notify(address, methodHello, m)
	}
}

func (v *Voter) helloAddresses() []string {
	var addresses []string
	known := slices.Concat(v.cfg.voters, v.voterList(), v.contacts())
	for _, voter := range known {
		if voter.PeerAddress != v.self.PeerAddress && !slices.Contains(addresses, voter.PeerAddress) {
			addresses = append(addresses, voter.PeerAddress)
		}
	}
	return addresses
}

func (v *Voter) contacts() []laburnumlever.Voter {
	if v.cfg.contacts == nil {
		return nil
	}
	return v.cfg.contacts()
}

func (v *Voter) onHello(h helloMessage) {
	if v.log == nil || h.Member.VM == v.self.ID {
		return
	}
	v.joiners[h.Member.VM] = joiner{hello: h, seen: v.ticks}
	v.addresses[h.Member.ID] = h.Member.Address
	if h.Standby {
		v.setStandby(h.Member.VM)
	}
	v.step(laburnumlog.Met{
		Start:   laburnumlog.Start{Replica: h.Member.ID, Boot: h.Boot, Address: h.Member.Address},
		Unaware: h.Answer && !h.KnowsStarts,
	})
	if v.log == nil { // it runs on an older copy of its folder
		return
	}
	if !h.Answer {
		_, in := v.log.Configuration().Find(h.Member.ID)
		v.peers.Notify(h.Member.Address, methodHello, helloMessage{
			Member: v.member(), Boot: v.boot, Configured: v.configured(), Answer: true, KnowsStarts: true,
			Standby: v.isLeader() && h.Configured && !in && !v.log.ChangePending(),
		})
	}
	v.resendBootstrap(h)
	if v.isLeader() {
		v.reconcileMembers()
	}
}

// maybeBootstrap creates the first configuration, on the first voter by name, once all
// voters have reported that they have none. All must answer: a voter that has not could already
// have a log, if this replica has lost its data folder or either of them was cut off.
func (v *Voter) maybeBootstrap() {
	voters := slices.Clone(v.cfg.voters)
	slices.SortFunc(voters, func(a, b laburnumlever.Voter) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	if len(voters) == 0 || voters[0].VM != v.self.ID {
		return
	}
	configuration := laburnumlog.Configuration{Members: []laburnumlog.Member{v.member()}}
	for _, voter := range voters[1:] {
		j, ok := v.joiners[voter.VM]
		if !ok || j.hello.Configured {
			return
		}
		configuration = configuration.WithMember(j.hello.Member)
	}
	v.step(laburnumlog.Bootstrap{Configuration: configuration})
	v.sendBootstrap(configuration)
}

func (v *Voter) sendBootstrap(configuration laburnumlog.Configuration) {
	for _, m := range configuration.Members {
		if m.ID != v.log.ID() {
			v.peers.Notify(m.Address, methodBootstrap, bootstrapMessage{Configuration: configuration})
		}
	}
}

// resendBootstrap sends the first configuration to a member without it, in case the bootstrapping
// voter failed before it had reached all members.
func (v *Voter) resendBootstrap(h helloMessage) {
	if h.Configured || v.log.SnapshotIndex() != 1 {
		return
	}
	first := v.log.ConfigurationAt(1)
	if _, ok := first.Find(h.Member.ID); ok {
		v.peers.Notify(h.Member.Address, methodBootstrap, bootstrapMessage{Configuration: first})
	}
}

func (v *Voter) onBootstrap(m bootstrapMessage) {
	if v.log == nil || v.configured() {
		return
	}
	if _, ok := m.Configuration.Find(v.log.ID()); ok {
		v.step(laburnumlog.Bootstrap{Configuration: m.Configuration})
	}
}

// notifySuperseded tells members whose data folder was restored from an older copy to restart as
// new instances.
func (v *Voter) notifySuperseded() {
	for _, m := range v.log.Configuration().Members {
		p, ok := v.log.Progress(m.ID)
		if ok && p.ConflictingBoot != 0 {
			v.peers.Notify(m.Address, methodSuperseded, supersededMessage{ID: m.ID, Boot: p.ConflictingBoot})
		}
		if ok && p.DataLost {
			_ = level.Error(v.cfg.logger).Log("event", laburnumlever.EventReplicaRegressed, "replica", m.ID)
			v.peers.Notify(m.Address, methodSuperseded, supersededMessage{ID: m.ID, Boot: p.Boot})
		}
	}
}

// onSuperseded restarts the replica as a new instance.
func (v *Voter) onSuperseded(m supersededMessage) {
	if v.log == nil || m.ID != v.log.ID() || m.Boot != v.boot {
		return
	}
	v.recreate()
}

// recreate restarts the replica as a new instance, since its data folder lacks what it has promised.
// A separate goroutine waits for the old writer, quarantines the folder's files and opens the then
// empty folder.
func (v *Voter) recreate() {
	_ = level.Error(v.cfg.logger).Log("event", laburnumlever.EventDataFolderRegressed, "replica", v.log.ID(), "boot", v.boot)
	old := v.writer
	v.stopReplica()
	go v.open(func() (*replica, error) {
		<-old.done
		return recreateReplica(v.cfg, v.self)
	})
}

// reconcileMembers proposes at most one membership change. It runs on the leader at each tick and
// also when a replica sends a hello or a learner may have caught up, since until the change the
// log tolerates the loss of one disk less.
func (v *Voter) reconcileMembers() {
	change, due := v.planner.Next(laburnumquorum.View{
		Configuration: v.log.Configuration(), Pending: v.log.ChangePending(), Commit: v.log.Commit(),
		Progress: v.log.Progress, Joiners: v.allowedJoiners(),
	})
	if !due {
		return
	}
	out := v.step(laburnumlog.ChangeMembers{Configuration: change.To})
	_ = level.Info(v.cfg.logger).Log("event", change.Event, "cause", change.Cause,
		"replica", change.Member.ID, "replaces", change.Replaced, "accepted", out.Accepted)
}

// allowedJoiners returns the replicas with a valid hello that may become members.
func (v *Voter) allowedJoiners() []laburnumlog.Member {
	var list []laburnumlog.Member
	for vm, j := range v.joiners {
		if v.mayJoin(vm) {
			list = append(list, j.hello.Member)
		}
	}
	return list
}

func (v *Voter) mayJoin(vm laburnumlever.VMID) bool {
	is := func(voter laburnumlever.Voter) bool { return voter.VM == vm }
	return v.cfg.candidates == nil || slices.ContainsFunc(v.cfg.voters, is) ||
		slices.ContainsFunc(v.cfg.candidates(), is)
}
