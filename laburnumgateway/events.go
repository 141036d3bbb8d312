package laburnumgateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	eventBufferSize = 4 << 10
	maxEventBytes   = 1 << 20
)

// eventReader reads the events of a stream, of which large ones take a share of the budget of buffers.
type eventReader struct {
	r       *bufio.Reader
	buffers *bufferBudget
	event   []byte
	// large is set while the event has a share of the budget.
	large bool
}

func newEventReader(r io.Reader, buffers *bufferBudget) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBufferSize), buffers: buffers}
}

// next returns the next event, with the empty line that ends it, which is valid until the next call. With an error it returns the part
// that came. Errors: *EventTooLongError, and those of the stream.
func (e *eventReader) next() ([]byte, error) {
	e.close()
	if e.event == nil {
		e.event = make([]byte, 0, eventBufferSize)
	}
	e.event = e.event[:0]
	err := e.read(freeBuffer)
	if !errors.Is(err, bufio.ErrBufferFull) {
		return e.event, err
	}
	if e.large = e.buffers.take(maxEventBytes); !e.large {
		return e.event, &EventTooLongError{Limit: freeBuffer}
	}
	if err = e.read(maxEventBytes); errors.Is(err, bufio.ErrBufferFull) {
		return e.event, &EventTooLongError{Limit: maxEventBytes}
	}
	return e.event, err
}

// close returns the share of a large event.
func (e *eventReader) close() {
	if e.large {
		e.large, e.event = false, nil
		e.buffers.give(maxEventBytes)
	}
}

// read reads up to and including the empty line that ends the event. It returns bufio.ErrBufferFull, and may be called again, once the
// event is longer than limit.
func (e *eventReader) read(limit int) error {
	for {
		line, err := e.r.ReadSlice('\n')
		begins := len(e.event) == 0 || e.event[len(e.event)-1] == '\n'
		e.event = append(e.event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
		if err == nil && begins && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		if len(e.event) > limit {
			return bufio.ErrBufferFull
		}
	}
}
