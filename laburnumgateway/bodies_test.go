package laburnumgateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumregistry"
)

const (
	wideBodyLimit  = 16 << 20 // more than the buffers of a loopback connection hold
	callerPatience = 10 * time.Second
)

// rawCaller is a caller that writes its requests byte by byte to one connection.
type rawCaller struct {
	t    testing.TB
	conn net.Conn
	r    *bufio.Reader
}

func (b *harness) dialRaw() *rawCaller {
	conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(b.t, conn.SetDeadline(time.Now().Add(callerPatience)))
	return &rawCaller{t: b.t, conn: conn, r: bufio.NewReader(conn)}
}

func (c *rawCaller) write(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	require.NoError(c.t, err)
}

func (c *rawCaller) writeHead(path string, headers ...string) {
	c.t.Helper()
	c.write(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: quotes.example\r\n%s: r-1\r\n%s\r\n\r\n", path, idHeader, strings.Join(headers, "\r\n")))
}

func (c *rawCaller) read() *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	require.NoError(c.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(c.t, err)
	require.NoError(c.t, resp.Body.Close())
	return resp
}

// awaitClose waits until the gateway has closed the connection.
func (c *rawCaller) awaitClose() {
	c.t.Helper()
	_, err := c.r.ReadByte()
	require.Error(c.t, err)
	require.NotErrorIs(c.t, err, os.ErrDeadlineExceeded, "the connection is still open")
}

func newBodyHarness(t testing.TB, limit int) (*harness, *backend) {
	server := newBackend(t, "i-1", answerOK)
	b := newHarness(t, server.heartbeat("booking"))
	routes := testRoutes()
	routes.Version, routes.Callers = 2, laburnumlever.CallerLimits{BodyBytes: limit}
	b.fleet.HandleRoutes(routes)
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{server.heartbeat("booking")}})
	return b, server
}

// Guards against resetting a caller that reads its refusal once it has written the whole body.
func TestRefusalReachesCallerThatWritesItsBodyFirst(t *testing.T) {
	for name, chunked := range map[string]bool{"with a length": false, "in chunks": true} {
		t.Run(name, func(t *testing.T) {
			b, _ := newBodyHarness(t, wideBodyLimit)
			c := b.dialRaw()
			body := strings.Repeat("x", wideBodyLimit)
			if chunked {
				c.writeHead("/nowhere/", "Transfer-Encoding: chunked")
				c.write(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body))
			} else {
				c.writeHead("/nowhere/", fmt.Sprintf("Content-Length: %d", len(body)))
				c.write(body)
			}
			require.Equal(t, http.StatusNotFound, c.read().StatusCode)
			c.writeHead("/confirm/x", "Content-Length: 5")
			c.write("visit")
			require.Equal(t, http.StatusOK, c.read().StatusCode, "the connection must stay in step")
		})
	}
}

// Guards against taking the rest of a refused request's body for the caller's next request.
func TestRestOfARefusedBodyIsNoRequest(t *testing.T) {
	b, server := newBodyHarness(t, wideBodyLimit)
	hidden := "POST /confirm/hidden HTTP/1.1\r\nHost: quotes.example\r\n" + idHeader + ": r-9\r\nContent-Length: 0\r\n\r\n"
	c := b.dialRaw()
	c.writeHead("/nowhere/", fmt.Sprintf("Content-Length: %d", len(hidden)))
	require.Equal(t, http.StatusNotFound, c.read().StatusCode)
	c.write(hidden)
	c.writeHead("/confirm/x", "Content-Length: 5")
	c.write("visit")
	require.Equal(t, http.StatusOK, c.read().StatusCode)
	require.Len(t, server.requests(), 1)
	require.Equal(t, "/confirm/x", server.requests()[0].request.RequestURI)
}

// Guards against callers that hold a connection with the body of a refused request that never ends.
func TestRefusedBodyIsReadForALimitedTime(t *testing.T) {
	b, server := newBodyHarness(t, wideBodyLimit)
	hidden := "POST /confirm/hidden HTTP/1.1\r\nHost: quotes.example\r\n" + idHeader + ": r-9\r\nContent-Length: 0\r\n\r\n"
	c := b.dialRaw()
	c.writeHead("/nowhere/", fmt.Sprintf("Content-Length: %d", 2*len(hidden)))
	require.Equal(t, http.StatusNotFound, c.read().StatusCode)
	c.write(hidden)
	c.awaitClose()
	require.Empty(t, server.requests())
}

