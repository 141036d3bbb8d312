package laburnumproxy

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"laburnumlever"

	"github.com/cespare/xxhash/v2"
)

// maxWhole is how much of an answer is held until it is whole, in bytes. A longer
// one is passed on as it comes, and a break then cuts the caller's connection.
const maxWhole = 1 << 20

// answer is what the caller has been given so far.
type answer struct {
	w      http.ResponseWriter
	q      *request
	flight *flight
	timers laburnumlever.Timers
	// keep, if set, is given the whole answer before the caller is; it is nil for
	// one too long to be kept.
	keep    func(whole *laburnumlever.RecordedAnswer)
	started bool
	events  bool // the answer is a stream of events
	firstAt time.Time
	// Of a stream of tokens: what the caller has, so that another can go on there.
	tokens int
	bytes  int
	tail   int // closing events after the last token
	digest *xxhash.Digest
	skip   skipping
}

func newAnswer(w http.ResponseWriter, q *request, f *flight, timers laburnumlever.Timers) *answer {
	return &answer{w: w, q: q, flight: f, timers: timers, firstAt: q.received, digest: xxhash.New()}
}

// pass gives a backend server's answer to the caller.
func (o *answer) pass(resp *http.Response) error {
	events := isEventStream(resp)
	switch {
	case o.q.stream && events && resp.StatusCode == http.StatusOK:
		return o.passTokens(resp)
	case o.started:
		return &BrokenStreamError{Tokens: o.tokens, Cause: &statusError{Status: resp.StatusCode}}
	case events && o.keep == nil:
		return o.passOpen(resp, nil)
	default:
		return o.passWhole(resp)
	}
}

// passWhole holds the answer until it is whole, so that a broken one can still be
// attempted again or refused.
func (o *answer) passWhole(resp *http.Response) error {
	if endsUnmarked(resp) {
		return &BrokenStreamError{Cause: &unmarkedEndError{}}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWhole+1))
	if err != nil {
		return &BrokenStreamError{Cause: err}
	}
	if len(body) > maxWhole {
		if o.keep != nil {
			o.keep(nil)
		}
		return o.passOpen(resp, body)
	}
	if o.q.model != "" && resp.StatusCode == http.StatusOK && !json.Valid(body) {
		return &BrokenStreamError{Cause: &notJSONError{}}
	}
	if o.keep != nil {
		o.keep(&laburnumlever.RecordedAnswer{Status: resp.StatusCode, Header: keptHeaders(resp.Header), Body: body})
	}
	o.start(resp)
	o.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	o.w.WriteHeader(resp.StatusCode)
	return o.write(body)
}

// endsUnmarked tells that the body ends with the connection: a broken connection
// would look like the end of the answer.
func endsUnmarked(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// passOpen gives the caller what has been read and then the rest as it comes.
func (o *answer) passOpen(resp *http.Response, read []byte) error {
	o.start(resp)
	o.w.WriteHeader(resp.StatusCode)
	if err := o.write(read); err != nil {
		return err
	}
	buf := make([]byte, streamBuffer)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if err := o.write(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &BrokenStreamError{Cause: err}
		}
	}
}

// start sets the head of the caller's answer.
func (o *answer) start(resp *http.Response) {
	o.started = true
	o.firstAt = o.timers.Now()
	h := o.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	dropHopHeaders(h)
	h.Set(headerRequest, o.q.id)
}

// write passes bytes on at once: a slow caller holds back the reading of the
// backend server's answer, and with it the backend server.
func (o *answer) write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	o.flight.atCaller.Store(true)
	defer o.flight.atCaller.Store(false)
	if _, err := o.w.Write(p); err != nil {
		return &CallerGoneError{Cause: err}
	}
	if err := o.flight.control.Flush(); err != nil {
		return &CallerGoneError{Cause: err}
	}
	o.flight.moved(o.timers.Now())
	return nil
}

// errorEvent ends a stream that can't be completed. No end marker follows.
func (o *answer) errorEvent(refusal *laburnumlever.RefusalError) {
	var event bytes.Buffer
	event.WriteString("event: error\ndata: ")
	event.Write(newErrorBody(o.q.id, refusal))
	event.WriteString("\n\n")
	_ = o.write(event.Bytes()) // a caller that is gone needs no answer
}

func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

func keptHeaders(h http.Header) map[string]string {
	kept := map[string]string{}
	if v := h.Get("Content-Type"); v != "" {
		kept["Content-Type"] = v
	}
	if v := h.Get("Location"); v != "" {
		kept["Location"] = v
	}
	return kept
}
