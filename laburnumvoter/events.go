package laburnumvoter

import (
	"time"

	"laburnumlever/laburnumlog"
)

type (
	ticked   struct{ now time.Time }
	started  struct{}
	received struct{ message wireMessage }
	// proposed reports that the proposal queue is no longer empty.
	proposed struct{}
	// writeDone reports that the writes up to seq are durable, or that the disk failed.
	writeDone struct {
		generation int
		seq        uint64
		err        error
	}
	snapshotEncoded struct {
		generation int
		snapshot   laburnumlog.Snapshot
		err        error
	}
	helloReceived      struct{ hello helloMessage }
	bootstrapReceived  struct{ message bootstrapMessage }
	supersededReceived struct{ message supersededMessage }
	reopened           struct {
		replica *replica
		err     error
		// open is the function to retry if err is set.
		open func() (*replica, error)
	}
	transferRequested struct{ done chan struct{} }
)

func (ticked) EventName() string             { return "voter-tick" }
func (started) EventName() string            { return "voter-started" }
func (received) EventName() string           { return "voter-received" }
func (proposed) EventName() string           { return "voter-proposed" }
func (writeDone) EventName() string          { return "voter-wrote" }
func (snapshotEncoded) EventName() string    { return "voter-snapshot-encoded" }
func (helloReceived) EventName() string      { return "voter-hello" }
func (bootstrapReceived) EventName() string  { return "voter-bootstrap" }
func (supersededReceived) EventName() string { return "voter-superseded" }
func (reopened) EventName() string           { return "voter-reopened" }
func (transferRequested) EventName() string  { return "voter-hand-over" }
