package laburnumpeer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"time"

	"laburnumlever/laburnumintake"
)

// readBuffer is the size in bytes of a connection's read buffer. It is small because a VM of a large
// fleet has hundreds of connections.
const readBuffer = 2048

// smallFrame is the size in bytes up to which a frame is part of what its connection counts for.
const smallFrame = 16 << 10

// stream is a jsonrpc2 object stream of frames: a varint length, then JSON. Unlike the library's own
// codec it limits the frame size in both directions and the time of a write, and writes each frame in
// one call.
type stream struct {
	conn           net.Conn
	r              *bufio.Reader
	maxFrame       int
	writeTimeout   time.Duration
	lastRead       atomic.Int64 // Unix nanoseconds
	lastFrameBytes int          // of the last frame read; accessed by the reading goroutine only
	onWrite        func(n int)
	// intake has the room for large frames; nil if they need none.
	intake *laburnumintake.Intake
}

func newStream(conn net.Conn, cfg *config) *stream {
	s := &stream{
		conn:         conn,
		r:            bufio.NewReaderSize(conn, readBuffer),
		maxFrame:     cfg.maxFrame,
		writeTimeout: cfg.writeTimeout,
		onWrite:      func(int) {},
	}
	s.lastRead.Store(time.Now().UnixNano())
	return s
}

// WriteObject writes one frame. jsonrpc2 serializes the calls. A failed write closes the connection,
// since the frame may be partly written. Errors: *FrameTooLargeError, before anything is written.
func (s *stream) WriteObject(obj any) error {
	body, err := encode(obj)
	if err != nil {
		return err
	}
	if len(body) > s.maxFrame {
		return &FrameTooLargeError{Size: len(body), Limit: s.maxFrame}
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(body)+binary.MaxVarintLen32), uint64(len(body)))
	frame = append(frame, body...)
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
		return err
	}
	if _, err := s.conn.Write(frame); err != nil {
		_ = s.conn.Close()
		return err
	}
	s.onWrite(len(frame))
	return nil
}

// ReadObject reads one frame. Errors: *FrameTooLargeError, *laburnumintake.FullError.
func (s *stream) ReadObject(v any) error {
	size, err := binary.ReadUvarint(s.r)
	if err != nil {
		return err
	}
	if size > uint64(s.maxFrame) {
		return &FrameTooLargeError{Size: int(min(size, uint64(1<<40))), Limit: s.maxFrame}
	}
	body, release, err := s.readFrame(int64(size))
	defer release()
	if err != nil {
		return err
	}
	s.lastRead.Store(time.Now().UnixNano())
	s.lastFrameBytes = len(body) + 1
	return decode(body, v)
}

// readFrame reads as many bytes. Those of a large frame have their room until release is called. Errors: *laburnumintake.FullError.
func (s *stream) readFrame(size int64) (body []byte, release func(), err error) {
	if s.intake == nil || size <= smallFrame {
		body = make([]byte, size)
		_, err = io.ReadFull(s.r, body)
		return body, func() {}, err
	}
	whole, err := s.intake.ReadBody(laburnumintake.Source{
		Body: s.r, Length: size, Limit: size, Interrupt: func() { _ = s.conn.Close() },
	})
	return whole.Bytes(), whole.Release, err
}

// encode is json.Marshal without another copy of what jsonrpc2's messages have encoded themselves.
func encode(obj any) ([]byte, error) {
	if m, ok := obj.(json.Marshaler); ok {
		return m.MarshalJSON()
	}
	return json.Marshal(obj)
}

// decode is json.Unmarshal without another validation of what jsonrpc2's messages validate themselves.
func decode(data []byte, into any) error {
	if m, ok := into.(json.Unmarshaler); ok {
		return m.UnmarshalJSON(data)
	}
	return json.Unmarshal(data, into)
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }

func (s *stream) lastReadAt() time.Time { return time.Unix(0, s.lastRead.Load()) }
