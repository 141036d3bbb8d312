package laburnummembership

import (
	"time"

	"laburnumlever"
)

type (
	started struct{}
	ticked  struct{ now time.Time }
	left    struct{}

	selfChanged struct {
		change func(laburnumlever.VM) laburnumlever.VM
	}

	gossiped struct {
		message gossip
		answer  chan<- gossip
	}

	pullAsked struct {
		request syncRequest
		answer  chan<- syncAnswer
	}

	reachAsked struct {
		target laburnumlever.VMID
		answer chan<- bool
	}

	demanded struct{ message demandNews }

	// outcome is the end of a message that this VM sent.
	outcome struct {
		token  uint64
		method string
		gossip gossip
		ask    askAnswer
		sync   syncAnswer
		err    error
	}

	announced struct {
		announcement laburnumlever.Announcement
		answer       chan<- error
	}

	reported struct {
		report laburnumlever.LoadReport
		answer chan<- error
	}

	leftBackend struct {
		backend     laburnumlever.BackendID
		incarnation uint64
		answer      chan<- error
	}
)

func (started) EventName() string     { return "membership-started" }
func (ticked) EventName() string      { return "membership-ticked" }
func (left) EventName() string        { return "membership-left" }
func (selfChanged) EventName() string { return "membership-self-changed" }
func (gossiped) EventName() string    { return "membership-gossiped" }
func (pullAsked) EventName() string   { return "membership-pull-asked" }
func (reachAsked) EventName() string  { return "membership-reach-asked" }
func (demanded) EventName() string    { return "membership-demanded" }
func (outcome) EventName() string     { return "membership-outcome" }
func (announced) EventName() string   { return "backend-announced" }
func (reported) EventName() string    { return "backend-reported" }
func (leftBackend) EventName() string { return "backend-left" }
