package laburnumvoter

import (
	"context"
	"encoding/json"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumlog"

	"github.com/go-kit/log/level"
)

// renewal is the last grant or renewal of a lease that this VM has applied.
type renewal struct {
	fence    uint64
	renewals uint64
	seen     time.Time
	// expiryProposed is when an expiry was last proposed; initially the same as seen.
	expiryProposed time.Time
}

// ownEntry is an entry that this VM appended as the leader of a term, and a time just before.
type ownEntry struct {
	term, index uint64
	before      time.Duration
}

// noteAppended records the last entry if this VM, as the leader, has appended one since a step began. While an earlier one of the
// term is not committed, that one is kept.
func (v *Voter) noteAppended(lastIndex uint64, began time.Duration) {
	if !v.isLeader() || v.log.LastIndex() == lastIndex || v.own.term == v.log.Term() && v.own.index > v.applied {
		return
	}
	v.own = ownEntry{term: v.log.Term(), index: v.log.LastIndex(), before: began}
}

// reportCommitted tells that the recorded entry is committed. A leader's log holds all that was acknowledged before its first entry,
// and what is acknowledged later is appended behind the recorded one.
func (v *Voter) reportCommitted() {
	if !v.isLeader() || v.own.term != v.log.Term() || v.own.index > v.applied {
		return
	}
	own := v.own
	v.own = ownEntry{}
	version := uint64(0)
	if routes := v.machine.Routes(); routes != nil {
		version = routes.Version()
	}
	v.onCommitted(version, own.before)
}

// updateRole reacts to this VM gaining or losing leadership.
func (v *Voter) updateRole() {
	leads := v.isLeader()
	if leads != v.wasLeader {
		v.wasLeader = leads
		if leads {
			v.clockBase, v.clockStart = v.machine.Clock(), v.timers.Now()
			if v.clockBase == 0 {
				v.clockBase = v.clockStart.UnixMilli()
			}
			_ = level.Info(v.cfg.logger).Log("event", laburnumlever.EventBecameLeader, "term", v.log.Term())
			v.cfg.scope.Counter("voter-elections-won").Inc(1)
		} else {
			v.failWaiters("this VM lost leadership")
		}
	}
	if !leads {
		for _, done := range v.transfers {
			close(done)
		}
		v.transfers = nil
	}
}

// clock returns the leader's time in milliseconds. It advances the latest time in the log by the
// monotonic clock, so that a wrong wall clock has no effect.
func (v *Voter) clock(now time.Time) int64 {
	return v.clockBase + now.Sub(v.clockStart).Milliseconds()
}

// expireLeases proposes the expiry of leases that were not renewed within their TTL, measured from
// when this VM applied the last renewal. The holder measures the TTL from when it sent the renewal,
// so it always stops using the lease before the expiry is proposed. All replicas track renewals, so
// that a new leader doesn't have to wait for a whole TTL.
func (v *Voter) expireLeases(now time.Time) {
	leads := v.log.Role() == laburnumlog.Leader
	for _, l := range v.machine.Leases() {
		if l.Holder == "" {
			delete(v.renewals, l.Name)
			continue
		}
		last, ok := v.renewals[l.Name]
		if !ok || last.fence != l.Fence || last.renewals != l.Renewals {
			v.renewals[l.Name] = renewal{fence: l.Fence, renewals: l.Renewals, seen: now, expiryProposed: now}
			continue
		}
		if !leads || now.Sub(last.expiryProposed) < time.Duration(l.TTL) {
			continue
		}
		last.expiryProposed = now // a lost expiry is proposed again after another TTL
		v.renewals[l.Name] = last
		v.proposeExpiry(laburnumlever.LeaseCommand{
			Name: l.Name, Holder: l.Holder, Incarnation: l.Incarnation, Fence: l.Fence, Renewals: l.Renewals,
			Idle: laburnumlever.Duration(now.Sub(last.seen)),
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

// TransferLeadership transfers leadership to another voter. It returns nil once this VM is not the
// leader or the voter is closed. It also returns nil if there is only one voter; this VM may still
// be the leader then. The only error is that of ctx.
func (v *Voter) TransferLeadership(ctx context.Context) error {
	done := make(chan struct{})
	v.loop.Post(v, transferRequested{done: done})
	select {
	case <-done:
		return nil
	case <-v.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (v *Voter) onTransferRequested(ev transferRequested) {
	if v.log != nil && len(v.log.Configuration().Voters()) == 1 {
		// There is no other voter to take over.
		close(ev.done)
		return
	}
	v.transfers = append(v.transfers, ev.done)
	v.step(laburnumlog.TransferLeadership{})
}
