package laburnumgateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"laburnumlever"

	"github.com/cockroachdb/errors"
)

const (
	// A refused request's body is read and dropped, since a caller that has not sent all of it may not look for the answer, and
	// a connection that is closed with unread bytes is reset. The bounds keep callers from holding connections in this way.
	dropTime   = 3 * time.Second
	lingerTime = 500 * time.Millisecond
)

// incomingBody is a request's body that has not been read to its end.
type incomingBody struct {
	body       io.Reader
	controller *http.ResponseController
	limit      int64 // bytes
}

// newIncomingBody returns nil for a request without a body.
func newIncomingBody(w http.ResponseWriter, r *http.Request) *incomingBody {
	if r.ContentLength == 0 {
		return nil
	}
	return &incomingBody{body: r.Body, controller: http.NewResponseController(w), limit: defaultBodyBytes}
}

// readBody reads the request's body, up to the limit. The error is a *laburnumlever.RefusalError.
func (q *request) readBody(r *http.Request) error {
	if q.incoming == nil {
		return nil
	}
	limit := q.incoming.limit
	if r.ContentLength > limit {
		return tooLarge(limit)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return newRefusal(laburnumlever.RefusedCallerGone, 0, "request body is incomplete: "+err.Error())
	}
	if int64(len(body)) > limit {
		return tooLarge(limit)
	}
	q.body, q.incoming = body, nil
	return nil
}

func tooLarge(limit int64) error {
	return newRefusal(laburnumlever.RefusedTooLarge, 0, fmt.Sprintf("the body is longer than %d bytes", limit))
}

// writeRefusal writes a complete answer. If the request's body has not been read yet, it is dropped after that.
func (q *request) writeRefusal(w http.ResponseWriter, status int, text string) {
	if q.incoming != nil {
		_ = q.incoming.controller.EnableFullDuplex() // otherwise the server reads some of the body first
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text) // an error means that the caller has disconnected
	if q.incoming != nil {
		_ = q.incoming.controller.Flush()
		q.incoming.drop()
	}
}

// drop reads the rest of the body. A connection whose body does not end within the bounds is closed: what follows
// must not be taken for a request.
func (b *incomingBody) drop() {
	until := time.Now().Add(dropTime)
	_ = b.controller.SetReadDeadline(until)
	if _, err := io.CopyN(io.Discard, b.body, b.limit+1); errors.Is(err, io.EOF) {
		_ = b.controller.SetReadDeadline(time.Time{})
		return
	}
	b.linger(until)
}

// linger closes the connection for writing and reads what still comes, so that the answer is not lost to a reset.
func (b *incomingBody) linger(until time.Time) {
	conn, _, err := b.controller.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // closes the connection
	}
	defer func() { _ = conn.Close() }()
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	if least := time.Now().Add(lingerTime); until.Before(least) {
		until = least
	}
	_ = conn.SetReadDeadline(until)
	_, _ = io.CopyN(io.Discard, conn, b.limit)
}
