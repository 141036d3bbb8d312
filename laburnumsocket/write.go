package laburnumsocket

import (
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Writer writes to a socket without waiting until the kernel takes all bytes. It is used by one goroutine at a time.
type Writer struct {
	raw syscall.RawConn
	// write is kept, so that no write allocates; the others are its arguments and results.
	write func(fd uintptr) bool
	p     []byte
	waits bool
	n     int
	err   error
}

// NewWriter returns a Writer for a connection's socket.
func NewWriter(raw syscall.RawConn) *Writer {
	w := &Writer{raw: raw}
	w.write = w.writeTo
	return w
}

// Try writes what the kernel takes at once, which may be nothing. Errors are those of the socket.
func (w *Writer) Try(p []byte) (int, error) { return w.run(p, false) }

// Some waits until the kernel takes some bytes, and writes these. Errors are those of the socket.
func (w *Writer) Some(p []byte) (int, error) { return w.run(p, true) }

func (w *Writer) run(p []byte, waits bool) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	w.p, w.waits, w.n, w.err = p, waits, 0, nil
	err := w.raw.Write(w.write)
	w.p = nil
	if err != nil {
		return 0, err
	}
	return w.n, w.err
}

// writeTo returns false to be called again once the socket takes bytes.
func (w *Writer) writeTo(fd uintptr) bool {
	n, err := syscall.Write(int(fd), w.p)
	for err != nil && errors.Is(err, syscall.EINTR) {
		n, err = syscall.Write(int(fd), w.p)
	}
	if err != nil && errors.Is(err, syscall.EAGAIN) {
		return !w.waits
	}
	w.n, w.err = max(0, n), err
	return true
}

// BoundUnsent bounds the bytes that the kernel takes before it can send them, since the other side does not read. It fails on a closed
// connection, or one of another kind, only.
func BoundUnsent(raw syscall.RawConn, bytes int) {
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes) })
}

// Delivered returns how many bytes the other side has acknowledged in all; 0 where that is not known.
func Delivered(raw syscall.RawConn) uint64 {
	var acked uint64
	_ = raw.Control(func(fd uintptr) { // fails on a closed connection only
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			acked = info.Bytes_acked
		}
	})
	return acked
}
