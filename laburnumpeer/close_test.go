package laburnumpeer_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumpeer"
	"laburnumlever/laburnumstandin"
)

// Guards against a VM that can't start again at its address since the port is still taken once it has been closed.
func TestPortIsFreeOnceClosed(t *testing.T) {
	port, err := laburnumstandin.NewClosedPort() // nobody else gets it
	require.NoError(t, err)
	t.Cleanup(func() { _ = port.Close() })
	for range 500 {
		ln, err := net.Listen("tcp", port.Address())
		require.NoError(t, err)
		a := laburnumpeer.New("a")
		served := make(chan error, 1)
		serving := make(chan struct{})
		go func() {
			served <- a.Serve(&announcedListener{Listener: ln, serving: serving})
		}()
		<-serving
		require.NoError(t, a.Close())
		again, err := net.Listen("tcp", port.Address())
		require.NoError(t, err)
		require.NoError(t, again.Close())
		require.NoError(t, <-served)
	}
}

// announcedListener tells when it accepts its first connection.
type announcedListener struct {
	net.Listener
	serving chan struct{}
}

func (l *announcedListener) Accept() (net.Conn, error) {
	close(l.serving)
	return l.Listener.Accept()
}
