package laburnumupstream

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"net"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeadBytes bounds the head of an answer, with those of the informational answers before it. The reads of a buffer that holds
	// the beginning of a body count, too.
	maxHeadBytes = 64 << 10
	// maxInformational bounds the informational answers before an answer.
	maxInformational = 32
	// maxStatus is the last status that RFC 9110 (15) defines a class for.
	maxStatus = 599
	// statusLine is what the first line of an answer begins with, each 0 standing for any digit.
	statusLine = "HTTP/1.0 000"
	oldVersion = "HTTP/1.0"
)

// limitedReader reads from a connection, while left bytes are allowed. It adds what it reads to record, unless that is nil.
type limitedReader struct {
	conn   net.Conn
	left   int
	record []byte
}

func newLimitedReader(conn net.Conn) *limitedReader {
	return &limitedReader{conn: conn, left: math.MaxInt}
}

// Read implements io.Reader. A *HeadTooLongError means that no bytes are left.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, &HeadTooLongError{Limit: maxHeadBytes}
	}
	n, err := l.conn.Read(p[:min(len(p), l.left)])
	if l.left != math.MaxInt {
		l.left -= n
	}
	if l.record != nil {
		l.record = append(l.record, p[:n]...)
	}
	return n, err
}

// readHead reads the head of an answer, skipping informational ones. A *NoAnswerError means that what came can't be, or become, an
// answer: no request asks for a 101.
func (c *Conn) readHead(method string) (*http.Response, error) {
	c.source.left = maxHeadBytes
	defer func() { c.source.left = math.MaxInt }()
	for range maxInformational + 1 {
		if err := checkStatusLine(c.r); err != nil {
			return nil, err
		}
		resp, err := c.parseHead(method)
		if err != nil {
			return nil, classify(err)
		}
		switch status := resp.StatusCode; {
		case status < 100 || status > maxStatus || status == http.StatusSwitchingProtocols:
			return nil, &NoAnswerError{Cause: &StatusError{Status: status}}
		case status >= 200:
			resp.Body = &body{ReadCloser: resp.Body}
			return resp, nil
		}
	}
	return nil, &NoAnswerError{Cause: &InformationalError{Limit: maxInformational}}
}

// parseHead parses a head whose first line has begun. An HTTP/1.0 one must have no Transfer-Encoding (RFC 9112, 6.1): net/http drops
// that, and its framing would be taken for the body.
func (c *Conn) parseHead(method string) (*http.Response, error) {
	if version, err := c.r.Peek(len(oldVersion)); err != nil || string(version) != oldVersion {
		return http.ReadResponse(c.r, &http.Request{Method: method})
	}
	buffered, _ := c.r.Peek(c.r.Buffered()) // never fails
	c.source.record = slices.Clone(buffered)
	defer func() { c.source.record = nil }()
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	head := c.source.record[:len(c.source.record)-c.r.Buffered()]
	if bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding:")) {
		return nil, &OldCodingError{}
	}
	return resp, nil
}

// checkStatusLine waits until what the first line begins with has come, or a byte that differs from it: no answer follows then.
func checkStatusLine(r *bufio.Reader) error {
	for n := 1; n <= len(statusLine); n++ {
		got, err := r.Peek(n)
		if err != nil && len(got) > 0 && errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return classify(err)
		}
		if !matchesStatusLine(n-1, got[n-1]) {
			return &NoAnswerError{Cause: &StatusLineError{Got: string(got)}}
		}
	}
	return nil
}

func matchesStatusLine(i int, b byte) bool {
	if want := statusLine[i]; want != '0' {
		return b == want
	}
	return b >= '0' && b <= '9'
}

// classify tells bytes that are no answer from a connection that failed.
func classify(err error) error {
	var failed net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &failed) {
		return err
	}
	return &NoAnswerError{Cause: err}
}

// body tells bytes that can't belong to an answer's body from a connection that failed.
type body struct{ io.ReadCloser }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = classify(err)
	}
	return n, err
}
