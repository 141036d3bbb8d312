package laburnumupstream

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// readBufferSize takes a usual answer or a few events in one read.
const readBufferSize = 4 << 10

// Request is what goes to a backend server.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
}

// Conn is one connection to a backend server, used by one goroutine at a time.
type Conn struct {
	address string
	conn    net.Conn
	r       *bufio.Reader
	// usableUntil is when the backend server may close it for idleness.
	usableUntil time.Time
	closed      sync.Once
	onClose     func()
}

var writeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Close ends the connection; the backend server sees it and ends its work.
func (c *Conn) Close() {
	c.closed.Do(func() {
		_ = c.conn.Close()
		c.onClose()
	})
}

// Guard closes the connection when ctx ends before stop is called.
func (c *Conn) Guard(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, c.Close)
}

// SetDeadline bounds all reads and writes from now on.
func (c *Conn) SetDeadline(at time.Time) error { return c.conn.SetDeadline(at) }

// Exchange sends a request and reads the answer's head. An error is a *LostError:
// some bytes may have reached the backend server.
func (c *Conn) Exchange(q Request) (*http.Response, error) {
	buf, _ := writeBuffers.Get().(*bytes.Buffer)
	if buf == nil {
		buf = new(bytes.Buffer)
	}
	buf.Reset()
	q.write(buf)
	_, err := c.conn.Write(buf.Bytes())
	writeBuffers.Put(buf)
	if err != nil {
		return nil, &LostError{Address: c.address, Cause: err}
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.Method})
	for err == nil && resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		resp, err = http.ReadResponse(c.r, &http.Request{Method: q.Method})
	}
	if err != nil {
		return nil, &LostError{Address: c.address, Cause: err}
	}
	return resp, nil
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
	if len(q.Body) > 0 || (q.Method != http.MethodGet && q.Method != http.MethodHead) {
		buf.WriteString("Content-Length: ")
		buf.WriteString(strconv.Itoa(len(q.Body)))
		buf.WriteString("\r\n")
	}
	buf.WriteString("\r\n")
	buf.Write(q.Body)
}

// noPendingInput tells whether the socket holds neither bytes nor an end.
func (c *Conn) noPendingInput() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	raw, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errno == syscall.EAGAIN
		return true // never waits
	})
	return err == nil && quiet
}

// keepAliveTimeout reads how long the backend server keeps the connection idle.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.ParseFloat(value, 64); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds * float64(time.Second)), true
		}
	}
	return 0, false
}
