package laburnumtunnel_test

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"laburnumlever/laburnumintake"
	"laburnumlever/laburnumsocket"
	"laburnumlever/laburnumtimer"
	"laburnumlever/laburnumtunnel"
)

// acceptedListener passes its connections on to a channel as well.
type acceptedListener struct {
	net.Listener
	accepted chan net.Conn
}

func (l acceptedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- conn
	}
	return conn, err
}

// Guards against tunnels of lost VMs that stay, as their connections come through a listener that counts them.
func TestTunnelThroughAnIntakeIsKeptAlive(t *testing.T) {
	server, _ := echoServer(t)
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	ln := acceptedListener{Listener: listen(t), accepted: make(chan net.Conn, 1)}
	helper := laburnumtunnel.NewServer(func(string) bool { return true }, func() bool { return true })
	intake := laburnumintake.New(timers, laburnumintake.NewLimits(96, 1024))
	h := &http.Server{
		Handler: laburnumintake.Handler(helper), ConnState: laburnumintake.ConnState, ConnContext: laburnumsocket.NewContext, ReadHeaderTimeout: time.Second,
	}
	go func() { _ = h.Serve(intake.Listen(ln, 1)) }()
	t.Cleanup(func() { _ = h.Close() })
	conn, err := newClient(t, ln.Addr().String()).Dial(t.Context(), server)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.Equal(t, "oak", say(t, conn, "oak"))
	raw, err := (<-ln.accepted).(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	interval := 0
	require.NoError(t, raw.Control(func(fd uintptr) { interval, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL) }))
	require.NoError(t, err)
	require.Equal(t, 1, interval, "seconds between probes, as on the connection to the server")
}
