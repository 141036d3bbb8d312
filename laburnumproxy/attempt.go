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
	headerAttempt  = "X-Attempt-Id"
	headerOutcome  = "Laburnumlever-Outcome"
	headerRequest  = "X-Request-Id"
	headerPriority = "X-Priority"
	headerResume   = "X-Resume-From"
	headerKey      = "Idempotency-Key"
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
	id      string
	backend laburnumlever.BackendID
	cancel  context.CancelFunc
	mu      sync.Mutex
	state   string
	conn    *countedConn
	base    uint64
	judged  []chan struct{} // of the connections it had, closed when it is judged
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
	judged := conn.handOver()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.judged = append(a.judged, judged)
	if a.conn != nil && a.conn.count() > a.base {
		conn.sealUnless(conn.count())
		a.cancel()
		return
	}
	a.conn = conn
	a.base = conn.count()
}

// failed judges an attempt that brought no whole answer.
func (a *attempt) failed() {
	defer a.judge()
	a.mu.Lock()
	conn, base := a.conn, a.base
	a.mu.Unlock()
	if conn != nil && conn.sealUnless(base) {
		a.take(evWriteStarted)
		a.take(evLost)
		return
	}
	a.take(evGaveUp)
}

// answered takes the head of an answer. A crossed one closes the connection.
func (a *attempt) answered(resp *http.Response) error {
	defer a.judge()
	a.take(evWriteStarted)
	got := resp.Header.Get(headerAttempt)
	if got != a.id {
		a.take(evCrossed)
		a.closeConn()
		return &CrossedAnswerError{Want: a.id, Got: got}
	}
	if resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get(headerOutcome) == laburnumlever.OutcomeNotRun.String() {
		a.take(evSaidNotRun)
	}
	return nil
}

// judge lets the next attempts have the connections.
func (a *attempt) judge() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, judged := range a.judged {
		close(judged)
	}
	a.judged = nil
}

func (a *attempt) closeConn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		_ = a.conn.Close() // it is never used again, whatever closing it says
	}
}

// take moves the attempt on; an event that its state does not take changes nothing.
func (a *attempt) take(event string) {
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
