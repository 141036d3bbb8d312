package laburnumgateway

import (
	"bytes"
	"context"
	"io"
	"mime"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumretry"

	"github.com/cockroachdb/errors"
)

const (
	maxBuffered = 1 << 20 // bytes; an answer up to this size is buffered, so that a broken one can be retried
	streamType  = "text/event-stream"
)

// hopByHopHeaders are response headers that are not forwarded: those about the connection (RFC 9110,
// section 7.6.1), and Content-Length, which the gateway sets itself where the length is known.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Te"}

// answer is the state of the response to the caller.
type answer struct {
	w       http.ResponseWriter
	started bool
	// endDoubted is set once an attempt ended the answer, and more bytes came behind it. It is complete once another attempt ends it
	// there as well.
	endDoubted bool
	// firstAt and lastAt are when the first and last parts were written; pause is the longest time
	// between two consecutive parts.
	firstAt, lastAt time.Time
	pause           time.Duration
	events          int // parts written
	// heard is called for each part of the answer that arrives, begin before the first part is written; it returns false if the
	// attempt has been ended.
	heard func()
	begin func() bool
}

// start writes the head unless it was written before. It returns false if the attempt has been ended.
func (a *answer) start(header http.Header, status int) bool {
	if a.started {
		return true
	}
	if !a.begin() {
		return false
	}
	copyHeader(a.w.Header(), header)
	a.w.WriteHeader(status)
	a.started = true
	return true
}

// recordPart records that a part of the answer was written.
func (a *answer) recordPart(now time.Time) {
	if a.firstAt.IsZero() {
		a.firstAt = now
	} else {
		a.pause = max(a.pause, now.Sub(a.lastAt))
	}
	a.lastAt = now
	a.endDoubted = false
	a.events++
}

// bufferedAnswer is a complete answer of a backend server.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (s *bufferedAnswer) write(w http.ResponseWriter) {
	copyHeader(w.Header(), s.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(s.body)))
	w.WriteHeader(s.status)
	_, _ = w.Write(s.body) // an error means that the caller has disconnected
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopByHopHeaders, name) {
			to[name] = values
		}
	}
}

