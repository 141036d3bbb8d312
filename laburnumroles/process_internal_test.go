package laburnumroles

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"laburnumlever/laburnumintake"
	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

// Guards against reconnecting backend servers that use up all descriptors of a control VM.
func TestBackendServersCannotExhaustDescriptors(t *testing.T) {
	const (
		address = "127.0.0.1:17391"
		all     = 40 // connections
		share   = 2  // connections served at once
	)
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	p := process{intake: laburnumintake.New(timers, laburnumintake.NewLimits(0, 2*share)), logger: log.NewNopLogger()}
	require.NoError(t, p.serveBackends("control", address, newServer(http.NotFoundHandler())))
	t.Cleanup(func() { _ = p.servers[0].Close() })
	answered := make(chan net.Conn, all)
	for range all {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		require.NoError(t, err)
		go func() {
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				_ = resp.Body.Close()
				answered <- conn
			}
		}()
	}
	served := []net.Conn{<-answered, <-answered}
	for range all - share {
		require.Empty(t, answered, "more connections are served at once than the share allows")
		require.NoError(t, served[0].Close())
		served = append(served[1:], <-answered)
	}
}
