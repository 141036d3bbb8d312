package laburnumlever

// BackendKind tells model engines from plain services.
type BackendKind int

// The kinds of backend server.
const (
	Engine BackendKind = iota
	PlainService
)

// Priority orders classes when not all work can be done: the lower value goes
// first.
type Priority int

// The priorities of a class.
const (
	Interactive Priority = iota
	Batch
)

// OrderKind says what an order asks of a model engine.
type OrderKind int

// The kinds of order.
const (
	Load OrderKind = iota
	Unload
)

// OrderOutcome is what an engine answered to an order.
type OrderOutcome int

// The answers to an order.
const (
	OrderDone         OrderOutcome = iota
	OrderStaleFence                // the engine has seen a higher fencing number
	OrderNoMemory                  // the engine's own count would exceed the accelerator's memory
	OrderUnknownModel              // an unload of something not loaded
	OrderFailed                    // the engine tried and failed; nothing changed
)

// RefusalReason says why a request was turned away or ended without a whole
// answer. Each has a counter of its own in /metrics.
type RefusalReason int

// The reasons for refusal.
const (
	RefusedBadRequest RefusalReason = iota
	RefusedTooLarge
	RefusedUnknownModel
	RefusedUnknownService
	RefusedNotReady
	RefusedDraining
	RefusedOwnerRequestRate
	RefusedOwnerTokenRate
	RefusedOwnerInFlight
	RefusedQueueFull
	RefusedQueueTimeout
	RefusedDeadline
	RefusedNoBackend
	RefusedBackendBusy
	RefusedBackendUnreachable
	RefusedBackendError
	RefusedRetryBudget
	RefusedBrokenStream
	RefusedCrossedAnswer
	RefusedNoQuorum
	RefusedKeyInProgress
	RefusedKeyMismatch
	RefusedOutcomeUnknown
	RefusedCallerGone
)

// RetryReason says why a request was attempted again.
type RetryReason int

// The reasons for retry.
const (
	RetryNotSent RetryReason = iota
	RetryBackendSaidNotRun
	RetryIdempotentAfterSend
	RetryStreamResumed
	RetryStreamReplayed
)

// AttemptState is how far one attempt at a request has come. The transitions
// are in the chart attempt.jsonc.
type AttemptState int

// The states of an attempt.
const (
	AttemptNotSent AttemptState = iota
	AttemptSent
	AttemptAnswered
	AttemptNotRun
)

// RequestOutcome is what a caller may be told of a request that has no whole
// answer.
type RequestOutcome int

// The outcomes of a request.
const (
	OutcomeNotRun RequestOutcome = iota
	OutcomeUnknown
	OutcomeAnswered
)

// CommandKind names a command to the replicated state machine.
type CommandKind int

// The commands.
const (
	CommandApplyCatalogue CommandKind = iota
	CommandClaimRequest
	CommandRecordAnswer
	CommandAcquireLease
	CommandRenewLease
	CommandExpireLease
	CommandReleaseLease
	CommandRecordIntent
	CommandResolveIntent
	CommandNoop
	CommandApplyRoutes
	CommandReadRoutes
)

// ResultCode is the state machine's verdict on a command.
type ResultCode int

// The verdicts.
const (
	ResultOK        ResultCode = iota
	ResultConflict             // expected revision is not the current one, or the lease is another's
	ResultRepeated             // the change id is known: the recorded answer is returned again
	ResultClaimed              // the key is claimed and has no answer yet
	ResultAnswered             // the key is claimed and its answer is recorded
	ResultMismatch             // the key or change id was used with other content
	ResultFull                 // the bounded table has no room
	ResultUnknown              // no such lease, intent or claim
	ResultInvalid              // the command is malformed; nothing was changed
	ResultNotHolder            // the fencing number is not the lease's
)

// VMState is what the membership holds of a VM.
type VMState int

// The states of a VM.
const (
	VMAlive VMState = iota
	VMSuspect
	VMDown
	VMLeft
)

// RequestKind says what may be repeated of a route's requests.
type RequestKind int

// The kinds of request.
const (
	KindIdempotent RequestKind = iota
	KindNonIdempotent
	// KindStream is answered by a series of events; it runs at most once
	// unless its route is resumable.
	KindStream
)

// EngineVerdict is what a model engine made of an order.
type EngineVerdict int

// The verdicts on an order.
const (
	VerdictAccepted   EngineVerdict = iota // it is being carried out
	VerdictHeld                            // what it asks for is so already
	VerdictConflict                        // another order is under way or came before
	VerdictStaleFence                      // the engine has seen a higher fencing number
	VerdictOther                           // another backend server has the address now
	VerdictInvalid                         // the engine does not know such an order
)
