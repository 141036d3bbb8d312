package laburnumlever

// BackendKind distinguishes model engines from plain services.
type BackendKind int

// The kinds of backend server.
const (
	Engine BackendKind = iota
	PlainService
)

// Priority orders classes under overload; the lower value is served first.
type Priority int

// The priorities of a class.
const (
	Interactive Priority = iota
	Batch
)

// OrderKind is the operation that an order asks of a model engine.
type OrderKind int

// The kinds of order.
const (
	Load OrderKind = iota
	Unload
)

// OrderOutcome is the result of an order as reported by the engine.
type OrderOutcome int

// The answers to an order.
const (
	OrderDone         OrderOutcome = iota
	OrderStaleFence                // the engine has seen a higher fencing number
	OrderNoMemory                  // by the engine's accounting, the accelerator lacks the memory
	OrderUnknownModel              // unload of a model that is not loaded
	OrderFailed                    // the engine failed to carry out the order; nothing changed
)

// RefusalReason is the reason why a request was refused or ended without a complete
// answer. Each has its own counter in /metrics.
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
	// RefusedQuarantined is a request that has crashed the backend servers that ran it.
	RefusedQuarantined
	// RefusedUnderTrial is a request of which several copies were on crashed backend servers, while another copy is being
	// tried.
	RefusedUnderTrial
	// RefusedPartQuarantined is a request with a part of its prompt that has crashed the backend servers which ran requests
	// with it.
	RefusedPartQuarantined
	// RefusedBackendLimited is a request that only backend servers could serve whose limits are used up.
	RefusedBackendLimited
	// RefusedBackendBrittle is a request that only brittle backend servers could serve which have no room for it.
	RefusedBackendBrittle
	// RefusedConnectionLimit is a request that backend servers with free slots could serve to which this gateway has all connections
	// that it may open.
	RefusedConnectionLimit
	// RefusedUnknownKey is a request whose key belongs to no client account.
	RefusedUnknownKey
	// RefusedKeysUnconfirmed is a request with a key that may have been revoked, as this VM has not
	// confirmed for too long that its route table is the newest.
	RefusedKeysUnconfirmed
	// RefusedOverQuota is a request beyond the quota of its client account.
	RefusedOverQuota
	// RefusedQuotaUnanswered is a request of a client account with a quota that no control VM grants a part of.
	RefusedQuotaUnanswered
	// RefusedLinksLost is a request at a VM that has lost its links to all backend servers and finds no other VM to
	// connect through.
	RefusedLinksLost
	// RefusedBackendResting is a request that only backend servers could serve which have asked for rest.
	RefusedBackendResting
	// RefusedStreamUnknown is a request that takes up a stream of which it is not known which software version began it.
	RefusedStreamUnknown
	// RefusedStreamVersionGone is a request that takes up a stream whose software version no backend server runs.
	RefusedStreamVersionGone
	// RefusedVMStopped is a request that was in flight when this VM's time to shut down was over.
	RefusedVMStopped
	// RefusedIntakeFull is a request that this VM has no room to receive.
	RefusedIntakeFull
	// RefusedInternalError is a request at which this VM's own code panicked.
	RefusedInternalError
)

// QuotaUnit is the unit of a client account's quota.
type QuotaUnit int

// The units of a quota.
const (
	QuotaRequests QuotaUnit = iota
	QuotaTokens
)

// RetryReason is the reason why a request was retried.
type RetryReason int

// The reasons for retry.
const (
	RetryNotSent RetryReason = iota
	RetryBackendSaidNotRun
	RetryIdempotentAfterSend
	RetryStreamResumed
	RetryStreamReplayed
)

// AttemptState is the state of one attempt at a request. The transitions are in the
// chart attempt.jsonc.
type AttemptState int

// The states of an attempt.
const (
	AttemptNotSent AttemptState = iota
	AttemptSent
	AttemptAnswered
	AttemptNotRun
)

// RequestOutcome is what is known about the execution of a request.
type RequestOutcome int

// The outcomes of a request.
const (
	OutcomeNotRun RequestOutcome = iota
	OutcomeUnknown
	OutcomeAnswered
)

// CommandKind is the kind of a command to the replicated state machine.
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

// ResultCode is the state machine's result for a command.
type ResultCode int

// The result codes.
const (
	ResultOK        ResultCode = iota
	ResultConflict             // the expected revision is not the current one, or another VM holds the lease
	ResultRepeated             // the change ID is known; the recorded result is returned
	ResultClaimed              // the key is claimed and has no answer yet
	ResultAnswered             // the key is claimed and its answer is recorded
	ResultMismatch             // the key or change ID was used before with different content
	ResultFull                 // the bounded table is full
	ResultUnknown              // no such lease, intent or claim
	ResultInvalid              // the command is malformed; nothing was changed
	ResultNotHolder            // the fencing number does not match the lease
)

// VMState is the state of a VM in the membership.
type VMState int

// The states of a VM.
const (
	VMAlive VMState = iota
	VMSuspect
	VMDown
	VMLeft
)

// RequestKind tells whether requests of a route may be retried.
type RequestKind int

// The kinds of request.
const (
	KindIdempotent RequestKind = iota
	KindNonIdempotent
	// KindStream is answered by a stream of events. The request runs at most once
	// unless its route is resumable.
	KindStream
)

// EngineVerdict is a model engine's immediate answer to an order.
type EngineVerdict int

// The verdicts of an engine.
const (
	VerdictAccepted   EngineVerdict = iota // the engine is carrying out the order
	VerdictHeld                            // the engine is already in the requested state
	VerdictConflict                        // another order is in progress or was accepted first
	VerdictStaleFence                      // the engine has seen a higher fencing number
	VerdictOther                           // another backend server now has the address
	VerdictInvalid                         // the engine does not support the order
)
