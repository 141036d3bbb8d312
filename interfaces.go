package laburnumlever

import (
	"context"
	"time"
)

// Timers is the timer service that parts subscribe to. Functions run on the
// service's own goroutine, one at a time, and must be short: most only post an
// event. Times carry a monotonic reading.
type Timers interface {
	// Now is the current time.
	Now() time.Time
	// Every calls fn once each period until cancel is called.
	Every(period time.Duration, fn func(now time.Time)) (cancel func())
	// After calls fn once after d unless cancel is called before.
	After(d time.Duration, fn func(now time.Time)) (cancel func())
}

// Event is a typed message to a part on the control thread.
type Event interface {
	// EventName is the event's name in logs and metrics, in kebab case.
	EventName() string
}

// Part owns some control state. Handle runs on the control thread only and
// does no I/O: workers do it and post an event when done.
type Part interface {
	Handle(ev Event)
}

// Loop is the control thread.
type Loop interface {
	// Post queues an event for a part. It never blocks and may be called from
	// any goroutine; after the loop has stopped it does nothing.
	Post(to Part, ev Event)
}

// PeerHandler answers a call from another VM. It runs on a goroutine of its own.
type PeerHandler func(ctx context.Context, params RawMessage) (any, error)

// Peers are the links to other entry VMs.
type Peers interface {
	// Call sends a request to the VM at the address and waits for the answer.
	// Errors are *PeerUnreachableError (never sent), *PeerLostError (sent, no
	// answer) or *PeerRefusedError (the other VM answered with an error).
	Call(ctx context.Context, address, method string, params, result any) error
	// Notify sends a message without an answer. It never blocks; a message that
	// cannot be sent is dropped and counted.
	Notify(address, method string, params any)
	// Handle sets the handler for a method; set all before serving.
	Handle(method string, handler PeerHandler)
}

// Proposer puts commands through the replicated log, from any goroutine and
// on any VM: one without a replica forwards to the leader.
type Proposer interface {
	// Propose returns once the command is committed and applied. A
	// *NoQuorumError says it was surely not committed; an
	// *OutcomeUnknownError that it may yet be.
	Propose(ctx context.Context, cmd Command) (Result, error)
}

// BackendRegistry takes what backend servers say of themselves, from any
// goroutine. Old news (a lower incarnation or sequence) is a *StaleNewsError.
type BackendRegistry interface {
	Announce(ctx context.Context, a Announcement) error
	Report(ctx context.Context, r LoadReport) error
	Leave(ctx context.Context, backend BackendID, incarnation uint64) error
}

// Engines sends orders to model engines. An error means that the outcome is
// unknown unless it is a *NotSentError.
type Engines interface {
	// Claim raises the engine's fencing number and reads its inventory in one
	// step. An engine that does not check only reports its inventory.
	Claim(ctx context.Context, to Announcement, fence uint64) (Inventory, error)
	// Order sends one order and waits for its answer.
	Order(ctx context.Context, to Announcement, order Order) (OrderAnswer, error)
}

// Views gives the current snapshot to traffic. The view must not be changed.
type Views interface {
	View() *View
}

// Operations are what operators can ask of a VM.
type Operations interface {
	// Apply changes the catalogue. Errors: *ConflictError, *MismatchError,
	// *CatalogueInvalidError, *DoesNotFitError, *NoQuorumError,
	// *OutcomeUnknownError.
	Apply(ctx context.Context, req ApplyRequest) (ApplyAnswer, error)
	// Catalogue is the one in force on this VM.
	Catalogue() Catalogue
	Status() Status
	ExplainModel(name ModelName) (Explanation, error)
	ExplainRequest(id string) (Explanation, error)
	// SetLogLevel changes the level at run time: debug, info, warn or error.
	SetLogLevel(level string) error
}
