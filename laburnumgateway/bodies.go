package laburnumgateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumintake"

	"github.com/cockroachdb/errors"
)

const (
	// A refused request's body is read and dropped, since a caller that has not sent all of it may not look for the answer, and
	// a connection that is closed with unread bytes is reset. The bounds keep callers from holding connections in this way.
	dropTime   = 3 * time.Second
	lingerTime = 500 * time.Millisecond
	// maxDropTime bounds it while bytes wait to be read, so that it is not the caller who is slow.
	maxDropTime = 30 * time.Second
)

// incomingBody is a request's body that has not been read to its end.
type incomingBody struct {
	body       io.Reader
	controller *http.ResponseController
	limit      int64 // bytes
	// unsent is set while the caller awaits a 100 Continue before it sends the body.
	unsent bool
}

// newIncomingBody returns nil for a request without a body.
func newIncomingBody(w http.ResponseWriter, r *http.Request) *incomingBody {
	if r.ContentLength == 0 {
		return nil
	}
	return &incomingBody{
		body: r.Body, controller: http.NewResponseController(w), limit: defaultBodyBytes,
		unsent: strings.EqualFold(r.Header.Get("Expect"), "100-continue"),
	}
}

// readBody reads the request's body, up to the limit, until its deadline or until a drain needs the rest of its time. The error is a
// *laburnumlever.RefusalError.
func (g *Gateway) readBody(q *request, r *http.Request) error {
	in := q.incoming
	if r.ContentLength > in.limit {
		return tooLarge(in.limit)
	}
	in.unsent = false
	_ = in.controller.SetReadDeadline(q.deadline)
	interrupted := make(chan struct{})
	stop := context.AfterFunc(g.bodies, func() {
		defer close(interrupted)
		_ = in.controller.SetReadDeadline(time.Unix(0, 1))
	})
	body, err := g.intake.ReadBody(laburnumintake.Source{
		Body: in.body, Length: r.ContentLength, Limit: in.limit, Deadline: q.deadline, Conn: q.conn,
		Interrupt: func() { _ = in.controller.SetReadDeadline(time.Unix(0, 1)) },
	})
	drained := !stop()
	if drained {
		<-interrupted
	}
	_ = in.controller.SetReadDeadline(time.Time{}) // else the server takes its end for the caller's
	var full *laburnumintake.FullError
	var long *laburnumintake.BodyTooLongError
	switch {
	case drained && err != nil: // the server may have taken the end of the read for the caller's as well
		return g.drainRefusal()
	case errors.As(err, &full):
		return newRefusal(laburnumlever.RefusedIntakeFull, laburnumintake.Patience, full.Error())
	case errors.As(err, &long):
		return tooLarge(long.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newRefusal(laburnumlever.RefusedDeadline, 0, "the request body did not arrive in time")
	case err != nil:
		return newRefusal(laburnumlever.RefusedCallerGone, 0, "request body is incomplete: "+err.Error())
	}
	q.body, q.incoming = body, nil
	if drained {
		return g.drainRefusal()
	}
	return nil
}

func tooLarge(limit int64) error {
	return newRefusal(laburnumlever.RefusedTooLarge, 0, fmt.Sprintf("the body is longer than %d bytes", limit))
}

// writeRefusal writes a complete answer. If the request's body has not been read yet, it is dropped after that.
func (g *Gateway) writeRefusal(w http.ResponseWriter, q *request, status int, text string) {
	if g.stage() != drainNone {
		w.Header().Set("Connection", "close")
	}
	if q.incoming != nil {
		_ = q.incoming.controller.EnableFullDuplex() // otherwise the server reads some of the body first
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text) // an error means that the caller has disconnected
	if q.incoming != nil {
		_ = q.incoming.controller.Flush()
		if conn, ok := q.conn.(*callerConn); ok {
			conn.setDropUntil(g.dropEnd(maxDropTime))
		}
		laburnumintake.Dropping(q.conn)
		q.incoming.drop(g.dropEnd(dropTime))
	}
}

// dropEnd returns when a refused body that has not ended is given up, at most after a time.
func (g *Gateway) dropEnd(after time.Duration) time.Time {
	end := time.Now().Add(after)
	if drain := g.drainDeadline.Load(); drain != nil && drain.Before(end) {
		return *drain
	}
	return end
}

// drop reads the rest of the body, at most until end. A connection whose body does not end within the bounds, or that the caller does not
// mean to send any more, is closed: what follows must not be taken for a request.
func (b *incomingBody) drop(end time.Time) {
	if b.unsent {
		b.linger(end) // some callers send it without a 100 Continue
		return
	}
	_ = b.controller.SetReadDeadline(end.Add(-lingerTime))
	if _, err := io.CopyN(io.Discard, b.body, b.limit+1); errors.Is(err, io.EOF) {
		_ = b.controller.SetReadDeadline(time.Time{})
		return
	}
	b.linger(end)
}

// linger closes the connection for writing and reads what still comes, so that the answer is not lost to a reset.
func (b *incomingBody) linger(end time.Time) {
	conn, _, err := b.controller.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // closes the connection
	}
	defer func() { _ = conn.Close() }()
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = conn.SetReadDeadline(end)
	_, _ = io.CopyN(io.Discard, conn, b.limit)
}
