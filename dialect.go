package laburnumlever

import (
	"context"
	"net/http"
	"time"
)

// PromptPart is one part of a prompt, which other requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// CallerRequest is what a caller's headers say of its request.
type CallerRequest struct {
	// ID names this one try of the caller.
	ID string
	// Wait is how long the caller waits from now; 0 when it does not say.
	Wait    time.Duration
	Model   ModelName
	Adapter AdapterName
	// PromptTokens is exact; MaxAnswerTokens is a bound, and AnswerHint an
	// estimate that is right at the median but often far off.
	PromptTokens    int
	MaxAnswerTokens int
	AnswerHint      int
	// Prompt lists the parts in order; the last belongs to this request or its
	// session alone.
	Prompt []PromptPart
	// LastEvent is the id of the last stream event that the caller has.
	LastEvent string
}

// Send is what this VM says with a request that it sends to a backend server.
type Send struct {
	// Wait is what is left of the caller's patience.
	Wait time.Duration
	// Backend is the only one that may run the request.
	Backend BackendID
	// LastEvent makes a stream go on after this event; empty from the start.
	LastEvent string
	// Reservation is the place that was reserved for it; empty for none.
	Reservation ReservationID
}

// ReservationID names a place that a model engine keeps for one request.
type ReservationID string

// Reservation asks a model engine for a place and the memory for a number of tokens.
type Reservation struct {
	Backend BackendID
	Tokens  int
	// For is how long the place is kept for the request.
	For time.Duration
}

// EngineCall is a call to a model engine beside callers' requests.
type EngineCall struct {
	Method, URI string
	Header      http.Header
	Body        []byte
}

// AnswerMarks is what a backend server's headers say of its answer.
type AnswerMarks struct {
	RequestID string
	// Backend is the identity that the answering one gives; empty when it does
	// not.
	Backend BackendID
	// NotRun tells that the backend server surely did not run the request.
	NotRun bool
	// Stamped tells that the answer is a backend server's own.
	Stamped bool
	// Running, Waiting and Slots are its load, if HasLoad.
	HasLoad                 bool
	Running, Waiting, Slots int
}

// Dialect speaks the platform's headers between callers, this system and backend
// servers.
type Dialect interface {
	// Request reads a caller's headers. An error is an *InvalidValueError.
	Request(header http.Header) (CallerRequest, error)
	// Forward copies a caller's headers that go to a backend server, and adds
	// what is sent.
	Forward(from http.Header, send Send) http.Header
	// Answer reads a backend server's headers.
	Answer(status int, header http.Header) AnswerMarks
	// Reserve makes the call that reserves a place.
	Reserve(r Reservation) EngineCall
	// Reserved reads its answer; false where the engine has no place. An error means
	// that the answer says neither.
	Reserved(status int, body []byte) (ReservationID, bool, error)
	// EventID returns the id of a stream's event, and whether it has one.
	EventID(event []byte) (string, bool)
}

// FleetControl is what backend servers and operators ask of a control VM.
type FleetControl interface {
	// Heartbeat takes a backend server's word about itself; every VM in touch is told
	// within moments. The address is where its later heartbeats are best sent; empty
	// where any control VM will do.
	Heartbeat(ctx context.Context, h Heartbeat) (address string, err error)
	// Remove takes a backend server's word that it is gone or going.
	Remove(ctx context.Context, backend BackendID) error
	// ApplyRoutes puts a route table into force unless a higher version is.
	// Errors: *RoutesInvalidError, *NoQuorumError, *OutcomeUnknownError.
	ApplyRoutes(ctx context.Context, table RouteTable) error
	// ReadRoutes returns the newest table, surely. Errors: *NotFoundError before
	// the first, *NoQuorumError and *OutcomeUnknownError when this VM can't be
	// sure.
	ReadRoutes(ctx context.Context) (RouteTable, error)
}

// ModelEngines asks things of model engines that take orders by sequence.
type ModelEngines interface {
	// Order sends one order. An error means that the outcome is unknown, unless
	// it is a *NotSentError.
	Order(ctx context.Context, to Heartbeat, order EngineOrder) (EngineVerdict, error)
	// State asks an engine for its state, which lags a little.
	State(ctx context.Context, to Heartbeat) (EngineState, error)
}
