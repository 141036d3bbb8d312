package laburnumproxy

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"

	"laburnumlever"
	"laburnumlever/laburnumchart"
)

// Events and states of the chart attempt.jsonc.
const (
	evWriteStarted = "write-started"
	evGaveUp       = "gave-up"
	evAnswerWhole  = "answer-whole"
	evSaidNotRun   = "backend-said-not-run"
	evLost         = "connection-lost"
	evCrossed      = "crossed-answer"
	stateNotRun    = "not-run"
)

// Headers of the wire to backend servers and callers.
const (
	headerAttemptID      = "X-Attempt-Id"
	headerOutcome        = "Laburnumlever-Outcome"
	headerRequestID      = "X-Request-Id"
	headerPriority       = "X-Priority"
	headerResumeFrom     = "X-Resume-From"
	headerIdempotencyKey = "Idempotency-Key"
)

var attemptChart = laburnumchart.MustLoad("attempt")

// attempt is one try at a request on one backend server.
//
// It guards against two failures. A request that died is called not run although a
// byte of it got out: the connection counts writes, and judging an attempt with no
// write seals the connection in the same step, so that the transport's writer
// can't send it a moment later. And net/http sends a request again by itself when
// a reused connection dies (also a POST, if it has an Idempotency-Key header):
// a second connection for an attempt that has written on its first is sealed and
// the attempt cancelled, so no attempt reaches two connections.
type attempt struct {
	id            string
	backend       laburnumlever.BackendID
	cancel        context.CancelFunc
	mu            sync.Mutex
	state         string
	conn          *countedConn
	writesBefore  uint64
	pendingChecks []chan struct{} // of the connections it had, closed when it is judged
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

// fail judges an attempt that brought no whole answer.
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

// checkResponse takes the head of an answer. A crossed one closes the connection.
func (a *attempt) checkResponse(resp *http.Response) error {
	defer a.releaseConns()
	a.apply(evWriteStarted)
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

// releaseConns lets the next attempts have the connections.
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
		_ = a.conn.Close() // it is never used again, whatever closing it says
	}
}

// apply moves the attempt on; an event that its state does not apply changes nothing.
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
