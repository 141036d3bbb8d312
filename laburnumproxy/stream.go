package laburnumproxy

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// streamBuffer is the read buffer of an open stream, in bytes: a one-token event has a few
	// hundred.
	streamBuffer = 4 << 10
	// maxEvent bounds the size of an event, in bytes.
	maxEvent = 1 << 20
	// maxQuoted bounds what an error quotes of an event, in bytes.
	maxQuoted = 64
)

var (
	endOfStream = []byte("[DONE]")
	readerPool  = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBuffer) }}
)

// streamContinuation tracks which events of a resumed or replayed stream to skip, so that the
// caller gets each token exactly once.
type streamContinuation struct {
	replay        bool // the stream starts at the first token
	textBytes     int  // bytes of text to skip
	closingEvents int  // closing events to skip
	skipOpening   bool // skip events before the first token
	digest        *xxhash.Digest
}

// prepareContinuation sets which events of the next stream to skip.
func (o *callerResponse) prepareContinuation(resume bool) {
	o.continuation = streamContinuation{}
	if !o.started {
		return
	}
	o.continuation = streamContinuation{closingEvents: o.closingEvents, skipOpening: true}
	if !resume {
		o.continuation.replay = true
		o.continuation.textBytes = o.textBytes
		o.continuation.digest = xxhash.New()
	}
}

// chunk holds the fields of a token event that the proxy reads.
type chunk struct {
	Choices []choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

type choice struct {
	Text  string `json:"text"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

func (c *chunk) text() string {
	if len(c.Choices) == 1 {
		return c.Choices[0].Text + c.Choices[0].Delta.Content
	}
	all := ""
	for i := range c.Choices {
		all += c.Choices[i].Text + c.Choices[i].Delta.Content
	}
	return all
}

func (c *chunk) isClosing() bool {
	for i := range c.Choices {
		if c.Choices[i].FinishReason != nil {
			return true
		}
	}
	return len(c.Usage) > 0 && len(c.Choices) == 0
}

// forwardStream forwards each token event as soon as it is complete, and the end marker only
// after a complete response.
func (o *callerResponse) forwardStream(resp *http.Response) error {
	reader := readerPool.Get().(*bufio.Reader) //nolint:forcetypeassert // the pool holds nothing else
	reader.Reset(resp.Body)
	defer func() {
		reader.Reset(nil)
		readerPool.Put(reader)
	}()
	if !o.started {
		o.start(resp)
		o.eventStream = true
		o.w.Header().Del("Content-Length")
		o.w.WriteHeader(resp.StatusCode)
	}
	var event []byte
	for {
		var err error
		event, err = readEvent(reader, event[:0])
		if err != nil {
			return &BrokenStreamError{Tokens: o.tokens, Cause: err}
		}
		done, err := o.forwardEvent(event)
		if err != nil || done {
			return err
		}
	}
}

// readEvent reads an event, including the empty line that ends it.
func readEvent(r *bufio.Reader, event []byte) ([]byte, error) {
	for {
		line, err := r.ReadSlice('\n')
		ends := len(event) > 0 && event[len(event)-1] == '\n' && len(bytes.TrimRight(line, "\r\n")) == 0
		event = append(event, line...)
		if err == bufio.ErrBufferFull { //nolint:errorlint // ReadSlice returns it unwrapped, by its contract
			err, ends = nil, false
		}
		if err != nil {
			return event, unexpectedEOF(err)
		}
		if len(event) > maxEvent {
			return event, &EventTooLongError{Limit: maxEvent}
		}
		if ends {
			return event, nil
		}
	}
}

// unexpectedEOF turns io.EOF, which here means a missing end marker, into
// io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF { //nolint:errorlint // ReadSlice returns it unwrapped, by its contract
		return io.ErrUnexpectedEOF
	}
	return err
}

func (o *callerResponse) forwardEvent(event []byte) (done bool, err error) {
	data, err := eventData(event)
	if err != nil {
		return false, &BrokenStreamError{Tokens: o.tokens, Cause: err}
	}
	if bytes.Equal(data, endOfStream) {
		if o.continuation.textBytes > 0 {
			return false, &ReplayDiffersError{}
		}
		if !o.holdsData {
			return false, &BrokenStreamError{Cause: &emptyStreamError{}}
		}
		return true, o.write(event)
	}
	c, err := newChunk(data)
	if err != nil {
		return false, &BrokenStreamError{Tokens: o.tokens, Cause: err}
	}
	if len(c.Error) > 0 {
		return false, &BrokenStreamError{Tokens: o.tokens, Cause: &engineError{Text: string(c.Error)}}
	}
	text := c.text()
	if skip, err := o.alreadyForwarded(c, text); skip || err != nil {
		return false, err
	}
	if err := o.write(event); err != nil {
		return false, err
	}
	o.holdsData = o.holdsData || data != nil
	o.countForwarded(c, text)
	return false, nil
}

// countForwarded updates what the caller has received.
func (o *callerResponse) countForwarded(c *chunk, text string) {
	if text != "" {
		o.tokens++
		o.textBytes += len(text)
		_, _ = o.digest.WriteString(text) // writing to a hash never fails
		o.closingEvents = 0
		return
	}
	if c.isClosing() {
		o.closingEvents++
	}
}

// alreadyForwarded reports whether the caller already has the event. For a replayed stream it
// also checks that the text matches what was forwarded.
func (o *callerResponse) alreadyForwarded(c *chunk, text string) (bool, error) {
	s := &o.continuation
	if text == "" && c.isClosing() && s.textBytes == 0 && s.closingEvents > 0 {
		s.closingEvents--
		return true, nil
	}
	if text == "" {
		return s.skipOpening && !c.isClosing(), nil
	}
	if s.textBytes == 0 {
		s.skipOpening = false
		return false, nil
	}
	if len(text) > s.textBytes {
		return false, &ReplayDiffersError{}
	}
	_, _ = s.digest.WriteString(text) // writing to a hash never fails
	s.textBytes -= len(text)
	if s.textBytes == 0 && s.digest.Sum64() != o.digest.Sum64() {
		return false, &ReplayDiffersError{}
	}
	return true, nil
}

// eventData returns the content of an event's data lines, or nil if it has none. Errors: *NotAnEventError for a line that is neither
// a comment nor a field of the event-stream format.
func eventData(event []byte) ([]byte, error) {
	var data []byte
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "data":
			if data != nil {
				value = append(append(data[:len(data):len(data)], '\n'), value...)
			}
			data = bytes.TrimSpace(value)
			if data == nil {
				data = []byte{}
			}
		case "event", "id", "retry":
		case "": // a comment, or an empty line
		default:
			return nil, &NotAnEventError{Line: string(line[:min(len(line), maxQuoted)])}
		}
	}
	return data, nil
}

// newChunk decodes the content of an event other than the end marker.
func newChunk(data []byte) (*chunk, error) {
	if data == nil {
		return &chunk{}, nil
	}
	var c *chunk
	if err := json.Unmarshal(data, &c); err != nil || c == nil {
		return nil, &NotAnEventError{Line: string(data[:min(len(data), maxQuoted)]), Cause: err}
	}
	return c, nil
}
