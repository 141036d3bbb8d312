package laburnumroles_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

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
