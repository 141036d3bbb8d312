package laburnumintake

import (
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// chunkBytes is the size of the buffers of a body beyond its first FreeBytes.
const chunkBytes = 32 << 10

// Source is where a body comes from.
type Source struct {
	Body io.Reader
	// Length is that of the body if it is known, else -1; Limit bounds it.
	Length, Limit int64
	// Deadline is when the body has to have arrived; zero if there is none.
	Deadline time.Time
	// Conn is the connection that it arrives on, of a listener of the same intake; nil for any other.
	Conn net.Conn
	// Interrupt ends a read of Body. It must not block.
	Interrupt func()
}

// Body is a request's body, in pieces that are not moved as it grows. A nil Body is empty.
type Body struct {
	entry
	chunks [][]byte
	length int64
}

// ReadBody reads a body to its end. Room for all of it is taken before it is read if its length is known, else as it arrives, and
// held until it is released. Errors: *FullError, *BodyTooLongError and those of the source; nothing is held then.
func (in *Intake) ReadBody(s Source) (*Body, error) {
	b := &Body{entry: entry{intake: in, end: s.Interrupt}}
	if conn := connOf(s.Conn); conn != nil && conn.intake == in {
		b.listener = conn.listener
	}
	err := b.begin(s)
	if err == nil {
		err = b.read(s)
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	b.arrived()
	if b.evicted { // the source's error is that of the interruption
		err = &FullError{Held: in.held, Limit: in.limits.bytes, Evicted: true}
	}
	if err != nil {
		b.release()
		return nil, err
	}
	return b, nil
}

// begin takes the room of a body of known length. Errors: *FullError.
func (b *Body) begin(s Source) error {
	in := b.intake
	in.mu.Lock()
	defer in.mu.Unlock()
	b.pace = pace{began: in.timers.Now(), deadline: s.Deadline, length: s.Limit}
	if s.Length >= 0 {
		b.pace.length = s.Length
	}
	b.progress()
	return b.take(max(0, s.Length-FreeBytes))
}

func (b *Body) read(s Source) error {
	for b.length != s.Length {
		chunk, err := b.room(s)
		if err != nil {
			return err
		}
		n, err := s.Body.Read(chunk[len(chunk):cap(chunk)])
		b.chunks[len(b.chunks)-1] = chunk[:len(chunk)+n]
		b.length += int64(n)
		switch {
		case b.length > s.Limit:
			return &BodyTooLongError{Limit: s.Limit}
		case errors.Is(err, io.EOF) && s.Length >= 0 && b.length < s.Length:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
	return nil
}

// room returns the last chunk, or a new one if that is full. Errors: *FullError.
func (b *Body) room(s Source) ([]byte, error) {
	if last := len(b.chunks) - 1; last >= 0 && len(b.chunks[last]) < cap(b.chunks[last]) {
		return b.chunks[last], nil
	}
	size := int64(FreeBytes)
	if len(b.chunks) > 0 {
		size = chunkBytes
	}
	if s.Length >= 0 {
		size = min(size, s.Length-b.length)
	}
	if len(b.chunks) > 0 {
		if err := b.grow(s.Length < 0, size); err != nil {
			return nil, err
		}
	}
	chunk := make([]byte, 0, size)
	b.chunks = append(b.chunks, chunk)
	return chunk, nil
}

// grow records that the body has filled a buffer, and takes room for the next one if it has none yet. Errors: *FullError.
func (b *Body) grow(takes bool, size int64) error {
	b.intake.mu.Lock()
	defer b.intake.mu.Unlock()
	if !b.evicted {
		b.progress()
		b.arrivedBytes = b.length
	}
	if !takes {
		size = 0
	}
	return b.take(size)
}

// Chunks returns the pieces of the body, which must not be changed.
func (b *Body) Chunks() [][]byte {
	if b == nil {
		return nil
	}
	return b.chunks
}

// Bytes returns the body as one piece, which takes the place of its chunks.
func (b *Body) Bytes() []byte {
	chunks := b.Chunks()
	switch len(chunks) {
	case 0:
		return nil
	case 1:
		return chunks[0]
	}
	whole := make([]byte, 0, b.length)
	for _, chunk := range chunks {
		whole = append(whole, chunk...)
	}
	b.chunks = [][]byte{whole}
	return whole
}

// Len returns the length in bytes.
func (b *Body) Len() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

// Release gives the body's room back. It may be called more than once.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.intake.mu.Lock()
	defer b.intake.mu.Unlock()
	b.chunks, b.length = nil, 0
	b.release()
}
