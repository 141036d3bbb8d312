package laburnumintake_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumintake"
	"laburnumlever/laburnumtimer"
)

const roomBytes = 256 << 10

// slowBody is a body whose bytes come as they are sent.
type slowBody struct {
	*io.PipeReader
	w     *io.PipeWriter
	ended atomic.Bool
	done  chan error
	body  *laburnumintake.Body
}

// read has an intake read a body of a length, -1 for one that is not known.
func read(in *laburnumintake.Intake, timers *laburnumtimer.Manual, length int64) *slowBody {
	b := &slowBody{done: make(chan error, 1)}
	b.PipeReader, b.w = io.Pipe()
	go func() {
		var err error
		b.body, err = in.ReadBody(laburnumintake.Source{
			Body: b, Length: length, Limit: roomBytes, Deadline: timers.Now().Add(8 * time.Second),
			Interrupt: func() {
				b.ended.Store(true)
				_ = b.CloseWithError(io.ErrClosedPipe)
			},
		})
		_ = b.Close() // so that what is sent from here on fails
		b.done <- err
	}()
	return b
}

func (b *slowBody) send(t *testing.T, bytes int) {
	t.Helper()
	_, err := io.WriteString(b.w, strings.Repeat("x", bytes))
	require.NoError(t, err)
}

func (b *slowBody) requireEvicted(t *testing.T) {
	t.Helper()
	var full *laburnumintake.FullError
	require.ErrorAs(t, <-b.done, &full)
	require.True(t, full.Evicted)
}

func newIntake() (*laburnumintake.Intake, *laburnumtimer.Manual) {
	timers := laburnumtimer.NewManual(time.Unix(1_790_000_000, 0))
	return laburnumintake.New(timers, laburnumintake.NewLimits(0, 0).WithBytes(roomBytes)), timers
}

// Guards against bodies that stop short of their end and keep all room until their deadline.
func TestStalledBodyGivesWay(t *testing.T) {
	for name, length := range map[string]int64{"with a length": roomBytes, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			in, timers := newIntake()
			stalled := read(in, timers, length)
			stalled.send(t, roomBytes-1)
			late := read(in, timers, roomBytes/2)
			var full *laburnumintake.FullError
			require.ErrorAs(t, <-late.done, &full, "nobody has stalled yet")
			require.False(t, full.Evicted)
			timers.Advance(laburnumintake.Patience)
			late = read(in, timers, roomBytes/2)
			late.send(t, roomBytes/2)
			require.NoError(t, <-late.done)
			stalled.requireEvicted(t)
			require.EqualValues(t, roomBytes/2, late.body.Len())
			late.body.Release()
			late.body.Release()
			require.Zero(t, in.Stats().Held)
		})
	}
}

// Guards against bodies that send a little now and then and keep all room.
func TestTrickledBodyGivesWayAndSteadyOneStays(t *testing.T) {
	in, timers := newIntake()
	trickled, steady := read(in, timers, roomBytes/2), read(in, timers, roomBytes/2)
	for range 4 { // half of the time of both
		trickled.send(t, 40<<10/8)
		steady.send(t, roomBytes/16)
		timers.Advance(laburnumintake.Patience - time.Millisecond)
		steady.send(t, roomBytes/16)
		trickled.send(t, 40<<10/8)
	}
	other := read(in, timers, roomBytes/4)
	other.send(t, roomBytes/4)
	require.NoError(t, <-other.done)
	trickled.requireEvicted(t)
	require.False(t, steady.ended.Load())
	require.NoError(t, <-steady.done)
}

// Guards against an ordinary request that is refused for want of room.
func TestSmallBodyNeedsNoRoom(t *testing.T) {
	in, timers := newIntake()
	read(in, timers, roomBytes).send(t, roomBytes-1)
	small := read(in, timers, laburnumintake.FreeBytes)
	small.send(t, laburnumintake.FreeBytes)
	require.NoError(t, <-small.done)
}

// Guards against a default that a VM of the platform has no memory for: all shares and the runtime's garbage have to fit.
func TestSharesFitIntoTheMemory(t *testing.T) {
	const answersShare, runtimeShare = 1.0 / 8, 0.6
	for _, vm := range []struct{ memoryMB, descriptors int }{{136, 2870}, {184, 4100}, {280, 4096}} {
		l, memory := laburnumintake.NewLimits(vm.memoryMB, vm.descriptors), float64(vm.memoryMB<<20)
		all := float64(l.Bytes()) + float64(l.Connections()*32<<10) + answersShare*memory
		require.Less(t, all, runtimeShare*memory*0.8, "MB %d", vm.memoryMB)
		require.Less(t, l.Connections()+l.Peers()+2*l.Others()+200, vm.descriptors)
		require.Greater(t, l.Bytes(), int64(4*4<<20), "four of the largest bodies")
	}
}

// Guards against idle connections that keep others out, and against one that is closed while its request is served.
func TestIdleConnectionGivesItsPlace(t *testing.T) {
	in, _ := newIntake()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	limited := in.Listen(ln, 2)
	t.Cleanup(func() { _ = limited.Close() })
	connect := func() (client, accepted net.Conn) {
		client, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = client.Close() })
		accepted, err = limited.Accept()
		require.NoError(t, err)
		return client, accepted
	}
	_, served := connect()
	require.True(t, laburnumintake.Serving(served))
	idle, closed := connect()
	connect()
	_, err = idle.Read(make([]byte, 1))
	require.Error(t, err, "it has been closed")
	require.False(t, laburnumintake.Serving(closed), "a request that was just read has no connection for its answer")
	require.NoError(t, served.SetReadDeadline(time.Now()))
	_, err = served.Read(make([]byte, 1))
	require.NotErrorIs(t, err, net.ErrClosed)
	require.Equal(t, 2, in.Stats().Connections)
}

// Guards against a message that is cut short and taken for a whole one.
func TestBodyThatIsCutShortIsNoBody(t *testing.T) {
	in, _ := newIntake()
	_, err := in.ReadBody(laburnumintake.Source{Body: strings.NewReader("whole"), Length: 6, Limit: roomBytes, Interrupt: func() {}})
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
