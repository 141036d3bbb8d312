package laburnumstandin_test

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"laburnumlever/laburnumstandin"
)

// Guards against crashed servers of a test at whose address a server of another test answers.
func TestClosedPortRefusesConnectionsAndIsTaken(t *testing.T) {
	closed, err := laburnumstandin.NewClosedPort()
	require.NoError(t, err)
	t.Cleanup(func() { _ = closed.Close() })
	_, err = net.Dial("tcp", closed.Address())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)

	exclusive := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			require.NoError(t, unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 0))
		})
	}}
	_, err = exclusive.Listen(t.Context(), "tcp", closed.Address())
	require.ErrorIs(t, err, syscall.EADDRINUSE)
	ln, err := net.Listen("tcp", closed.Address())
	require.NoError(t, err, "the server starts again")
	require.NoError(t, ln.Close())
}
