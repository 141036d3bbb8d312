package laburnumgateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumretry"

	"github.com/cockroachdb/errors"
)

const (
	// maxStored bounds an answer that is read whole before it is passed on, so
	// that one that breaks off can be told as such, or asked for again.
	maxStored = 1 << 20
	// eventBuffer takes a usual event in one read.
	eventBuffer = 4 << 10
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
	// streamType begins the content type of a series of events.
	streamType = "text/event-stream"
)

// hopHeaders concern one connection only, or are this server's own to set.
var hopHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Te"}

// answer is what has gone to the caller.
type answer struct {
	w       http.ResponseWriter
	started bool
	// firstAt and lastAt are when the first and last parts were passed on, pause
	// the longest time between two.
	firstAt, lastAt time.Time
	pause           time.Duration
	// events is how many parts were passed on.
	events int
}

// passed notes that a part of the answer has gone to the caller.
func (a *answer) passed(now time.Time) {
	if a.firstAt.IsZero() {
		a.firstAt = now
	} else {
		a.pause = max(a.pause, now.Sub(a.lastAt))
	}
	a.lastAt = now
	a.events++
}

// storedAnswer is a whole answer of a backend server.
type storedAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (s *storedAnswer) write(w http.ResponseWriter) {
	copyHeader(w.Header(), s.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(s.body)))
	w.WriteHeader(s.status)
	_, _ = w.Write(s.body) // an error means that the caller is gone
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopHeaders, name) {
			to[name] = values
		}
	}
}

// pass passes an answer on to the caller.
func (g *Gateway) pass(ctx context.Context, q *request, out *answer, ticket *laburnumbalance.Ticket, resp *http.Response, sample *laburnumbalance.Sample) *failure {
	if resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), streamType) {
		return g.passStream(ctx, q, out, ticket, resp, sample)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStored+1))
	if err != nil {
		sample.Failed = ctx.Err() == nil
		return &failure{stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedBackendError, cause: &BrokenAnswerError{Cause: err}}
	}
	if out.started {
		return &failure{stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedBrokenStream, cause: &AnswerStatusError{Status: resp.StatusCode}}
	}
	if len(body) > maxStored {
		return g.passLong(ctx, out, resp, body)
	}
	stored := &storedAnswer{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		return g.failedAnswer(q, stored, sample)
	}
	out.started = true
	out.passed(g.timers.Now())
	stored.write(out.w)
	return nil
}

// failedAnswer keeps a backend server's word that it failed, which the caller gets
// unless another attempt does better.
func (g *Gateway) failedAnswer(q *request, stored *storedAnswer, sample *laburnumbalance.Sample) *failure {
	sample.Failed = true
	if promisesNotRun(stored.status) {
		// Without the mark the backend server may have run the request, and
		// the status would promise the caller that it has not.
		return &failure{stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedBackendError, cause: &AnswerStatusError{Status: stored.status}}
	}
	q.failed = stored
	return &failure{stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedBackendError, cause: &AnswerStatusError{Status: stored.status}}
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// passLong passes on an answer too long to be kept.
func (g *Gateway) passLong(ctx context.Context, out *answer, resp *http.Response, head []byte) *failure {
	copyHeader(out.w.Header(), resp.Header)
	if resp.ContentLength > 0 {
		out.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	out.started = true
	out.w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(out.w, io.MultiReader(bytes.NewReader(head), resp.Body)); err != nil {
		return brokenOff(ctx, err)
	}
	return nil
}

func brokenOff(ctx context.Context, err error) *failure {
	if ctx.Err() != nil && !expired(ctx) {
		return &failure{stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedCallerGone, cause: &CallerGoneError{Cause: err}}
	}
	return &failure{stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedBrokenStream, cause: &BrokenAnswerError{Cause: err}}
}

// passStream passes whole events on as they come. What is left of a broken event is
// dropped, so that the stream can go on elsewhere behind the last whole one.
func (g *Gateway) passStream(ctx context.Context, q *request, out *answer, ticket *laburnumbalance.Ticket, resp *http.Response, sample *laburnumbalance.Sample) *failure {
	if !out.started {
		copyHeader(out.w.Header(), resp.Header)
		out.w.WriteHeader(http.StatusOK)
		out.started = true
	}
	flusher := http.NewResponseController(out.w)
	r := bufio.NewReaderSize(resp.Body, eventBuffer)
	event := make([]byte, 0, eventBuffer)
	first := true
	for {
		var err error
		event, err = readEvent(r, event[:0])
		if err != nil && (!errors.Is(err, io.EOF) || len(event) > 0) {
			sample.Failed = ctx.Err() == nil
			return brokenOff(ctx, err)
		}
		if err != nil {
			return nil
		}
		if first {
			first = false
			g.fleet.began(ticket)
		}
		if fail := g.follows(q, event); fail != nil {
			sample.Failed = true
			return fail
		}
		if _, err := out.w.Write(event); err != nil {
			return &failure{stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedCallerGone, cause: &CallerGoneError{Cause: err}}
		}
		out.passed(g.timers.Now())
		if r.Buffered() > 0 {
			continue
		}
		if err := flusher.Flush(); err != nil {
			return &failure{stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedCallerGone, cause: &CallerGoneError{Cause: err}}
		}
	}
}

// follows checks that an event is the one after the last, where ids are numbers: a
// stream that goes on elsewhere could otherwise lose or repeat a piece.
func (g *Gateway) follows(q *request, event []byte) *failure {
	id, ok := g.dialect.EventID(event)
	if !ok {
		return nil
	}
	got, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(q.lastEvent, 10, 64)
	if err == nil && lastErr == nil && got != last+1 {
		return &failure{
			stage: laburnumretry.StageUnknown, reason: laburnumlever.RefusedBrokenStream, cause: &EventGapError{Last: q.lastEvent, Got: id},
		}
	}
	q.lastEvent = id
	return nil
}

// readEvent reads up to and including the empty line that ends an event.
func readEvent(r *bufio.Reader, event []byte) ([]byte, error) {
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, err
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
		if len(event) > maxEvent {
			return event, bufio.ErrBufferFull
		}
	}
}
