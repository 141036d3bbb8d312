package laburnumlever

import (
	"context"
	"time"
)

// Timers schedules callbacks. Callbacks run one at a time on the service's own
// goroutine and must be short; most only post an event. Times carry a monotonic
// clock reading.
type Timers interface {
	// Now returns the current time.
	Now() time.Time
	// Every calls fn once each period until cancel is called.
	Every(period time.Duration, fn func(now time.Time)) (cancel func())
	// After calls fn once after d unless cancel is called before.
	After(d time.Duration, fn func(now time.Time)) (cancel func())
}

// Event is a typed message to a Part on the control thread.
type Event interface {
	// EventName returns the event's name in logs and metrics, in kebab case.
	EventName() string
}

// Part is an event handler that owns some control state. Handle runs only on the control
// thread and does no I/O: workers do the I/O and post an event when done.
type Part interface {
	Handle(ev Event)
}

// Loop is the event loop of the control thread.
type Loop interface {
	// Post queues an event for a Part. It never blocks and may be called from
	// any goroutine. After the loop has stopped it does nothing.
	Post(to Part, ev Event)
}

// PeerHandler handles a call from another VM. It runs on its own goroutine.
type PeerHandler func(ctx context.Context, params RawMessage) (any, error)

// Peers sends messages to other VMs and receives theirs.
type Peers interface {
	// Call sends a request to the VM at the address and waits for the answer.
	// Errors are *PeerUnreachableError (never sent), *PeerLostError (sent, no
	// answer) or *PeerRefusedError (the other VM answered with an error).
	Call(ctx context.Context, address, method string, params, result any) error
	// Notify sends a message without an answer. It never blocks; a message that
	// cannot be sent is dropped and counted.
	Notify(address, method string, params any)
	// Handle registers the handler of a method. All handlers must be registered before
	// serving.
	Handle(method string, handler PeerHandler)
}

// Proposer submits commands to the replicated log from any goroutine. A VM without a
// replica forwards them to the leader.
type Proposer interface {
	// Propose returns once the command is committed and applied. A
	// *NoQuorumError means that it was certainly not committed, an
	// *OutcomeUnknownError that it may still be, a *CommandRejectedError
	// that it was not carried out.
	Propose(ctx context.Context, cmd Command) (Result, error)
}

// BackendRegistry accepts announcements and reports of backend servers from any
// goroutine. A lower incarnation or sequence than the known one is a *StaleNewsError.
type BackendRegistry interface {
	Announce(ctx context.Context, a Announcement) error
	Report(ctx context.Context, r LoadReport) error
	Leave(ctx context.Context, backend BackendID, incarnation uint64) error
}

// Engines sends orders to model engines. After an error other than *NotSentError the
// outcome is unknown.
type Engines interface {
	// Claim atomically raises the engine's fencing number and reads its inventory. An
	// engine that does not check fencing numbers only reports its inventory.
	Claim(ctx context.Context, to Announcement, fence uint64) (Inventory, error)
	// Order sends one order and waits for its answer.
	Order(ctx context.Context, to Announcement, order Order) (OrderAnswer, error)
}

// Views provides the current snapshot for request handling. Callers must not modify the
// view.
type Views interface {
	View() *View
}

// Operations are the calls that operators can make to a VM.
type Operations interface {
	// Apply changes the catalogue. Errors: *ConflictError, *MismatchError,
	// *CatalogueInvalidError, *DoesNotFitError, *NoQuorumError,
	// *OutcomeUnknownError.
	Apply(ctx context.Context, req ApplyRequest) (ApplyAnswer, error)
	// Catalogue returns the catalogue in effect on this VM.
	Catalogue() Catalogue
	Status() Status
	ExplainModel(name ModelName) (Explanation, error)
	ExplainRequest(id string) (Explanation, error)
	// SetLogLevel changes the level at run time: debug, info, warn or error.
	SetLogLevel(level string) error
}
