package laburnumupstream_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"laburnumlever/laburnumupstream"
)

// Guards against servers that are taken for unreachable because a caller's time was over while a busy VM dialled one.
func TestDialThatEndsWithItsCallersTimeSaysSo(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	address := fullListener(t)
	dialer := laburnumupstream.NewDialer(nil)
	var early atomic.Int64
	var dialers sync.WaitGroup
	for range 200 {
		dialers.Go(func() {
			for range 10 {
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
				_, err := dialer.DialContext(ctx, address)
				if err == nil || ctx.Err() == nil {
					early.Add(1)
				}
				cancel()
				work()
			}
		})
	}
	dialers.Wait()
	require.Zero(t, early.Load(), "of 2000 dials, each given up at its caller's deadline")
}

// Guards against a probe that a starved VM's own time limit ended, and that is taken for a refused one, which is not made again.
func TestDialThatEndsWithItsCallersTimeIsATimeout(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err := laburnumupstream.NewDialer(nil).DialContext(ctx, fullListener(t))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
}

// fullListener returns the address of a server that accepts no connection.
func fullListener(t *testing.T) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(fd, 0))
	name, err := unix.Getsockname(fd)
	require.NoError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}
