package laburnumvoter

import (
	"time"

	"laburnumlever/laburnumlog"
)

type (
	ticked   struct{ now time.Time }
	started  struct{}
	received struct{ message wireMessage }
	// proposed means that the intake holds proposals.
	proposed struct{}
	// wrote means that the writes up to seq are durable, or that the disk failed.
	wrote struct {
		generation int
		seq        uint64
		err        error
	}
	encoded struct {
		generation int
		snapshot   laburnumlog.Snapshot
		err        error
	}
	helloed    struct{ hello helloMessage }
	booted     struct{ message bootstrapMessage }
	superseded struct{ message supersededMessage }
	reopened   struct {
		replica *replica
		err     error
		// open is retried after a disk error.
		open func() (*replica, error)
	}
	handingOver struct{ done chan struct{} }
)

func (ticked) EventName() string      { return "voter-tick" }
func (started) EventName() string     { return "voter-started" }
func (received) EventName() string    { return "voter-received" }
func (proposed) EventName() string    { return "voter-proposed" }
func (wrote) EventName() string       { return "voter-wrote" }
func (encoded) EventName() string     { return "voter-snapshot-encoded" }
func (helloed) EventName() string     { return "voter-hello" }
func (booted) EventName() string      { return "voter-bootstrap" }
func (superseded) EventName() string  { return "voter-superseded" }
func (reopened) EventName() string    { return "voter-reopened" }
func (handingOver) EventName() string { return "voter-hand-over" }
