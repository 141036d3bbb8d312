package laburnumsocket_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumsocket"
)

const eventually = 10 * time.Second

// pair returns both sides of a connection.
func pair(t *testing.T) (near, far *net.TCPConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	conn, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	accepted, err := ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = conn.Close(), accepted.Close() })
	return accepted.(*net.TCPConn), conn.(*net.TCPConn)
}

// Guards against a close that is not seen behind unread bytes, and against open connections taken for closed ones.
func TestLook(t *testing.T) {
	write := func(t *testing.T, far *net.TCPConn) {
		_, err := far.Write([]byte("next request"))
		require.NoError(t, err)
	}
	tests := map[string]struct {
		act  func(t *testing.T, far *net.TCPConn)
		want laburnumsocket.State
	}{
		"open":              {func(*testing.T, *net.TCPConn) {}, laburnumsocket.Quiet},
		"bytes":             {write, laburnumsocket.Readable},
		"closed":            {func(t *testing.T, far *net.TCPConn) { require.NoError(t, far.Close()) }, laburnumsocket.Closed},
		"closed after send": {func(t *testing.T, far *net.TCPConn) { write(t, far); require.NoError(t, far.Close()) }, laburnumsocket.Closed},
		"closed for writing": {func(t *testing.T, far *net.TCPConn) {
			require.NoError(t, far.CloseWrite())
		}, laburnumsocket.Closed},
		"reset": {func(t *testing.T, far *net.TCPConn) {
			require.NoError(t, far.SetLinger(0))
			require.NoError(t, far.Close())
		}, laburnumsocket.Closed},
		"reset after send": {func(t *testing.T, far *net.TCPConn) {
			write(t, far)
			require.NoError(t, far.SetLinger(0))
			require.NoError(t, far.Close())
		}, laburnumsocket.Closed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			test.act(t, far)
			require.Eventually(t, func() bool { return laburnumsocket.Look(near) == test.want }, eventually, time.Millisecond)
			require.Equal(t, test.want, laburnumsocket.Look(near), "looking must change nothing")
		})
	}
}

// Guards against bytes that are not seen since their connection was closed after them, and against a close taken for bytes.
func TestUnread(t *testing.T) {
	for name, test := range map[string]struct{ bytes, closed bool }{
		"open": {false, false}, "bytes": {true, false}, "closed": {false, true}, "closed after send": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			want := laburnumsocket.Quiet
			if test.bytes {
				want = laburnumsocket.Readable
				_, err := far.Write([]byte("garbage"))
				require.NoError(t, err)
			}
			if test.closed {
				want = laburnumsocket.Closed
				require.NoError(t, far.Close())
			}
			require.Eventually(t, func() bool { return laburnumsocket.Look(near) == want }, eventually, time.Millisecond)
			require.Equal(t, test.bytes, laburnumsocket.Unread(near))
			require.Equal(t, test.bytes, laburnumsocket.Unread(near), "looking must change nothing")
			require.NoError(t, near.Close())
			require.False(t, laburnumsocket.Unread(near))
		})
	}
	require.False(t, laburnumsocket.Unread(nil))
}

// Guards against a connection closed on this side that counts as open.
func TestLookAtOwnClosedConnection(t *testing.T) {
	near, _ := pair(t)
	require.NoError(t, near.Close())
	require.Equal(t, laburnumsocket.Closed, laburnumsocket.Look(near))
	require.Equal(t, laburnumsocket.Quiet, laburnumsocket.Look(nil))
}

// Guards against a look that waits for a goroutine which reads.
func TestLookBesideAReader(t *testing.T) {
	near, far := pair(t)
	read := make(chan error, 1)
	go func() {
		_, err := near.Read(make([]byte, 1))
		read <- err
	}()
	require.Equal(t, laburnumsocket.Quiet, laburnumsocket.Look(near))
	require.NoError(t, far.Close())
	require.Error(t, <-read)
	require.Equal(t, laburnumsocket.Closed, laburnumsocket.Look(near))
}

// BenchmarkLook measures a look at a quiet connection.
func BenchmarkLook(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer ln.Close()
	conn, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(b, err)
	defer conn.Close()
	for b.Loop() {
		laburnumsocket.Look(conn)
	}
}

// Guards against bytes that count as new although they waited until their reader went on.
func TestSinceReceived(t *testing.T) {
	const wait = 50 * time.Millisecond
	near, far := pair(t)
	_, err := far.Write([]byte("request"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return laburnumsocket.SinceReceived(near) >= wait }, eventually, time.Millisecond)
	_, err = near.Read(make([]byte, 16))
	require.NoError(t, err)
	require.GreaterOrEqual(t, laburnumsocket.SinceReceived(near), wait, "reading must not make it newer")
	_, err = far.Write([]byte("next"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return laburnumsocket.SinceReceived(near) < wait }, eventually, time.Millisecond)
	require.Zero(t, laburnumsocket.SinceReceived(nil))
}