// Guards against a refused request that stays in flight for seconds, for a body that its caller sends only after a 100 Continue.
func TestRefusedBodyThatIsNotSentIsNotAwaited(t *testing.T) {
	for name, path := range map[string]string{"no route": "/nowhere/", "too large": "/confirm/x"} {
		t.Run(name, func(t *testing.T) {
			b, server := newBodyHarness(t, 1<<10)
			c := b.dialRaw()
			c.writeHead(path, "Content-Length: 1025", "Expect: 100-continue")
			refused := c.read()
			require.GreaterOrEqual(t, refused.StatusCode, http.StatusBadRequest)
			require.True(t, refused.Close)
			begun := time.Now()
			c.awaitClose()
			require.Less(t, time.Since(begun), 2*time.Second, "a body that is sent is read for 2.5 s")
			require.Empty(t, server.requests())
		})
	}
}

// Guards against reading the body of a refused request without end.
func TestRefusedBodyIsReadUpToTheLimit(t *testing.T) {
	b, _ := newBodyHarness(t, 1<<10)
	c := b.dialRaw()
	c.writeHead("/confirm/x", "Transfer-Encoding: chunked")
	part := strings.Repeat("x", 1<<10)
	c.write(fmt.Sprintf("%x\r\n%s\r\n", 2*len(part), part+part))
	require.Equal(t, http.StatusRequestEntityTooLarge, c.read().StatusCode)
	require.Eventually(t, func() bool {
		_, err := fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(part), part)
		return err != nil
	}, callerPatience, time.Millisecond)
}

// Guards against waiting for a body whose declared length is over the limit.
func TestDeclaredLengthOverTheLimitIsRefusedAtOnce(t *testing.T) {
	b, _ := newBodyHarness(t, 1<<10)
	c := b.dialRaw()
	c.writeHead("/confirm/x", "Content-Length: 1025")
	require.Equal(t, http.StatusRequestEntityTooLarge, c.read().StatusCode)
}

// Guards against a drain that ends while bodies are still coming, with neither an answer nor a refusal.
func TestBodiesThatOutlastADrainAreRefused(t *testing.T) {
	for name, head := range map[string]string{"with a length": "Content-Length: 900", "in chunks": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			b, server := newBodyHarness(t, 1000)
			c := b.dialRaw()
			c.writeHead("/confirm/x", head)
			c.write("5\r\nvisit\r\n")
			require.Eventually(t, func() bool { return b.gateway.InFlight() == 1 }, callerPatience, time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			drained := make(chan struct{})
			go func() {
				defer close(drained)
				b.gateway.Drain(ctx)
			}()
			resp := c.read()
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			require.True(t, resp.Close)
			require.NoError(t, ctx.Err(), "the refusal must come before the drain ends")
			require.NoError(t, c.conn.Close())
			<-drained
			require.Zero(t, b.gateway.InFlight())
			require.Empty(t, server.requests())
		})
	}
}

// Guards against reading the body of a request that the drain refuses in any case.
func TestRequestsThatMayOutlastADrainAreRefusedBeforeTheirBody(t *testing.T) {
	b, _ := newBodyHarness(t, 1000)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		b.gateway.Drain(ctx)
	}()
	require.Eventually(t, func() bool { return !b.gateway.Ready() }, callerPatience, time.Millisecond)
	c := b.dialRaw()
	c.writeHead("/confirm/x", "Content-Length: 900")
	resp := c.read()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.NoError(t, c.conn.Close())
	<-drained
}

// Guards against bodies that hold a request beyond its deadline.
func TestBodyThatOutlastsItsDeadlineIsRefused(t *testing.T) {
	b, server := newBodyHarness(t, 1000)
	c := b.dialRaw()
	c.writeHead("/confirm/x", "Content-Length: 900", "X-Laburnumlever-Deadline-Ms: 100")
	resp := c.read()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Empty(t, server.requests())
}
