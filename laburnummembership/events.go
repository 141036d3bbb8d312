package laburnummembership

import (
	"time"

	"laburnumlever"
)

type (
	started        struct{}
	ticked         struct{ now time.Time }
	leaveRequested struct{}

	selfChanged struct {
		change func(laburnumlever.VM) laburnumlever.VM
	}

	gossipReceived struct {
		message gossip
		answer  chan<- gossip
	}

	pullRequested struct {
		request syncRequest
		answer  chan<- syncAnswer
	}

	reachabilityRequested struct {
		target laburnumlever.VMID
		answer chan<- bool
	}

	demandReceived struct{ message demandReport }

	// outcome is the result of a call to another VM.
	outcome struct {
		token         uint64
		method        string
		gossip        gossip
		indirectProbe indirectProbeAnswer
		sync          syncAnswer
		err           error
	}

	announced struct {
		announcement laburnumlever.Announcement
		answer       chan<- error
	}

	reported struct {
		report laburnumlever.LoadReport
		answer chan<- error
	}

	backendLeft struct {
		backend     laburnumlever.BackendID
		incarnation uint64
		answer      chan<- error
	}
)

func (started) EventName() string               { return "membership-started" }
func (ticked) EventName() string                { return "membership-ticked" }
func (leaveRequested) EventName() string        { return "membership-left" }
func (selfChanged) EventName() string           { return "membership-self-changed" }
func (gossipReceived) EventName() string        { return "membership-gossiped" }
func (pullRequested) EventName() string         { return "membership-pull-asked" }
func (reachabilityRequested) EventName() string { return "membership-reach-asked" }
func (demandReceived) EventName() string        { return "membership-demanded" }
func (outcome) EventName() string               { return "membership-outcome" }
func (announced) EventName() string             { return "backend-announced" }
func (reported) EventName() string              { return "backend-reported" }
func (backendLeft) EventName() string           { return "backend-left" }
