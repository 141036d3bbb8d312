package laburnumlever

import (
	"context"
	"net/http"
	"time"
)

// PromptPart is one part of a prompt. Other requests may share it.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// CallerRequest holds the values of a caller's request headers.
type CallerRequest struct {
	// ID identifies this attempt of the caller.
	ID string
	// Timeout is the time until the caller's deadline; 0 if the caller sets none.
	Timeout time.Duration
	Model   ModelName
	Adapter AdapterName
	// PromptTokens is exact and MaxAnswerTokens an upper bound. AnswerHint is an
	// estimate that is right at the median but often far off.
	PromptTokens    int
	MaxAnswerTokens int
	AnswerHint      int
	// Prompt lists the parts in order; the last one is specific to this request or
	// its session.
	Prompt []PromptPart
	// CountsTokens reports whether the caller named PromptTokens and MaxAnswerTokens.
	CountsTokens bool
	// LastEvent is the ID of the last stream event that the caller received.
	LastEvent string
	// Resumes is the ID of the attempt that brought the first event of the stream that LastEvent is of; empty if
	// the caller names none.
	Resumes string
	// Key identifies the caller's client account; empty for none. It must not be logged or passed on.
	Key string
}

// SharedParts returns the parts of the prompt that other requests may share: all but the last one.
func (c CallerRequest) SharedParts() []PartID {
	if len(c.Prompt) < 2 {
		return nil
	}
	ids := make([]PartID, 0, len(c.Prompt)-1)
	for _, part := range c.Prompt[:len(c.Prompt)-1] {
		ids = append(ids, PartID(part.ID))
	}
	return ids
}

// ForwardParams holds the values that this VM adds to the headers of a forwarded request.
type ForwardParams struct {
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration
	// Backend is the only backend server that may run the request.
	Backend BackendID
	// LastEvent is the number of the event after which the stream resumes, valid if HasLastEvent is set.
	LastEvent    int64
	HasLastEvent bool
	// Reservation is the slot reserved for the request; empty for none.
	Reservation ReservationID
	// HideKey removes the caller's key. It is set if there are client accounts.
	HideKey bool
	// Account is the caller's client account; empty for none.
	Account AccountName
	// Urgency is the priority at the backend server, valid if HasUrgency is set; 0 is the most urgent.
	Urgency    int
	HasUrgency bool
}

// ReservationID identifies a slot that a model engine reserved for one request.
type ReservationID string

// Reservation asks a model engine for a slot and the memory for a number of tokens.
type Reservation struct {
	Backend BackendID
	Tokens  int
	// TTL is how long the slot stays reserved.
	TTL time.Duration
}

// EngineCall is an HTTP call to a backend server other than a caller's request.
type EngineCall struct {
	Method, URI string
	Header      http.Header
	Body        []byte
}

// AnswerHeaders holds the values of a backend server's response headers.
type AnswerHeaders struct {
	RequestID string
	// Backend is the identity of the answering backend server; empty if it gives
	// none.
	Backend BackendID
	// NotRun reports whether the backend server certainly did not run the request.
	NotRun bool
	// Stamped reports whether the answer comes from a backend server itself.
	Stamped bool
	// Encoding is how the body is encoded, which no request asks for; empty for not at all.
	Encoding string
	// Running, Waiting and Slots are the server's load; valid if HasLoad is set.
	HasLoad                 bool
	Running, Waiting, Slots int
	// Pace is how long work takes on the server's machine at this moment, as a multiple of its usual time; 0 if the
	// server tells none.
	Pace float64
	// LoadError is set if the load or the pace can't be read. It is an *InvalidValueError.
	LoadError error
	// Limit is the number of requests per second that the server accepts from all VMs together;
	// valid if HasLimit is set.
	HasLimit bool
	Limit    float64
	// Brittle is the number of requests that the server may reject in a second without falling over; valid if
	// HasBrittle is set.
	HasBrittle bool
	Brittle    float64
	// Rest is the time for which the server, which turned the request away, wants nothing more from this VM; 0 for none.
	Rest time.Duration
	// Leaving reports whether the server is about to stop.
	Leaving bool
	// LimitError is set if the answer names a limit, brittleness, rest or leave that can't be read. It is an
	// *InvalidValueError.
	LimitError error
}

// StreamEvent is a block of an event stream.
type StreamEvent struct {
	// Blank is set if the block is no event, only lines that carry nothing for a caller.
	Blank bool
	// Number is the event's place in its stream, valid if HasNumber is set.
	Number    int64
	HasNumber bool
}

// Dialect translates the platform's HTTP headers between callers, this system and
// backend servers.
type Dialect interface {
	// Request parses a caller's headers. An error is an *InvalidValueError.
	Request(header http.Header) (CallerRequest, error)
	// Forward returns the headers for a backend server: the caller's end-to-end
	// headers and those for params.
	Forward(from http.Header, params ForwardParams) http.Header
	// Answer parses a backend server's response headers.
	Answer(status int, header http.Header) AnswerHeaders
	// ReservationCall builds the call that reserves a slot.
	ReservationCall(r Reservation) EngineCall
	// ParseReservation parses the answer to a reservation; false means that the engine has no
	// free slot. An error means that the answer is neither a grant nor a refusal.
	ParseReservation(status int, body []byte) (ReservationID, bool, error)
	// LookCall builds the call to which a backend server that tells its load answers at once with it, whatever its load; path is
	// the service's health path.
	LookCall(path string, to BackendID) EngineCall
	// ProbeCall builds a call that a backend server answers while it can be reached, whatever its load.
	ProbeCall() EngineCall
	// Event parses a block of lines, up to an empty one, of an event stream. An error is an *EventInvalidError: no backend server that
	// works sends such bytes.
	Event(block []byte) (StreamEvent, error)
	// LastEvent returns the number of the last event that a caller has received, by its ID; that before the first event if id is empty.
	// An error is an *InvalidValueError.
	LastEvent(id string) (int64, error)
}

// FleetControl handles the calls of backend servers and operators on a control VM.
type FleetControl interface {
	// Heartbeat processes a backend server's heartbeat and propagates it to every
	// reachable VM. The address is the preferred one for later heartbeats; empty if any
	// control VM will do.
	Heartbeat(ctx context.Context, h Heartbeat) (address string, err error)
	// Remove processes a backend server's notice that it has left or is leaving.
	Remove(ctx context.Context, backend BackendID) error
	// ApplyRoutes activates a route table unless a higher version is in effect.
	// Errors: *RoutesInvalidError, *NoQuorumError, *OutcomeUnknownError.
	ApplyRoutes(ctx context.Context, table RouteTable) error
	// ReadRoutes is a linearizable read of the newest table. Errors: *NotFoundError
	// before the first table, *NoQuorumError and *OutcomeUnknownError if this VM
	// can't confirm that its table is the newest.
	ReadRoutes(ctx context.Context) (RouteTable, error)
}

// ModelEngines calls model engines that accept orders by sequence number.
type ModelEngines interface {
	// Order sends one order. An error means that the outcome is unknown, unless
	// it is a *NotSentError.
	Order(ctx context.Context, to Heartbeat, order EngineOrder) (EngineVerdict, error)
	// State reads an engine's state, which may be slightly outdated.
	State(ctx context.Context, to Heartbeat) (EngineState, error)
}
