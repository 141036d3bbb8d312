package laburnumproxy

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"laburnumlever"

	"github.com/cespare/xxhash/v2"
)

// maxBufferedResponse is the size up to which a response is buffered until it is complete, in
// bytes. A longer one is forwarded as it arrives, and if it breaks off, the caller's
// connection is cut.
const maxBufferedResponse = 1 << 20

// callerResponse is the response to the caller and how much of it has been forwarded.
type callerResponse struct {
	w      http.ResponseWriter
	q      *request
	active *activeRequest
	timers laburnumlever.Timers
	// record, if set, is called with the complete response before it is forwarded; with nil
	// if the response is longer than maxBufferedResponse.
	record  func(response *laburnumlever.RecordedAnswer)
	started bool
	// endsAtClose is the connection of a caller of HTTP/1.0, to which an orderly close may be the end of the body; nil for others.
	endsAtClose net.Conn
	eventStream bool // the response is a stream of token events
	firstByteAt time.Time
	// What has been forwarded of a token stream, so that another stream can continue it.
	holdsData     bool // an event with data, other than the end marker
	tokens        int
	textBytes     int
	closingEvents int // closing events after the last token
	digest        *xxhash.Digest
	continuation  streamContinuation
}

func newCallerResponse(w http.ResponseWriter, q *request, f *activeRequest, timers laburnumlever.Timers) *callerResponse {
	return &callerResponse{w: w, q: q, active: f, timers: timers, firstByteAt: q.received, digest: xxhash.New()}
}

// forward forwards a backend server's response to the caller.
func (o *callerResponse) forward(resp *http.Response) error {
	events := isEventStream(resp)
	switch {
	case o.q.stream && events && resp.StatusCode == http.StatusOK:
		return o.forwardStream(resp)
	case o.started:
		return &BrokenStreamError{Tokens: o.tokens, Cause: &statusError{Status: resp.StatusCode}}
	case events && o.record == nil && !endsAtConnectionClose(resp):
		return o.forwardUnbuffered(resp, nil)
	default:
		return o.forwardBuffered(resp)
	}
}

// forwardBuffered buffers the response until it is complete, so that a broken one can still
// be retried or refused.
func (o *callerResponse) forwardBuffered(resp *http.Response) error {
	if endsAtConnectionClose(resp) {
		return &BrokenStreamError{Cause: &unframedBodyError{}}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedResponse+1))
	if err != nil {
		return &BrokenStreamError{Cause: err}
	}
	if len(body) > maxBufferedResponse {
		if o.record != nil {
			o.record(nil)
		}
		return o.forwardUnbuffered(resp, body)
	}
	if o.q.model != "" && resp.StatusCode == http.StatusOK && !json.Valid(body) {
		return &BrokenStreamError{Cause: &notJSONError{}}
	}
	if o.record != nil {
		o.record(&laburnumlever.RecordedAnswer{Status: resp.StatusCode, Header: recordedHeaders(resp.Header), Body: body})
	}
	o.start(resp)
	o.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	o.w.WriteHeader(resp.StatusCode)
	return o.write(body)
}

// endsAtConnectionClose reports whether only the end of the connection delimits the body: a
// broken connection would look like the end of the response.
func endsAtConnectionClose(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// forwardUnbuffered forwards the bytes already read and then the rest as it arrives.
func (o *callerResponse) forwardUnbuffered(resp *http.Response, read []byte) error {
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

// start copies the response headers.
func (o *callerResponse) start(resp *http.Response) {
	o.started = true
	o.firstByteAt = o.timers.Now()
	h := o.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	removeHopByHopHeaders(h)
	h.Set(headerRequestID, o.q.id)
}

// write forwards bytes at once. A slow caller blocks it, which stops reading from the
// backend server and so applies backpressure to it.
func (o *callerResponse) write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	o.active.waitingForCaller.Store(true)
	defer o.active.waitingForCaller.Store(false)
	if _, err := o.w.Write(p); err != nil {
		return &CallerGoneError{Cause: err}
	}
	if err := o.active.control.Flush(); err != nil {
		return &CallerGoneError{Cause: err}
	}
	o.active.markProgress(o.timers.Now())
	return nil
}

// writeErrorEvent ends a stream that can't be completed, without an end marker.
func (o *callerResponse) writeErrorEvent(refusal *laburnumlever.RefusalError) {
	var event bytes.Buffer
	event.WriteString("event: error\ndata: ")
	event.Write(newErrorBody(o.q.id, refusal))
	event.WriteString("\n\n")
	_ = o.write(event.Bytes()) // the caller may have disconnected
}

func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

func recordedHeaders(h http.Header) map[string]string {
	kept := map[string]string{}
	if v := h.Get("Content-Type"); v != "" {
		kept["Content-Type"] = v
	}
	if v := h.Get("Location"); v != "" {
		kept["Location"] = v
	}
	return kept
}
