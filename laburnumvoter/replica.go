package laburnumvoter

import (
	"sync"

	"laburnumlever"
	"laburnumlever/laburnumdisk"
	"laburnumlever/laburnumlog"
	"laburnumlever/laburnumstate"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
)

// replica is an open data folder with the log and state read from it.
type replica struct {
	store   *laburnumdisk.Store
	log     *laburnumlog.Log
	machine *laburnumstate.Machine
	boot    uint64
	// starts is the number of starts on the folder, this one included.
	starts uint64
	// snapshotBytes is the size of the snapshot read from the folder.
	snapshotBytes int
}

// openReplica opens the data folder. The files of a damaged folder are quarantined, and the VM
// starts as a new instance: what is left of the log may lack acknowledged entries.
func openReplica(cfg config, self laburnumlever.VM) (*replica, error) {
	store, recovered, err := laburnumdisk.Open(cfg.folder, cfg.diskOptions...)
	var damaged *laburnumdisk.DamagedError
	if errors.As(err, &damaged) {
		_ = level.Error(cfg.logger).Log("event", laburnumlever.EventDataFolderDamaged, "err", err)
		if err := laburnumdisk.Quarantine(cfg.folder, cfg.diskOptions...); err != nil {
			return nil, err
		}
		store, recovered, err = laburnumdisk.Open(cfg.folder, cfg.diskOptions...)
	}
	if err != nil {
		return nil, err
	}
	machine, err := laburnumstate.Decode(recovered.Snapshot.Data, cfg.stateOptions...)
	if err != nil {
		return nil, err
	}
	identity := store.Identity()
	id := laburnumlog.ReplicaID(string(self.ID) + "/" + identity.Instance)
	seed := xxhash.Sum64String(string(id)) | 1 // the xorshift generator must not start from 0
	boot := laburnumlog.Boot(identity.Boot, uuid.New().ID())
	l := laburnumlog.New(id, recovered, laburnumlog.WithSeed(seed), laburnumlog.WithBoot(boot), laburnumlog.WithTolerance(cfg.tolerance()),
		laburnumlog.WithForgetTicks(cfg.policy().ReplaceTicks))
	return &replica{store: store, log: l, machine: machine, boot: boot, starts: identity.Boot, snapshotBytes: len(recovered.Snapshot.Data)}, nil
}

// writer syncs writes to the store on its own goroutine. Writes that queue up during an fsync are
// synced together by the next one.
type writer struct {
	mu      sync.Mutex
	ready   *sync.Cond
	queue   []laburnumlog.Write
	stopped bool
	done    chan struct{}
	batch   int
	store   *laburnumdisk.Store
	report  func(seq uint64, err error)
}

func newWriter(store *laburnumdisk.Store, batch int, report func(seq uint64, err error)) *writer {
	w := &writer{done: make(chan struct{}), batch: batch, store: store, report: report}
	w.ready = sync.NewCond(&w.mu)
	return w
}

func (w *writer) add(write laburnumlog.Write) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, write)
	w.ready.Signal()
}

// run writes until the writer is stopped and its queue is empty, then closes the store.
func (w *writer) run() {
	defer close(w.done)
	for {
		writes := w.take()
		if writes == nil {
			_ = w.store.Close()
			return
		}
		err := w.store.Write(writes)
		w.report(writes[len(writes)-1].Seq, err)
	}
}

func (w *writer) take() []laburnumlog.Write {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queue) == 0 && !w.stopped {
		w.ready.Wait()
	}
	n := min(len(w.queue), w.batch)
	if n == 0 {
		return nil
	}
	writes := w.queue[:n:n]
	w.queue = w.queue[n:]
	return writes
}

// stop makes run return once the queue is written.
func (w *writer) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.ready.Broadcast()
}

// recreateReplica quarantines the folder's files and opens a new instance in it.
func recreateReplica(cfg config, self laburnumlever.VM) (*replica, error) {
	if err := laburnumdisk.Quarantine(cfg.folder, cfg.diskOptions...); err != nil {
		return nil, err
	}
	return openReplica(cfg, self)
}

// reopenReplica reopens the folder after a disk failure, as the same instance with only the data
// that was durable.
func reopenReplica(cfg config, self laburnumlever.VM, old *writer) (*replica, error) {
	<-old.done
	if err := old.store.DiscardUnsynced(); err != nil {
		return nil, err
	}
	return openReplica(cfg, self)
}
