package laburnumvoter

import (
	"encoding/json"

	"laburnumlever"
	"laburnumlever/laburnumlog"
	"laburnumlever/laburnumstate"
	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log/level"
)

// entryData is the payload of a log entry.
type entryData struct {
	// At is the leader's clock in milliseconds; see laburnumstate.Machine.Apply.
	At      int64                 `json:"at"`
	Command laburnumlever.Command `json:"command"`
}

// step passes one event to the log and executes its output: messages, writes, a snapshot to
// install and committed entries to apply.
func (v *Voter) step(ev laburnumlog.Event) laburnumlog.Output {
	if v.log == nil {
		return laburnumlog.Output{}
	}
	began, lastIndex := laburnumtimer.SinceBoot(), v.log.LastIndex()
	out := v.log.Step(ev)
	if out.Fault != nil {
		v.failReplica(out.Fault)
		return laburnumlog.Output{}
	}
	for _, m := range out.Messages {
		v.transmit(m)
	}
	if out.Superseded {
		v.recreate()
		return laburnumlog.Output{}
	}
	if out.Write != nil {
		v.pendingAfter = append(v.pendingAfter, laburnumlog.Write{Seq: out.Write.Seq, DeferredMessages: out.Write.DeferredMessages})
		write := *out.Write
		write.DeferredMessages = nil
		v.writer.add(write)
	}
	if out.Install != nil {
		v.installSnapshot(*out.Install)
	}
	for _, e := range out.Committed {
		v.apply(e)
	}
	if len(out.Committed) > 0 {
		v.notifyCatalogue()
		v.maybeSnapshot()
	}
	if v.log == nil { // applying an entry failed and stopped the replica
		return laburnumlog.Output{}
	}
	v.noteAppended(lastIndex, began)
	return out
}

func (v *Voter) onWriteDone(ev writeDone) {
	if ev.generation != v.generation || v.log == nil {
		return
	}
	if ev.err != nil {
		old := v.writer
		v.failReplica(ev.err)
		v.openLater(func() (*replica, error) { return reopenReplica(v.cfg, v.self, old) })
		return
	}
	v.step(laburnumlog.Written{Seq: ev.seq})
	for len(v.pendingAfter) > 0 && v.pendingAfter[0].Seq <= ev.seq {
		for _, m := range v.pendingAfter[0].DeferredMessages {
			v.transmit(m)
		}
		v.pendingAfter = v.pendingAfter[1:]
	}
}

// failReplica stops the replica after an error: after a failed fsync the disk's contents are
// unknown, so the replica must neither acknowledge nor lead. The VM keeps running without a
// replica. After a disk failure openLater reopens the data folder; after any other error, such
// as a log that contradicts the other replicas, the replica stays stopped.
func (v *Voter) failReplica(err error) {
	_ = level.Error(v.cfg.logger).Log("event", laburnumlever.EventReplicaFailed, "err", err)
	v.cfg.scope.Counter("voter-failures").Inc(1)
	v.failure = err
	v.stopReplica()
}

// stopReplica stops the open replica and invalidates the events of its goroutines.
func (v *Voter) stopReplica() {
	v.log = nil
	v.leaderlessTicks.Store(0)
	v.generation++
	v.pendingAfter, v.inbox = nil, nil
	v.writer.stop()
	v.failWaiters("the replica on this VM was stopped")
}

func (v *Voter) installSnapshot(s laburnumlog.Snapshot) {
	machine, err := laburnumstate.Decode(s.Data, v.cfg.stateOptions...)
	if err != nil {
		v.failReplica(err)
		return
	}
	v.machine = machine
	v.applied = s.Index
	v.logBytes = 0
	v.notifyCatalogue()
}

func (v *Voter) apply(e laburnumlog.Entry) {
	v.applied = e.Index
	v.logBytes += len(e.Data)
	w, waiting := v.waiters[e.Index]
	delete(v.waiters, e.Index)
	if waiting && w.term != e.Term {
		v.settle(w.proposal, proposeAnswer{Verdict: verdictNotTaken, Detail: "the entry was overwritten by another leader"})
		waiting = false
	}
	if e.Kind != laburnumlog.EntryCommand || v.log == nil {
		return
	}
	var data entryData
	if err := json.Unmarshal(e.Data, &data); err != nil {
		v.failReplica(&BadEntryError{Index: e.Index, Cause: err})
		return
	}
	result := v.machine.Apply(data.At, data.Command)
	if waiting {
		v.settle(w.proposal, proposeAnswer{Verdict: verdictDone, Result: result})
	}
}

func (v *Voter) notifyCatalogue() {
	if v.machine == nil {
		return
	}
	catalogue := v.machine.Catalogue()
	if catalogue.Revision > v.notifiedRevision {
		v.notifiedRevision = catalogue.Revision
		v.onCatalogue(catalogue)
	}
	if routes := v.machine.Routes(); routes != nil && routes.Version() > v.notifiedRoutes {
		v.notifiedRoutes = routes.Version()
		v.onRoutes(*routes)
	}
}

// maybeSnapshot encodes a snapshot once the entries applied since the last snapshot are as large
// as that snapshot, which keeps the cost of snapshots proportional to the changes.
func (v *Voter) maybeSnapshot() {
	if v.log == nil || v.encoding || v.logBytes < max(v.cfg.snapshotBytes, v.lastSnapshot) {
		return
	}
	v.encoding = true
	v.logBytes = 0
	image, index, generation := v.machine.Image(), v.applied, v.generation
	go func() {
		data, err := image.Encode()
		v.loop.Post(v, snapshotEncoded{generation: generation, snapshot: laburnumlog.Snapshot{Index: index, Data: data}, err: err})
	}()
}

func (v *Voter) onSnapshotEncoded(ev snapshotEncoded) {
	if ev.generation != v.generation || v.log == nil {
		return
	}
	v.encoding = false
	if ev.err != nil {
		v.failReplica(ev.err)
		return
	}
	v.lastSnapshot = len(ev.snapshot.Data)
	v.cfg.scope.Counter("voter-snapshots").Inc(1)
	v.step(laburnumlog.Compact{Snapshot: ev.snapshot})
}
