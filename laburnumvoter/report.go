package laburnumvoter

import (
	"strings"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumlog"

	"github.com/go-kit/log/level"
)

const (
	// leaderlessLogTicks is how many ticks without a leader are logged. It outlasts an election.
	leaderlessLogTicks = 20
	// leaderlessRepeatTicks is the number of ticks between two such log lines.
	leaderlessRepeatTicks = 50
	// noLeader is the value of the gauge losses_borne without a leader.
	noLeader = -1
)

// loggedState is the state that was last logged, so that each change is logged once.
type loggedState struct {
	configuration  uint64 // index of the configuration
	committed      bool
	since          time.Time // when the configuration was appended here
	leaderlessTick uint64    // the tick of the last log line about a missing leader
	openedTick     uint64    // the tick at which the replica was opened
	startConfirmed bool
	// unconfirmedTick is the tick of the last log line about a start that is not confirmed.
	unconfirmedTick uint64
}

// reportOpened logs what the folder held: instance, last index and voters. After a loss of disks
// this distinguishes a replica that has lost its data from one that was only down.
func (v *Voter) reportOpened() {
	c := v.log.Configuration()
	_ = level.Info(v.cfg.logger).Log("event", laburnumlever.EventReplicaOpened, "replica", v.log.ID(),
		"last", v.log.LastIndex(), "commit", v.log.Commit(), "term", v.log.Term(),
		"voters", names(c.Voters()), "configuration", v.log.ConfigurationIndex())
	v.logged = loggedState{configuration: v.log.ConfigurationIndex(), committed: !v.log.ChangePending(), since: v.timers.Now(), openedTick: v.ticks}
}

// reportVoters logs each configuration when it is appended, which is when it takes effect, and
// again when it is committed.
func (v *Voter) reportVoters() {
	if v.log == nil {
		return
	}
	index, committed := v.log.ConfigurationIndex(), !v.log.ChangePending()
	if index == v.logged.configuration && committed == v.logged.committed {
		return
	}
	if index != v.logged.configuration {
		v.logged.since = v.timers.Now()
	}
	v.logged.configuration, v.logged.committed = index, committed
	c := v.log.Configuration()
	_ = level.Info(v.cfg.logger).Log("event", laburnumlever.EventVotersChanged, "voters", names(c.Voters()),
		"learners", names(learners(c)), "configuration", index, "committed", committed,
		"took", v.timers.Now().Sub(v.logged.since))
}

// reportLeaderless updates the time without a leader, and logs it periodically with the votes that
// are missing. A replica that is no voter or is standby doesn't report it.
func (v *Voter) reportLeaderless() {
	if !v.log.Configuration().IsVoter(v.log.ID()) || v.isStandby() {
		v.leaderlessTicks.Store(0)
		v.cfg.scope.Gauge("leaderless_seconds").Update(0)
		return
	}
	without := v.leaderless()
	v.leaderlessTicks.Store(v.ticks - v.leaderSeen)
	v.cfg.scope.Gauge("leaderless_seconds").Update(without.Seconds())
	if v.ticks-v.leaderSeen < leaderlessLogTicks || v.ticks-v.logged.leaderlessTick < leaderlessRepeatTicks {
		return
	}
	v.logged.leaderlessTick = v.ticks
	_ = level.Warn(v.cfg.logger).Log("event", laburnumlever.EventNoLeader, "for", without, "term", v.log.Term(),
		"last", v.log.LastIndex(), "voters", names(v.log.Configuration().Voters()), "waiting-for", v.missingVotes())
}

// setStandby records that a leader answered a hello with the news that this replica is no longer a
// member, since it was replaced while it was down.
func (v *Voter) setStandby(leader laburnumlever.VMID) {
	if !v.isStandby() {
		_ = level.Info(v.cfg.logger).Log("event", laburnumlever.EventVoterStandby, "replica", v.log.ID(), "leader", leader)
	}
	v.standbyUntil = v.ticks + helloTicks
}

