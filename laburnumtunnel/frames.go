package laburnumtunnel

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"os"
	"syscall"

	"laburnumlever/laburnumsocket"

	"github.com/cockroachdb/errors"
)

const (
	lengthBytes = 2
	// endLength and leavingLength are lengths without bytes.
	endLength, leavingLength = 0, 1<<16 - 1
	// maxFrame is the largest number of bytes in a frame.
	maxFrame = 4 << 10
	// readBufferSize, in bytes, fits a few events of a stream.
	readBufferSize = 4 << 10
)

// frameBuffer holds a frame: its length and its bytes.
type frameBuffer [lengthBytes + maxFrame]byte

// payload is the part of the buffer for the frame's bytes.
func (b *frameBuffer) payload() []byte { return b[lengthBytes:] }

// frame returns the encoded frame with the first n bytes of the payload.
func (b *frameBuffer) frame(n int) []byte {
	binary.BigEndian.PutUint16(b[:lengthBytes], uint16(n)) //nolint:gosec // at most maxFrame
	return b[:lengthBytes+n]
}

// mark returns an encoded frame without bytes.
func mark(length uint16) []byte { return binary.BigEndian.AppendUint16(nil, length) }

// Conn is a connection to a server through a helper, whose address is the remote one. Reads fail with
// io.ErrUnexpectedEOF if the tunnel was broken.
type Conn struct {
	net.Conn
	r       *bufio.Reader
	rest    int // bytes of the current frame that have not been read
	ended   bool
	leaving bool
	// heard is set once bytes came through the helper; answered is told that they did, or that none came in time.
	heard    bool
	answered func(bool)
}

// Reusable reports whether the tunnel may carry another request.
func (c *Conn) Reusable() bool { return !c.ended && !c.leaving && c.rest == 0 && c.r.Buffered() == 0 }

// Unread reports whether bytes of the server have come that have not been read. It never blocks. A frame whose length has not come
// completely doesn't count.
func (c *Conn) Unread() bool {
	for c.rest == 0 && !c.ended {
		switch {
		case c.r.Buffered() >= lengthBytes:
			if c.nextFrame() != nil {
				return false
			}
		case !laburnumsocket.Unread(c.Conn):
			return false
		default:
			if _, err := c.r.Peek(c.r.Buffered() + 1); err != nil { // reads what is there
				return false
			}
		}
	}
	return c.rest > 0
}

// SyscallConn implements syscall.Conn, so that an idle tunnel can be checked for bytes to read.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}

// SetLinger sets what closing the connection does with bytes that have not been delivered.
func (c *Conn) SetLinger(seconds int) error {
	conn, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return conn.SetLinger(seconds)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for c.rest == 0 && !c.ended {
		if err := c.nextFrame(); err != nil {
			return 0, err
		}
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.r.Read(p[:min(len(p), c.rest)])
	c.rest -= n
	return n, broken(err)
}

// nextFrame reads the length of the next frame.
func (c *Conn) nextFrame() error {
	var length [lengthBytes]byte
	_, err := io.ReadFull(c.r, length[:])
	if !c.heard && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)) {
		c.heard = true
		c.answered(err == nil)
	}
	if err != nil {
		return broken(err)
	}
	switch n := binary.BigEndian.Uint16(length[:]); n {
	case endLength:
		c.ended = true
	case leavingLength:
		c.leaving = true
	default:
		c.rest = int(n)
	}
	return nil
}

// broken converts the end of a connection without an end frame.
func broken(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
