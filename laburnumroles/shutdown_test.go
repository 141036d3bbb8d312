package laburnumroles_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"laburnumlever/laburnumroles"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

func (s *deployment) dialGateway() net.Conn {
	conn, err := net.Dial("tcp", s.gatewayAddress(0))
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(s.t, conn.SetDeadline(time.Now().Add(eventuallyTimeout)))
	return conn
}

// shutDown shuts the first gateway down, with so much time.
func (s *deployment) shutDown(limit time.Duration) (done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	done = make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		s.gateway.Shutdown(ctx)
	}()
	return done
}

// Guards against closing the connection of a request that arrives as the process ends.
func TestRequestThatArrivesAsAGatewayEndsIsRefused(t *testing.T) {
	s := newDeployment(t, 1, 0)
	idle, half := s.dialGateway(), s.dialGateway()
	_, err := io.WriteString(half, "POST /confirm/x HTTP/1.1\r\nHost: quotes.example\r\nX-Laburnumlever-Request-Id: r-1\r\n")
	require.NoError(t, err)
	done := s.shutDown(eventuallyTimeout)
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "idle connections are closed at the end")
	_, err = io.WriteString(half, "Content-Length: 0\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(half), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.True(t, resp.Close)
	<-done
}

// startServer starts a backend server of a service and waits until the gateway sends it the requests for a path.
func (s *deployment) startServer(service, path string, headers ...string) *backendServer {
	s.until(200, "first manifest", func() (int, []byte) {
		return s.call("PUT", "http://"+s.control(0)+"/v1/config", manifest(7, "confirm"))
	})
	x := s.startBackendServer("i-"+service, service)
	require.Equal(s.t, 200, x.announce(0))
	s.until(200, "a server that is known", func() (int, []byte) {
		return s.call("POST", "http://"+s.callers+path, []byte("visit"), append(headers, "X-Laburnumlever-Request-Id", "r-0")...)
	})
	return x
}

// Guards against requests that a backend server has had and that end with their connection as the gateway's grace is over.
func TestRequestsInFlightAtTheEndOfTheGraceAreAnswered(t *testing.T) {
	s := newDeployment(t, 3, 1)
	plain := s.startServer("rdv", "/confirm/x")
	plain.silent.Store(true)
	before := plain.arrivals.Load()
	conn := s.dialGateway()
	fmt.Fprint(conn, "POST /confirm/x HTTP/1.1\r\nHost: quotes.example\r\nX-Laburnumlever-Request-Id: r-1\r\nContent-Length: 0\r\n\r\n")
	require.Eventually(t, func() bool { return plain.arrivals.Load() == before+1 }, eventuallyTimeout, time.Millisecond)
	done := s.shutDown(time.Second)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusBadGateway, resp.StatusCode, "it may have run")
	<-done
}

// Guards against a gateway that can't start again at its address, since one that ends as it starts leaves its ports taken.
func TestGatewayThatEndsAsItStartsFreesItsPorts(t *testing.T) {
	s := newDeployment(t, 3, 1)
	for range 100 {
		s.killGateway()
		s.gateway = s.startGatewayAt(0)
	}
}

// Guards against streams that a gateway cuts as its grace is over and counts as callers that left.
func TestStreamsCutAtTheEndOfTheGraceAreNoLeavingCallers(t *testing.T) {
	s := newDeployment(t, 3, 1)
	lines := &logLines{}
	s.killGateway()
	s.gateway = s.startGatewayAt(0, laburnumroles.WithLogger(log.NewLogfmtLogger(lines)))
	s.startServer("devis", "/draft/x", "X-Laburnumlever-Model", "m0").silent.Store(true)
	conn := s.dialGateway()
	fmt.Fprint(conn, "POST /draft/x HTTP/1.1\r\nHost: quotes.example\r\nX-Laburnumlever-Request-Id: r-1\r\nX-Laburnumlever-Model: m0\r\nContent-Length: 0\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	done := s.shutDown(time.Second)
	_, err = io.Copy(io.Discard, resp.Body)
	require.Error(t, err, "the stream must not look complete")
	_ = resp.Body.Close() // it fails as well
	<-done
	require.NotContains(t, lines.text(), "reason=caller-gone")
	require.NotContains(t, lines.text(), "ended-by=caller-gone")
	require.Contains(t, lines.text(), "reason=vm-stopped")
}

// logLines keeps what is logged.
type logLines struct {
	mu  sync.Mutex
	all strings.Builder
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(p)
}

func (l *logLines) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.String()
}