// forwardAnswer forwards an answer to the caller. An error answer is stored instead.
func (g *Gateway) forwardAnswer(ctx context.Context, q *request, out *answer, ticket *laburnumbalance.Ticket, resp *http.Response, result *laburnumbalance.AttemptResult) *failure {
	if q.expectsEvents(resp) {
		return g.forwardStream(ctx, q, out, ticket, resp, result)
	}
	resp.Body = heardBody{ReadCloser: resp.Body, heard: out.heard}
	body, whole, release, err := g.buffer(resp.Body)
	defer release()
	if err != nil {
		result.Failed = ctx.Err() == nil
		return &failure{stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedBackendError, cause: &BrokenAnswerError{Cause: err}}
	}
	if out.started {
		result.Failed, result.Faulty = true, true
		return &failure{stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedBrokenStream, cause: &AnswerStatusError{Status: resp.StatusCode}}
	}
	if !whole && !impliesNotRun(resp.StatusCode) { // an unmarked refusal is stored as a failure, whatever its length
		return g.forwardLong(ctx, out, resp, body, result)
	}
	stored := &bufferedAnswer{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode >= http.StatusInternalServerError || impliesNotRun(resp.StatusCode) {
		return g.storeErrorAnswer(q, stored, result)
	}
	out.started = true
	q.begunAt = g.timers.Now()
	out.recordPart(q.begunAt)
	stored.write(out.w)
	return nil
}

// isStream reports whether an answer is an event stream. Parameters of its type don't matter, valid or not.
func isStream(resp *http.Response) bool {
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return (err == nil || errors.Is(err, mime.ErrInvalidMediaParameter)) && kind == streamType && resp.StatusCode == http.StatusOK
}

// expectsEvents reports whether the body of an answer consists of events.
func (q *request) expectsEvents(resp *http.Response) bool {
	return isStream(resp) && q.method != http.MethodHead && resp.Header.Get("Content-Encoding") == ""
}

// buffer reads an answer as far as the budget of buffers allows, and reports whether that is the whole of it. What was read is held
// until release is called.
func (g *Gateway) buffer(r io.Reader) (body []byte, whole bool, release func(), err error) {
	release = func() {}
	body, err = io.ReadAll(io.LimitReader(r, freeBuffer+1))
	if err != nil || len(body) <= freeBuffer {
		return body, true, release, err
	}
	if !g.buffers.take(maxBuffered) {
		return body, false, release, nil
	}
	buffered := bytes.NewBuffer(body)
	_, err = io.Copy(buffered, io.LimitReader(r, int64(maxBuffered+1-len(body))))
	return buffered.Bytes(), buffered.Len() <= maxBuffered, func() { g.buffers.give(maxBuffered) }, err
}

// storeErrorAnswer stores an error answer, which the caller gets if no other attempt succeeds.
func (g *Gateway) storeErrorAnswer(q *request, stored *bufferedAnswer, result *laburnumbalance.AttemptResult) *failure {
	result.Failed, result.Faulty = true, true // the balancer takes neither for a fault if it asked for rest
	if impliesNotRun(stored.status) {
		// The backend server may have run the request, but this status would tell the caller that
		// it did not.
		return &failure{stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedBackendError, cause: &AnswerStatusError{Status: stored.status}}
	}
	q.errorAnswer = stored
	return &failure{stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedBackendError, cause: &AnswerStatusError{Status: stored.status}}
}

func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// forwardLong streams an answer that is too long to be buffered. Head is the part read so far.
func (g *Gateway) forwardLong(ctx context.Context, out *answer, resp *http.Response, head []byte, result *laburnumbalance.AttemptResult) *failure {
	if resp.ContentLength > 0 {
		out.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	if !out.start(resp.Header, resp.StatusCode) {
		out.w.Header().Del("Content-Length") // it is not that of the next attempt's answer
		return brokenAnswer(ctx, net.ErrClosed)
	}
	body := &failingReader{Reader: resp.Body}
	if _, err := io.Copy(out.w, io.MultiReader(bytes.NewReader(head), body)); err != nil {
		result.Failed = body.failed && ctx.Err() == nil
		return brokenAnswer(ctx, err)
	}
	return nil
}

// failingReader records whether a read failed, which a copy does not tell from a failed write.
type failingReader struct {
	io.Reader
	failed bool
}

// Read implements io.Reader.
func (r *failingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.failed = r.failed || err != nil && !errors.Is(err, io.EOF)
	return n, err
}

func brokenAnswer(ctx context.Context, err error) *failure {
	if stopped(ctx) {
		return &failure{stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedVMStopped, cause: &VMStoppedError{}}
	}
	if ctx.Err() != nil && !deadlineExceeded(ctx) {
		return &failure{stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedCallerGone, cause: &CallerGoneError{Cause: err}}
	}
	return &failure{stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedBrokenStream, cause: &BrokenAnswerError{Cause: err}}
}

// forwardStream forwards a stream event by event. The head is written with the first one, so that an answer that begins with anything
// else leaves no trace of its server.
func (g *Gateway) forwardStream(ctx context.Context, q *request, out *answer, ticket *laburnumbalance.Ticket, resp *http.Response, result *laburnumbalance.AttemptResult) *failure {
	body := &flushingReader{Reader: resp.Body, flush: http.NewResponseController(out.w).Flush}
	events := newEventReader(body, g.buffers)
	defer events.close()
	for first := true; ; first = false {
		event, next, err := g.nextEvent(q, out, resp, events)
		if err != nil {
			body.flushPending() // the whole events before the end or the break
		}
		if body.failed != nil {
			return &failure{stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedCallerGone, cause: &CallerGoneError{Cause: body.failed}}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			result.Failed = ctx.Err() == nil
			return brokenAnswer(ctx, err)
		}
		if err != nil {
			return g.endStream(ctx, q, out, resp, result, first)
		}
		if !out.start(resp.Header, http.StatusOK) {
			return brokenAnswer(ctx, net.ErrClosed)
		}
		q.events = next
		if first {
			q.begunAt = g.timers.Now()
			g.fleet.recordFirstEvent(ticket)
			g.countFirstEvent(q)
			g.beginStream(ctx, q, ticket)
		}
		if _, err := out.w.Write(event); err != nil {
			return &failure{stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedCallerGone, cause: &CallerGoneError{Cause: err}}
		}
		body.pending = true
		out.recordPart(g.timers.Now())
		g.fleet.recordInterval(q, out)
	}
}

// flushingReader flushes what was written to the caller before it waits for more of a stream.
type flushingReader struct {
	io.Reader
	flush   func() error
	pending bool
	// failed is the error of a flush.
	failed error
}

// Read implements io.Reader.
func (r *flushingReader) Read(p []byte) (int, error) {
	if r.flushPending(); r.failed != nil {
		return 0, r.failed
	}
	return r.Reader.Read(p)
}

func (r *flushingReader) flushPending() {
	if r.pending {
		r.pending, r.failed = false, r.flush()
	}
}

// maxBlankBlocks bounds the blocks in a row that carry no event.
const maxBlankBlocks = 256

// nextEvent returns the next event of the stream, and the sequence with it. Blocks that carry none are dropped, but for those of routes
// that are no streams. The error is io.EOF at the end of the stream.
func (g *Gateway) nextEvent(q *request, out *answer, resp *http.Response, events *eventReader) ([]byte, eventSequence, error) {
	next := q.events
	for range maxBlankBlocks {
		block, err := events.next()
		if err == nil {
			out.heard()
		}
		if errors.Is(err, io.EOF) && len(block) > 0 {
			return nil, next, endedEarly(resp, &EventCutError{})
		}
		if err != nil {
			return nil, next, err
		}
		event, err := g.dialect.Event(block)
		switch {
		case err != nil:
			return nil, next, err
		case !event.Blank:
			err = next.take(event)
			return block, next, err
		case q.route.Kind != laburnumlever.KindStream:
			return block, next, nil
		}
	}
	return nil, next, &BlankEventsError{Count: maxBlankBlocks}
}

// endStream ends a stream whose server says that it is complete. The attempt brought no event of it if empty is set.
func (g *Gateway) endStream(ctx context.Context, q *request, out *answer, resp *http.Response, result *laburnumbalance.AttemptResult, empty bool) *failure {
	err := q.events.end()
	switch {
	case empty && !provesWhole(resp):
		err = io.ErrUnexpectedEOF // that of a connection that was lost looks the same
	case q.route.Kind != laburnumlever.KindStream:
		err = nil
	}
	if err != nil {
		result.Failed = ctx.Err() == nil
		return brokenAnswer(ctx, err)
	}
	if !out.start(resp.Header, http.StatusOK) {
		return brokenAnswer(ctx, net.ErrClosed)
	}
	return nil
}

// endedEarly returns the error of a stream that ended where it can't be complete: that of its connection if this is what ended it.
func endedEarly(resp *http.Response, err error) error {
	if provesWhole(resp) {
		return err
	}
	return io.ErrUnexpectedEOF
}

// heardBody reports each part of an answer that arrives.
type heardBody struct {
	io.ReadCloser
	heard func()
}

func (b heardBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.heard()
	}
	return n, err
}
