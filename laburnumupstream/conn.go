package laburnumupstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"laburnumlever/laburnumsocket"

	"github.com/cockroachdb/errors"
)

// readBufferSize, in bytes, fits a typical answer or a few events of a stream in one read.
const readBufferSize = 4 << 10

// Request is an HTTP/1.1 request to a backend server. Content-Length is added when it is written.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// Chunks are the body of a request whose Body is empty. They are written without a copy.
	Chunks [][]byte
}

// bodyBytes is the length of the body.
func (q Request) bodyBytes() int {
	n := len(q.Body)
	for _, chunk := range q.Chunks {
		n += len(chunk)
	}
	return n
}

// Conn is one connection to a backend server, used by one goroutine at a time.
type Conn struct {
	address string
	conn    net.Conn
	// source limits what r reads while a head is read.
	source *limitedReader
	r      *bufio.Reader
	// usableUntil is the end of the idle timeout. After it the backend server may close the
	// connection, so it is not reused.
	usableUntil time.Time
	// idleSince is when it last became idle. onIdleClosed is called if the backend server turns out to have closed it since; nil
	// for a new connection.
	idleSince    time.Time
	onIdleClosed func()
	// tunnelled is set if it goes through another VM.
	tunnelled bool
	// openedAt is when it began to be opened.
	openedAt time.Time
	closed   sync.Once
	onClose  func()
}

var writeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Tunnelled reports whether the connection goes through another VM.
func (c *Conn) Tunnelled() bool { return c.tunnelled }

// Via returns the address of the VM that the connection goes through; empty for a direct one.
func (c *Conn) Via() string {
	if !c.tunnelled {
		return ""
	}
	return c.conn.RemoteAddr().String()
}

// OpenedAt returns when the connection began to be opened.
func (c *Conn) OpenedAt() time.Time { return c.openedAt }

// reusable reports whether a connection that is no plain socket may carry another request.
func (c *Conn) reusable() bool {
	t, ok := c.conn.(interface{ Reusable() bool })
	return !ok || t.Reusable()
}

// Close closes a connection that carries no request.
// It may be called more than once and from any goroutine, as may Abort.
func (c *Conn) Close() {
	c.closed.Do(func() {
		_ = c.conn.Close()
		c.onClose()
	})
}

// Abort resets the connection, so that the backend server stops work on the request in progress. What it has not received yet is
// dropped: after an orderly close the kernel would go on delivering it, however long that takes.
func (c *Conn) Abort() {
	laburnumsocket.ResetOnClose(c.conn)
	c.Close()
}

// AbortOnDone aborts the connection when ctx is done before stop is called. Stop returns false if
// that has happened.
func (c *Conn) AbortOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, c.Abort)
}

// SetDeadline sets the deadline of all further reads and writes.
func (c *Conn) SetDeadline(at time.Time) error { return c.conn.SetDeadline(at) }

// Exchange sends a request and reads the head of the answer, skipping informational (1xx) answers;
// a 101 is no answer. The caller reads the body. An error is a *LostError: some bytes may have reached
// the backend server. Its cause is a *NoAnswerError if what came is no answer.
func (c *Conn) Exchange(q Request) (*http.Response, error) {
	buf, _ := writeBuffers.Get().(*bytes.Buffer)
	if buf == nil {
		buf = new(bytes.Buffer)
	}
	buf.Reset()
	q.write(buf)
	began := time.Now()
	err := c.write(buf.Bytes(), q.Chunks)
	writeBuffers.Put(buf)
	if err != nil {
		c.noteIdleClose(err, began)
		return nil, &LostError{Address: c.address, Cause: err}
	}
	resp, err := c.readHead(q.Method)
	c.noteIdleClose(err, began)
	if err != nil {
		return nil, &LostError{Address: c.address, Cause: err}
	}
	return resp, nil
}

// closedTime is how soon a request on a connection that had been closed fails. Later, the server may have crashed.
const closedTime = 50 * time.Millisecond

// noteIdleClose tells whether the first answer on a reused connection shows that it had been closed.
func (c *Conn) noteIdleClose(err error, began time.Time) {
	if c.onIdleClosed == nil {
		return
	}
	if time.Since(began) >= closedTime {
		c.onIdleClosed = nil
		return
	}
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		c.onIdleClosed()
	}
	c.onIdleClosed = nil
}

func (q Request) write(buf *bytes.Buffer) {
	buf.WriteString(q.Method)
	buf.WriteByte(' ')
	buf.WriteString(q.URI)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(q.Host)
	buf.WriteString("\r\n")
	for name, values := range q.Header {
		for _, value := range values {
			buf.WriteString(name)
			buf.WriteString(": ")
			buf.WriteString(value)
			buf.WriteString("\r\n")
		}
	}
	if n := q.bodyBytes(); n > 0 || (q.Method != http.MethodGet && q.Method != http.MethodHead) {
		buf.WriteString("Content-Length: ")
		buf.WriteString(strconv.Itoa(n))
		buf.WriteString("\r\n")
	}
	buf.WriteString("\r\n")
	buf.Write(q.Body)
	if len(q.Chunks) > 0 && len(q.Chunks[0]) <= writtenWithHead {
		buf.Write(q.Chunks[0])
	}
}

// writtenWithHead is the size, in bytes, up to which the first chunk of a body is written in one piece with the head.
const writtenWithHead = 4 << 10

// write writes a request whose chunks, but for a small first one, are not part of the head.
func (c *Conn) write(head []byte, chunks [][]byte) error {
	if len(chunks) > 0 && len(chunks[0]) <= writtenWithHead {
		chunks = chunks[1:]
	}
	_, err := c.conn.Write(head)
	for _, chunk := range chunks {
		if err != nil {
			return err
		}
		_, err = c.conn.Write(chunk)
	}
	return err
}

// BytesFollow reports whether bytes have come after the answer that was read, even if the backend server closed the connection after
// them.
func (c *Conn) BytesFollow() bool {
	if c.r.Buffered() > 0 {
		return true
	}
	if t, ok := c.conn.(interface{ Unread() bool }); ok { // the bytes of a tunnel's socket need not be the server's
		return t.Unread()
	}
	return laburnumsocket.Unread(c.conn)
}

// noPendingInput tells whether an idle connection can be reused: it can't if there are bytes to read
// or the peer has closed it.
func (c *Conn) noPendingInput() bool {
	return c.r.Buffered() == 0 && c.reusable() && laburnumsocket.Look(c.conn) == laburnumsocket.Quiet
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header: how long the backend
// server keeps an idle connection open.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.ParseFloat(value, 64); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds * float64(time.Second)), true
		}
	}
	return 0, false
}
