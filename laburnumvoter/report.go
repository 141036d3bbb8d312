package laburnumvoter

import (
	"strings"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumlog"

	"github.com/go-kit/log/level"
)

const (
	// leaderlessTicks without a leader are logged; they outlast an election.
	leaderlessTicks = 20
	// leaderlessEvery is the number of ticks until it is logged again.
	leaderlessEvery = 50
	// noLeader is the value of the losses-borne gauge without a leader.
	noLeader = -1
)

// report is the state last logged, so that each change is logged once.
type report struct {
	configuration uint64 // its index
	committed     bool
	since         time.Time // when it was appended here
	leaderless    uint64    // the tick of the last line about a missing leader
}

// reportOpened logs what the folder held: instance, last index and voters. After a loss of
// disks it tells an empty replica from one that was only down.
func (v *Voter) reportOpened() {
	c := v.log.Configuration()
	_ = level.Info(v.cfg.logger).Log("event", laburnumlever.EventReplicaOpened, "replica", v.log.ID(),
		"last", v.log.LastIndex(), "commit", v.log.Commit(), "term", v.log.Term(),
		"voters", names(c.Voters()), "configuration", v.log.ConfigurationIndex())
	v.said = report{configuration: v.log.ConfigurationIndex(), committed: !v.log.ChangePending(), since: v.timers.Now()}
}

// reportVoters logs each configuration when it is appended, from when it is in force, and
// when it is committed.
func (v *Voter) reportVoters() {
	if v.log == nil {
		return
	}
	index, committed := v.log.ConfigurationIndex(), !v.log.ChangePending()
	if index == v.said.configuration && committed == v.said.committed {
		return
	}
	if index != v.said.configuration {
		v.said.since = v.timers.Now()
	}
	v.said.configuration, v.said.committed = index, committed
	c := v.log.Configuration()
	_ = level.Info(v.cfg.logger).Log("event", laburnumlever.EventVotersInForce, "voters", names(c.Voters()),
		"learners", names(learners(c)), "configuration", index, "committed", committed,
		"took", v.timers.Now().Sub(v.said.since))
}

// reportLeaderless logs from time to time that there is no leader, and which votes are
// missing.
func (v *Voter) reportLeaderless() {
	if !v.log.Configuration().IsVoter(v.log.ID()) || v.isStandby() {
		v.leaderlessTicks.Store(0)
		v.cfg.scope.Gauge("leaderless_seconds").Update(0)
		return
	}
	without := v.leaderless()
	v.leaderlessTicks.Store(v.ticks - v.leaderSeen)
	v.cfg.scope.Gauge("leaderless_seconds").Update(without.Seconds())
	if v.ticks-v.leaderSeen < leaderlessTicks || v.ticks-v.said.leaderless < leaderlessEvery {
		return
	}
	v.said.leaderless = v.ticks
	_ = level.Warn(v.cfg.logger).Log("event", laburnumlever.EventNoLeader, "for", without, "term", v.log.Term(),
		"last", v.log.LastIndex(), "voters", names(v.log.Configuration().Voters()), "waiting-for", v.waitingFor())
}

// noteStandby records a leader's word that this replica was replaced while it was down.
func (v *Voter) noteStandby(leader laburnumlever.VMID) {
	if !v.isStandby() {
		_ = level.Info(v.cfg.logger).Log("event", laburnumlever.EventVoterStandby, "replica", v.log.ID(), "leader", leader)
	}
	v.standbyUntil = v.ticks + helloTicks
}

// isStandby tells whether a leader has answered lately that this replica is no member.
func (v *Voter) isStandby() bool { return v.ticks < v.standbyUntil }

// leaderless returns the time without a known leader.
func (v *Voter) leaderless() time.Duration {
	return time.Duration(v.ticks-v.leaderSeen) * v.cfg.tick
}

// waitingFor names the voters whose votes are missing, and what is known of each.
func (v *Voter) waitingFor() []string {
	var missing []string
	for _, m := range v.log.Configuration().Voters() {
		if m.ID == v.log.ID() {
			continue
		}
		j, hello := v.joiners[m.VM]
		switch ballot := v.log.Ballot(m.ID); {
		case ballot == laburnumlog.Granted:
		case hello && j.hello.Member.ID != m.ID:
			missing = append(missing, string(m.ID)+" (its VM is another instance now)")
		case ballot == laburnumlog.Refused:
			missing = append(missing, string(m.ID)+" (refused)")
		default:
			missing = append(missing, string(m.ID)+" (silent)")
		}
	}
	return missing
}

// reportLosses updates the gauge of disks that may still be lost.
func (v *Voter) reportLosses() {
	borne := v.log.LossesBorne()
	if v.log.Leader() == "" {
		borne = noLeader
	}
	v.cfg.scope.Gauge("losses_borne").Update(float64(borne))
}

// notLeading tells why this VM takes no commands.
func (v *Voter) notLeading() string {
	if v.failure != nil {
		return v.failure.Error()
	}
	const detail = "this VM does not lead"
	if v.log == nil || v.log.Leader() != "" || !v.log.Configuration().IsVoter(v.log.ID()) {
		return detail
	}
	return detail + "; no leader for " + v.leaderless().String() + ", waiting for " + strings.Join(v.waitingFor(), ", ")
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
