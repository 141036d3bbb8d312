package laburnumupstream_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"laburnumlever/laburnumupstream"
)

// Guards against a TCP_USER_TIMEOUT, set by a library or here, that ends keep-alive probes earlier than their number.
func TestKeepAliveProbesEndByTheirNumber(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	conn, err := laburnumupstream.NewDialer(nil).DialContext(t.Context(), ln.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	option := func(level, name int) int {
		value := -1
		require.NoError(t, raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) }))
		require.NoError(t, err)
		return value
	}
	require.Zero(t, option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT))
	keepAlive := laburnumupstream.NewDialer(nil).KeepAlive()
	require.Equal(t, 1, option(unix.SOL_SOCKET, unix.SO_KEEPALIVE))
	require.Equal(t, int(keepAlive.Idle.Seconds()), option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE))
	require.Equal(t, int(keepAlive.Interval.Seconds()), option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL))
	require.Equal(t, keepAlive.Count, option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT))
}
