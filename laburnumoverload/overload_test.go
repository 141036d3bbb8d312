package laburnumoverload_test

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumoverload"
	"laburnumlever/laburnumtimer"
)

// lateTimers are timers whose functions are called late.
type lateTimers struct {
	*laburnumtimer.Manual
	lag time.Duration
}

func (t *lateTimers) After(d time.Duration, fn func(now time.Time)) func() {
	return t.Manual.After(d+t.lag, fn)
}

func newMeter(t *testing.T) (*laburnumoverload.Meter, *lateTimers) {
	timers := &lateTimers{Manual: laburnumtimer.NewManual(time.Unix(1_000_000, 0))}
	changes := 0
	meter := laburnumoverload.NewMeter(timers, func(bool, time.Duration) { changes++ })
	t.Cleanup(func() { require.LessOrEqual(t, changes, 2) })
	return meter, timers
}

// Guards against a gateway that reads more requests than it can answer, while others are idle.
func TestProcessThatIsAlwaysLateIsOverloaded(t *testing.T) {
	meter, timers := newMeter(t)
	timers.Advance(time.Second)
	require.False(t, meter.Overloaded())
	timers.lag = 150 * time.Millisecond
	timers.Advance(time.Second)
	require.True(t, meter.Overloaded())
	timers.lag = 0
	timers.Advance(time.Second)
	require.False(t, meter.Overloaded())
}

// Guards against connections that are turned away after a pause of the VM, or by one whose share of a core comes in pieces.
func TestPausesAreNoOverload(t *testing.T) {
	meter, timers := newMeter(t)
	for range 50 {
		timers.lag = 3 * time.Second
		timers.Advance(3100 * time.Millisecond)
		timers.lag = 80 * time.Millisecond
		timers.Advance(time.Second)
		require.False(t, meter.Overloaded())
	}
}

// Guards against connections that hang, or look served, at a gateway that can't serve them.
func TestOverloadedListenerResetsNewConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	var overloaded atomic.Bool
	var shed atomic.Int64
	accepted := make(chan net.Conn, 1)
	shedding := laburnumoverload.NewListener(ln, overloaded.Load, func() { shed.Add(1) })
	go func() {
		for {
			conn, err := shedding.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	dial()
	open := <-accepted
	overloaded.Store(true)
	conn := dial()
	_, err = io.ReadAll(conn)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.Equal(t, int64(1), shed.Load())
	_, err = open.Write([]byte("open connections are served on"))
	require.NoError(t, err)
	overloaded.Store(false)
	dial()
	<-accepted
}
