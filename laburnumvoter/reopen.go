package laburnumvoter

import (
	"time"

	"laburnumlever"

	"github.com/go-kit/log/level"
)

// reopenTicks is the number of ticks between attempts to reopen a data folder.
const reopenTicks = 10

// openLater schedules another attempt to open the data folder after a disk failure. Without it a
// disk that was full for a moment would cost the log a voter until the VM is restarted.
func (v *Voter) openLater(open func() (*replica, error)) {
	v.timers.After(reopenTicks*v.cfg.tick, func(time.Time) { go v.open(open) })
}

// open opens the replica and posts the result. It runs on its own goroutine, since the disk may be
// slow.
func (v *Voter) open(open func() (*replica, error)) {
	v.openMu.Lock()
	defer v.openMu.Unlock()
	if v.isClosed() {
		return
	}
	r, err := open()
	v.loop.Post(v, reopened{replica: r, err: err, open: open})
}

func (v *Voter) onReopened(ev reopened) {
	if ev.err != nil {
		v.failure = ev.err
		_ = level.Debug(v.cfg.logger).Log("event", laburnumlever.EventReplicaFailed, "err", ev.err)
		v.openLater(ev.open)
		return
	}
	if v.isClosed() {
		if err := ev.replica.store.Close(); err != nil {
			_ = level.Warn(v.cfg.logger).Log("event", laburnumlever.EventReplicaFailed, "err", err)
		}
		return
	}
	v.failure = nil
	v.installReplica(ev.replica)
	v.startReplica()
}

func (v *Voter) isClosed() bool {
	select {
	case <-v.done:
		return true
	default:
		return false
	}
}
