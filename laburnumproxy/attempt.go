package laburnumproxy

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"

	"laburnumlever"
	"laburnumlever/laburnumchart"
)

// Events and states of the state chart attempt.jsonc.
const (
	evWriteStarted = "write-started"
	evGaveUp       = "gave-up"
	evAnswerWhole  = "answer-whole"
	evSaidNotRun   = "backend-said-not-run"
	evLost         = "connection-lost"
	evCrossed      = "crossed-answer"
	stateNotRun    = "not-run"
)

// Headers exchanged with backend servers and callers.
const (
	headerAttemptID      = "X-Attempt-Id"
	headerOutcome        = "Laburnumlever-Outcome"
	headerRequestID      = "X-Request-Id"
	headerPriority       = "X-Priority"
	headerResumeFrom     = "X-Resume-From"
	headerIdempotencyKey = "Idempotency-Key"
)

var attemptChart = laburnumchart.MustLoad("attempt")

// attempt is one try to serve a request on one backend server.
//
// It prevents two failures. The first is reporting not-run although a byte was sent:
// the connection counts writes, and deciding that nothing was written seals the
// connection in the same step, so that the transport can't write a moment later. The
// second is net/http's own retry when a reused connection dies (also for a POST with an
// Idempotency-Key header): once an attempt has written to its first connection, a
// second one is sealed and the attempt is cancelled, so that no attempt is written to
// two connections.
type attempt struct {
	id            string
	backend       laburnumlever.BackendID
	cancel        context.CancelFunc
	mu            sync.Mutex
	state         string
	conn          *countedConn
	writesBefore  uint64
	pendingChecks []chan struct{} // one for each connection used, closed by releaseConns
}

func newAttempt(id string, backend laburnumlever.BackendID, cancel context.CancelFunc) *attempt {
	return &attempt{id: id, backend: backend, cancel: cancel, state: attemptChart.Initial()}
}

func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	checked := conn.acquire()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pendingChecks = append(a.pendingChecks, checked)
	if a.conn != nil && a.conn.writeCount() > a.writesBefore {
		conn.sealIfUnwritten(conn.writeCount())
		a.cancel()
		return
	}
	a.conn = conn
	a.writesBefore = conn.writeCount()
}

// fail records that the attempt got no complete response.
func (a *attempt) fail() {
	defer a.releaseConns()
	a.mu.Lock()
	conn, base := a.conn, a.writesBefore
	a.mu.Unlock()
	if conn != nil && conn.sealIfUnwritten(base) {
		a.apply(evWriteStarted)
		a.apply(evLost)
		return
	}
	a.apply(evGaveUp)
}

// maxStatus is the last status that RFC 9110 (15) defines a class for.
const maxStatus = 599

// checkResponse checks the status and the attempt ID in the response header. It closes the connection of a
// response that belongs to another attempt, or has no status of a final one.
func (a *attempt) checkResponse(resp *http.Response) error {
	defer a.releaseConns()
	a.apply(evWriteStarted)
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		a.apply(evCrossed)
		a.closeConn()
		return &noStatusError{Status: resp.StatusCode}
	}
	got := resp.Header.Get(headerAttemptID)
	if got != a.id {
		a.apply(evCrossed)
		a.closeConn()
		return &CrossedAnswerError{Want: a.id, Got: got}
	}
	if resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get(headerOutcome) == laburnumlever.OutcomeNotRun.String() {
		a.apply(evSaidNotRun)
	}
	return nil
}

// releaseConns lets later attempts use the connections.
func (a *attempt) releaseConns() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, checked := range a.pendingChecks {
		close(checked)
	}
	a.pendingChecks = nil
}

func (a *attempt) closeConn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		_ = a.conn.Close() // never used again, so the error does not matter
	}
}

// apply applies an event to the state chart; an event without a transition is ignored.
func (a *attempt) apply(event string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next, err := attemptChart.Next(a.state, event)
	if err == nil {
		a.state = next
	}
}

func (a *attempt) outcome() laburnumlever.RequestOutcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state == stateNotRun {
		return laburnumlever.OutcomeNotRun
	}
	return laburnumlever.OutcomeUnknown
}
