package laburnumoverload_test

import (
	"io"
	"net"
	"net/http"
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

func newGate() (*laburnumoverload.Gate, *lateTimers) {
	timers := &lateTimers{Manual: laburnumtimer.NewManual(time.Unix(1_000_000, 0))}
	return laburnumoverload.NewGate(timers, laburnumoverload.WithRun(func(look func()) { look() })), timers
}

// admitted returns how many of a thousand connections are accepted.
func admitted(gate *laburnumoverload.Gate) int {
	n := 0
	for range 1000 {
		if gate.Admit() {
			n++
		}
	}
	return n
}

// open has connections opened that bring their first byte after a time each.
func open(gate *laburnumoverload.Gate, timers *lateTimers, waits ...time.Duration) {
	begin := timers.Now()
	for _, wait := range waits {
		conn, _ := net.Pipe()
		gate.ConnState(conn, http.StateNew)
		timers.Manual.After(wait, func(time.Time) { gate.ConnState(conn, http.StateActive) })
	}
	timers.Advance(200*time.Millisecond - timers.Now().Sub(begin))
}

// Guards against a gateway that reads more requests than it can answer, while others are idle.
func TestProcessThatIsAlwaysLateTurnsConnectionsAway(t *testing.T) {
	gate, timers := newGate()
	timers.Advance(time.Second)
	require.Equal(t, 1000, admitted(gate))
	timers.lag = 150 * time.Millisecond
	timers.Advance(5 * time.Second)
	require.Less(t, admitted(gate), 100)
	timers.lag = 0
	for range 100 {
		open(gate, timers, time.Millisecond, time.Millisecond, time.Millisecond, time.Millisecond)
	}
	require.Equal(t, 1000, admitted(gate))
}

// Guards against a gateway that goes on with what its link can't carry, until callers have left.
func TestConnectionsThatBringNothingForLongAreSignsOfOverload(t *testing.T) {
	gate, timers := newGate()
	for range 10 {
		open(gate, timers, 150*time.Millisecond, 160*time.Millisecond, 170*time.Millisecond, 180*time.Millisecond)
	}
	require.Less(t, admitted(gate), 200)
	timers.Advance(10 * time.Second)
	require.Equal(t, 1000, admitted(gate), "no more than usual come")
}

// Guards against connections that are turned away since a packet of the only one was lost.
func TestFewSlowConnectionsAreNoOverload(t *testing.T) {
	gate, timers := newGate()
	for range 50 {
		open(gate, timers, 190*time.Millisecond)
		open(gate, timers, 5*time.Millisecond, 5*time.Millisecond)
	}
	require.Equal(t, 1000, admitted(gate))
}

// Guards against slow callers that are taken for a slow link.
func TestSlowCallersBesideFastOnesAreNoOverload(t *testing.T) {
	gate, timers := newGate()
	for range 50 {
		open(gate, timers, 5*time.Millisecond, 90*time.Millisecond, 105*time.Millisecond, 190*time.Millisecond)
	}
	require.Equal(t, 1000, admitted(gate))
}

// Guards against connections that are turned away after a pause of the VM, or by one whose share of a core comes in pieces.
func TestPausesAreNoOverload(t *testing.T) {
	gate, timers := newGate()
	for range 50 {
		timers.lag = 3 * time.Second
		timers.Advance(3 * time.Second)
		timers.lag = 80 * time.Millisecond
		timers.Advance(time.Second)
		require.Equal(t, 1000, admitted(gate))
	}
}

// Guards against connections that hang, or look served, at a gateway that can't serve them.
func TestConnectionsThatAreNotAdmittedAreReset(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	var overloaded atomic.Bool
	var shed atomic.Int64
	accepted := make(chan net.Conn, 1)
	shedding := laburnumoverload.NewListener(ln, func() bool { return !overloaded.Load() }, func() { shed.Add(1) })
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
	first := <-accepted
	overloaded.Store(true)
	turnedAway, err := net.Dial("tcp", ln.Addr().String())
	if err == nil { // else the reset came before the dialer looked
		_, err = io.ReadAll(turnedAway)
		require.NoError(t, turnedAway.Close())
	}
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.Equal(t, int64(1), shed.Load())
	_, err = first.Write([]byte("open connections are served on"))
	require.NoError(t, err)
	overloaded.Store(false)
	dial()
	<-accepted
}

// Guards against a wait of connections of long ago that makes a late look turn away more of the new ones.
func TestEarlierWaitOfConnectionsMakesNoDeeperCut(t *testing.T) {
	timers := &lateTimers{Manual: laburnumtimer.NewManual(time.Unix(1_000_000, 0))}
	var seen time.Duration
	gate := laburnumoverload.NewGate(timers, laburnumoverload.WithRun(func(look func()) { look() }),
		laburnumoverload.WithOnChange(func(_ bool, delay time.Duration) { seen = delay }))
	open(gate, timers, 5*time.Second, 5*time.Second, 5*time.Second, 5*time.Second)
	timers.Advance(time.Minute)
	require.Zero(t, seen)
	timers.lag = 110 * time.Millisecond
	timers.Advance(time.Second)
	require.Equal(t, timers.lag, seen)
}
