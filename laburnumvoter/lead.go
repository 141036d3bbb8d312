package laburnumvoter

import (
	"context"
	"encoding/json"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumlog"

	"github.com/go-kit/log/level"
)

// renewal is when this VM last saw a lease change.
type renewal struct {
	fence    uint64
	renewals uint64
	since    time.Time
}

// noteRole does what goes with becoming leader and with ceasing to be one.
func (v *Voter) noteRole() {
	leads := v.leads()
	if leads != v.wasLeader {
		v.wasLeader = leads
		if leads {
			v.clockBase, v.clockFrom = v.machine.Clock(), v.timers.Now()
			if v.clockBase == 0 {
				v.clockBase = v.clockFrom.UnixMilli()
			}
			_ = level.Info(v.cfg.logger).Log("event", laburnumlever.EventBecameLeader, "term", v.log.Term())
			v.cfg.scope.Counter("voter-elections-won").Inc(1)
		} else {
			v.releaseWaiters("this VM stopped to lead")
		}
	}
	if !leads {
		for _, done := range v.handOvers {
			close(done)
		}
		v.handOvers = nil
	}
}

// clock goes on from the latest time in the log by this VM's monotonic clock, so
// that a wrong wall clock can't move it.
func (v *Voter) clock(now time.Time) int64 {
	return v.clockBase + now.Sub(v.clockFrom).Milliseconds()
}

// expireLeases proposes the end of leases that were not renewed in time. The time
// runs from when this VM saw the last renewal, which is after its holder sent it, so a
// holder that counts from its sending always ends first. Every VM watches, so that one
// that comes to lead need not wait for the whole term again: when the holder dies with
// the leader, the lease has run out by the end of the election.
func (v *Voter) expireLeases(now time.Time) {
	leads := v.log.Role() == laburnumlog.Leader
	for _, l := range v.machine.Leases() {
		if l.Holder == "" {
			delete(v.renewals, l.Name)
			continue
		}
		seen, ok := v.renewals[l.Name]
		if !ok || seen.fence != l.Fence || seen.renewals != l.Renewals {
			v.renewals[l.Name] = renewal{fence: l.Fence, renewals: l.Renewals, since: now}
			continue
		}
		if !leads || now.Sub(seen.since) < time.Duration(l.TTL) {
			continue
		}
		// Counting starts over, so that an expiry that is lost is proposed again.
		v.renewals[l.Name] = renewal{fence: l.Fence, renewals: l.Renewals, since: now}
		v.proposeExpiry(laburnumlever.LeaseCommand{
			Name: l.Name, Holder: l.Holder, Incarnation: l.Incarnation, Fence: l.Fence, Renewals: l.Renewals,
		}, now)
	}
}

func (v *Voter) proposeExpiry(c laburnumlever.LeaseCommand, now time.Time) {
	cmd := laburnumlever.Command{Kind: laburnumlever.CommandExpireLease, Lease: &c}
	data, err := json.Marshal(entryData{At: v.clock(now), Command: cmd})
	if err != nil {
		_ = level.Error(v.cfg.logger).Log("event", laburnumlever.EventExpiryNotEncoded, "err", err)
		return
	}
	v.step(laburnumlog.Propose{Data: [][]byte{data}})
}

// HandOver asks another voter to lead, if this one does, and returns once it does
// not any more, or with ctx's error.
func (v *Voter) HandOver(ctx context.Context) error {
	done := make(chan struct{})
	v.loop.Post(v, handingOver{done: done})
	select {
	case <-done:
		return nil
	case <-v.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (v *Voter) onHandingOver(ev handingOver) {
	if v.log != nil && len(v.log.Configuration().Voters()) == 1 {
		// There is nobody to hand over to.
		close(ev.done)
		return
	}
	v.handOvers = append(v.handOvers, ev.done)
	v.step(laburnumlog.HandOver{})
}
