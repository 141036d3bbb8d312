package laburnumvoter

import (
	"strings"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumlog"

	"github.com/go-kit/log/level"
)

const (
	// leaderlessTicks go by without a leader before it is said: more than an
	// election takes.
	leaderlessTicks = 20
	// leaderlessEvery is how many ticks pass until it is said again.
	leaderlessEvery = 50
	// noLeader is the gauge of losses borne on a VM that knows of no leader.
	noLeader = -1
)

// report is what was last said of the voters, so that each change is said once.
type report struct {
	configuration uint64 // the index of the one that was said
	committed     bool
	since         time.Time // when it was first seen here
	leaderless    uint64    // the tick at which the want of a leader was last said
}

// reportOpened tells what the replica found in its folder: its instance, how far its log
// goes and who the voters are by it. After a loss of disks this tells an emptied VM from
// one that was only down.
func (v *Voter) reportOpened() {
	c := v.log.Configuration()
	_ = level.Info(v.cfg.logger).Log("event", laburnumlever.EventReplicaOpened, "replica", v.log.ID(),
		"last", v.log.LastIndex(), "commit", v.log.Commit(), "term", v.log.Term(),
		"voters", names(c.Voters()), "configuration", v.log.ConfigurationIndex())
	v.said = report{configuration: v.log.ConfigurationIndex(), committed: !v.log.ChangePending(), since: v.timers.Now()}
}

// reportVoters tells each change of the voters twice: when this replica appends it, from
// when on it counts, and when it is committed, with the time that took.
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

// reportLeaderless tells a voter's want of a leader, and whose votes it waits for, a while
// after it began and then now and again while it lasts.
func (v *Voter) reportLeaderless() {
	if !v.log.Configuration().IsVoter(v.log.ID()) {
		v.leaderlessTicks.Store(0)
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

// leaderless is how long no leader has been known.
func (v *Voter) leaderless() time.Duration {
	return time.Duration(v.ticks-v.leaderSeen) * v.cfg.tick
}

// waitingFor names the voters without whose votes this replica does not lead, and what
// is known of each.
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

// reportLosses shows how many more disks may be lost.
func (v *Voter) reportLosses() {
	borne := v.log.LossesBorne()
	if v.log.Leader() == "" {
		borne = noLeader
	}
	v.cfg.scope.Gauge("losses_borne").Update(float64(borne))
}

// notLeading says why this VM takes no commands.
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
