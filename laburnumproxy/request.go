package laburnumproxy

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumintake"
	"laburnumlever/laburnumrouter"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

const (
	// bytesPerToken estimates a prompt's tokens; English text has about 4 bytes per token.
	bytesPerToken = 4
	// defaultAnswerTokens is the estimate for a request without max_tokens.
	defaultAnswerTokens = 256
	maxRequestIDBytes   = 128
)

// request is one caller's request.
type request struct {
	id              string
	callerKey       string // identifies the caller for fair queueing
	credentialsHash string // hash of Authorization, empty without the header
	received        time.Time
	owner           laburnumlever.OwnerName
	class           laburnumlever.Class
	limits          laburnumlever.Limits // of the model or service
	ownerLimits     laburnumlever.Limits
	model           laburnumlever.ModelName
	service         laburnumlever.ServiceName
	method          string
	path            string // with the query, as sent to the backend server
	header          http.Header
	body            []byte
	incoming        *laburnumintake.Body // holds the room of body
	stream          bool
	// atMostOnce is set for requests that must not run twice.
	atMostOnce bool
	// claimID identifies this request's claim on its idempotency key.
	claimID string
	// maybeSent is set once an attempt may have reached a backend server.
	maybeSent    bool
	prefix       uint64 // hash of the prompt's prefix
	promptTokens int
	answerTokens int
	trace        *requestTrace
}

// subject returns the name of the model or service, for refusals and logs.
func (q *request) subject() string {
	if q.model != "" {
		return string(q.model)
	}
	return string(q.service)
}

// refusal returns a refusal of this request.
func (q *request) refusal(reason laburnumlever.RefusalReason, outcome laburnumlever.RequestOutcome, detail string) *laburnumlever.RefusalError {
	return &laburnumlever.RefusalError{
		Reason: reason, Outcome: outcome, Owner: q.owner, Subject: q.subject(),
		RetryAfter: retryAfter(reason), Detail: detail,
	}
}

func newRequest(r *http.Request, now time.Time) *request {
	q := &request{
		id:       r.Header.Get(headerRequestID),
		received: now,
		method:   r.Method,
		path:     r.URL.RequestURI(),
		header:   r.Header,
	}
	if q.id == "" || len(q.id) > maxRequestIDBytes {
		q.id = uuid.NewString()
	}
	q.callerKey, q.credentialsHash = callerKeys(r)
	return q
}

// callerKeys returns the caller's key for fair queueing and the hash of its credentials.
// The hash leaves out the address: a caller that resends a call may come from another
// address and must find its claim.
func callerKeys(r *http.Request) (key, credentialsHash string) {
	if auth := r.Header.Get("Authorization"); auth != "" {
		credentialsHash = formatHash(xxhash.Sum64String(auth))
		return credentialsHash, credentialsHash
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr, ""
	}
	return host, ""
}

// readBody reads the whole body, up to limit bytes. Its room is held until the request's incoming body is released.
func (o *callerResponse) readBody(intake *laburnumintake.Intake, r *http.Request, limit int64) error {
	o.active.waitingForCaller.Store(true)
	defer o.active.waitingForCaller.Store(false)
	q := o.q
	w := unwrapWriter(o.w)
	controller := http.NewResponseController(w)
	source := laburnumintake.Source{
		Body: http.MaxBytesReader(w, r.Body, limit), Length: r.ContentLength, Limit: limit,
		Interrupt: func() { _ = controller.SetReadDeadline(time.Unix(0, 1)) },
	}
	var err error
	if r.ContentLength > limit {
		err = &laburnumintake.BodyTooLongError{Limit: limit}
	} else {
		q.incoming, err = intake.ReadBody(source)
	}
	var maxBytes *http.MaxBytesError
	var long *laburnumintake.BodyTooLongError
	var full *laburnumintake.FullError
	switch {
	case errors.As(err, &maxBytes), errors.As(err, &long):
		return q.refusal(laburnumlever.RefusedTooLarge, laburnumlever.OutcomeNotRun, err.Error())
	case errors.As(err, &full):
		return q.refusal(laburnumlever.RefusedIntakeFull, laburnumlever.OutcomeNotRun, err.Error())
	case err != nil:
		return q.refusal(laburnumlever.RefusedBadRequest, laburnumlever.OutcomeNotRun, "reading the body failed: "+err.Error())
	}
	q.body = q.incoming.Bytes()
	return nil
}

// completion holds the fields of an OpenAI request that the proxy reads.
type completion struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
}

// readCompletion reads model, sizes and prompt prefix from the body.
func (q *request) readCompletion(l *lookup) error {
	var c completion
	if err := json.Unmarshal(q.body, &c); err != nil {
		return q.refusal(laburnumlever.RefusedBadRequest, laburnumlever.OutcomeNotRun, "the body is not JSON: "+err.Error())
	}
	model := l.findModel(c.Model)
	if model == nil {
		q.model = laburnumlever.ModelName(c.Model)
		return q.refusal(laburnumlever.RefusedUnknownModel, laburnumlever.OutcomeNotRun, "no such model in the catalogue")
	}
	q.model = model.Name
	q.owner = model.Owner
	q.class = l.class(model.Class)
	q.limits = model.Limits
	q.ownerLimits = l.limits(model.Owner)
	q.stream = c.Stream
	q.prefix = laburnumrouter.PrefixHash(promptText(&c))
	q.promptTokens = 1 + promptBytes(&c)/bytesPerToken
	q.answerTokens = max(c.MaxTokens, c.MaxCompletionTokens)
	if q.answerTokens <= 0 {
		q.answerTokens = defaultAnswerTokens
	}
	return nil
}

// findModel finds a model by name. It also accepts "model:adapter", for an adapter of the model.
func (l *lookup) findModel(name string) *laburnumlever.Model {
	if m := l.models[laburnumlever.ModelName(name)]; m != nil {
		return m
	}
	base, _, _ := strings.Cut(name, ":")
	return l.models[laburnumlever.ModelName(base)]
}
