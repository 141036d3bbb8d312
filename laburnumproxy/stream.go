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
	// streamBuffer is what one open stream holds for reading, in bytes: an event
	// of one token is a few hundred.
	streamBuffer = 4 << 10
	// maxEvent bounds one event.
	maxEvent = 1 << 20
)

var (
	dataPrefix  = []byte("data:")
	endOfStream = []byte("[DONE]")
	readers     = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBuffer) }}
)

// skipping is how a stream that goes on from another is cut to fit: nothing that
// the caller has may come twice, nothing may be missing.
type skipping struct {
	replay bool // it starts again at the first token
	bytes  int  // bytes of text to be skipped
	tail   int  // closing events to be skipped
	head   bool // opening events are to be skipped
	digest *xxhash.Digest
}

// continued prepares for the next stream's beginning.
func (o *answer) continued(resume bool) {
	o.skip = skipping{}
	if !o.started {
		return
	}
	o.skip = skipping{tail: o.tail, head: true}
	if !resume {
		o.skip.replay = true
		o.skip.bytes = o.bytes
		o.skip.digest = xxhash.New()
	}
}

// chunk is the part of a token event that matters on the way.
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

func (c *chunk) closing() bool {
	for i := range c.Choices {
		if c.Choices[i].FinishReason != nil {
			return true
		}
	}
	return len(c.Usage) > 0 && len(c.Choices) == 0
}

// passTokens passes a stream of token events on, each as soon as it is whole, and
// the end marker only at the end of a whole answer.
func (o *answer) passTokens(resp *http.Response) error {
	reader := readers.Get().(*bufio.Reader) //nolint:forcetypeassert // the pool holds nothing else
	reader.Reset(resp.Body)
	defer func() {
		reader.Reset(nil)
		readers.Put(reader)
	}()
	if !o.started {
		o.start(resp)
		o.events = true
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
		done, err := o.passEvent(event)
		if err != nil || done {
			return err
		}
	}
}

// readEvent reads up to and with the empty line that ends an event.
func readEvent(r *bufio.Reader, event []byte) ([]byte, error) {
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if err == bufio.ErrBufferFull { //nolint:errorlint // ReadSlice returns it unwrapped, by its contract
			err = nil
		}
		if err != nil {
			return event, noEnd(err)
		}
		if len(event) > maxEvent {
			return event, &EventTooLongError{Limit: maxEvent}
		}
		if bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\r\n\r\n")) {
			return event, nil
		}
	}
}

// noEnd tells a stream that ended early from one that broke.
func noEnd(err error) error {
	if err == io.EOF { //nolint:errorlint // ReadSlice returns it unwrapped, by its contract
		return io.ErrUnexpectedEOF
	}
	return err
}

func (o *answer) passEvent(event []byte) (done bool, err error) {
	data := eventData(event)
	if bytes.Equal(data, endOfStream) {
		if o.skip.bytes > 0 {
			return false, &ReplayDiffersError{}
		}
		return true, o.write(event)
	}
	var c chunk
	if data != nil {
		if err := json.Unmarshal(data, &c); err != nil {
			return false, &BrokenStreamError{Tokens: o.tokens, Cause: err}
		}
	}
	if len(c.Error) > 0 {
		return false, &BrokenStreamError{Tokens: o.tokens, Cause: &engineError{Text: string(c.Error)}}
	}
	text := c.text()
	if skip, err := o.skips(&c, text); skip || err != nil {
		return false, err
	}
	if err := o.write(event); err != nil {
		return false, err
	}
	o.passed(&c, text)
	return false, nil
}

// passed counts what the caller now has.
func (o *answer) passed(c *chunk, text string) {
	if text != "" {
		o.tokens++
		o.bytes += len(text)
		_, _ = o.digest.WriteString(text) // a hash takes everything
		o.tail = 0
		return
	}
	if c.closing() {
		o.tail++
	}
}

// skips tells whether the caller has the event already, and checks while a stream
// is replayed that it starts with what the caller has.
func (o *answer) skips(c *chunk, text string) (bool, error) {
	s := &o.skip
	if text == "" && c.closing() && s.bytes == 0 && s.tail > 0 {
		s.tail--
		return true, nil
	}
	if text == "" {
		return s.head && !c.closing(), nil
	}
	if s.bytes == 0 {
		s.head = false
		return false, nil
	}
	if len(text) > s.bytes {
		return false, &ReplayDiffersError{}
	}
	_, _ = s.digest.WriteString(text) // a hash takes everything
	s.bytes -= len(text)
	if s.bytes == 0 && s.digest.Sum64() != o.digest.Sum64() {
		return false, &ReplayDiffersError{}
	}
	return true, nil
}

// eventData is the data of an event of one data line, nil for one without.
func eventData(event []byte) []byte {
	for line := range bytes.Lines(event) {
		if data, ok := bytes.CutPrefix(line, dataPrefix); ok {
			return bytes.TrimSpace(data)
		}
	}
	return nil
}