// isStandby reports whether a leader has recently answered that this replica is no member.
func (v *Voter) isStandby() bool { return v.ticks < v.standbyUntil }

// leaderless returns how long this replica has known no leader.
func (v *Voter) leaderless() time.Duration {
	return time.Duration(v.ticks-v.leaderSeen) * v.cfg.tick
}

// missingVotes returns the voters that have not granted their vote, with the reason for each.
func (v *Voter) missingVotes() []string {
	var missing []string
	for _, m := range v.log.Configuration().Voters() {
		if m.ID == v.log.ID() {
			continue
		}
		j, hello := v.joiners[m.VM]
		switch response := v.log.VoteResponse(m.ID); {
		case response == laburnumlog.Granted:
		case hello && j.hello.Member.ID != m.ID:
			missing = append(missing, string(m.ID)+" (its VM now runs another instance)")
		case response == laburnumlog.Refused:
			missing = append(missing, string(m.ID)+" (refused)")
		default:
			missing = append(missing, string(m.ID)+" (no answer)")
		}
	}
	return missing
}

// reportTolerance updates the gauge of how many disks can be lost without losing the log.
func (v *Voter) reportTolerance() {
	tolerated := v.log.ToleratedLosses()
	if v.log.Leader() == "" {
		tolerated = noLeader
	}
	v.cfg.scope.Gauge("losses_borne").Update(float64(tolerated))
}

// notLeaderReason returns why this VM rejects commands.
func (v *Voter) notLeaderReason() string {
	if v.failure != nil {
		return v.failure.Error()
	}
	const detail = "this VM is not the leader"
	if v.log != nil && !v.log.StartConfirmed() {
		return detail + "; its start is not registered by " + joined(v.unregisteredBy())
	}
	if v.log == nil || v.log.Leader() != "" || !v.log.Configuration().IsVoter(v.log.ID()) {
		return detail
	}
	return detail + "; no leader for " + v.leaderless().String() + ", waiting for " + strings.Join(v.missingVotes(), ", ")
}

// reportStart logs once that enough VMs have registered this start, or how long that takes.
func (v *Voter) reportStart() {
	if v.log == nil || v.logged.startConfirmed {
		return
	}
	if !v.log.StartConfirmed() && (v.ticks-v.logged.openedTick < leaderlessLogTicks || v.logged.unconfirmedTick > 0 && v.ticks-v.logged.unconfirmedTick < leaderlessRepeatTicks) {
		return
	}
	waited := time.Duration(v.ticks-v.logged.openedTick) * v.cfg.tick
	if v.log.StartConfirmed() {
		v.logged.startConfirmed = true
		_ = level.Info(v.cfg.logger).Log("event", laburnumlever.EventStartConfirmed, "replica", v.log.ID(), "boot", v.boot,
			"took", waited, "unregistered-by", joined(vmsOf(v.log.UnregisteredBy())))
		return
	}
	v.logged.unconfirmedTick = v.ticks
	_ = level.Warn(v.cfg.logger).Log("event", laburnumlever.EventStartUnconfirmed, "replica", v.log.ID(), "boot", v.boot,
		"for", waited, "waiting-for", joined(v.unregisteredBy()))
}

func vmsOf(ids []laburnumlog.ReplicaID) []laburnumlever.VMID {
	var vms []laburnumlever.VMID
	for _, id := range ids {
		vms = append(vms, id.VM())
	}
	return vms
}

func joined(vms []laburnumlever.VMID) string {
	list := make([]string, 0, len(vms))
	for _, vm := range vms {
		list = append(list, string(vm))
	}
	return strings.Join(list, ", ")
}

func learners(c laburnumlog.Configuration) []laburnumlog.Member {
	var list []laburnumlog.Member
	for _, m := range c.Members {
		if m.Learner {
			list = append(list, m)
		}
	}
	return list
}

func names(members []laburnumlog.Member) []laburnumlog.ReplicaID {
	list := make([]laburnumlog.ReplicaID, 0, len(members))
	for _, m := range members {
		list = append(list, m.ID)
	}
	return list
}
