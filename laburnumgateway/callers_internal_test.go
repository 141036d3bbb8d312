package laburnumgateway

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// acceptCaller returns a caller's connection, at the gateway and at the caller.
func acceptCaller(t *testing.T) (*callerConn, net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	callers := NewCallers(ln)
	t.Cleanup(func() { _ = callers.Close() })
	far, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	conn, err := callers.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = conn.Close(), far.Close() })
	return conn.(*callerConn), far
}

// exceed lets the time for a head pass while nobody reads, as in a pause of the VM.
func exceed(t *testing.T, conn *callerConn) {
	const limit = 10 * time.Millisecond
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(limit)))
	<-time.After(2 * limit)
}

// Guards against connections closed without an answer since the time for a head was over, although it had come, as the VM stood still.
func TestHeadThatCameDuringAPauseIsRead(t *testing.T) {
	conn, far := acceptCaller(t)
	_, err := far.Write([]byte("GET"))
	require.NoError(t, err)
	exceed(t, conn)
	buffer := make([]byte, 16)
	n, err := conn.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, "GET", string(buffer[:n]))
	_, err = far.Write([]byte(" /x"))
	require.NoError(t, err)
	exceed(t, conn)
	_, err = conn.Read(buffer)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "a head that comes too slowly has one more time only")
	conn.setServing(true)
	conn.setServing(false)
	n, err = conn.Read(buffer)
	require.NoError(t, err, "the next request has it again")
	require.Equal(t, " /x", string(buffer[:n]))
}

// Guards against a time for a head that is extended without a byte of it, and against bodies that outlast their deadline.
func TestTimeIsNotExtendedForCallersThatSendNothing(t *testing.T) {
	conn, far := acceptCaller(t)
	exceed(t, conn)
	_, err := conn.Read(make([]byte, 16))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	conn.setServing(true)
	_, err = far.Write([]byte("body"))
	require.NoError(t, err)
	exceed(t, conn)
	_, err = conn.Read(make([]byte, 16))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against a refused body that is given up, and its answer lost to a reset, since this VM reads it late.
func TestRefusedBodyThatWaitsIsReadOn(t *testing.T) {
	conn, far := acceptCaller(t)
	conn.setServing(true)
	conn.setDropUntil(time.Now().Add(maxDropTime))
	_, err := far.Write([]byte("body"))
	require.NoError(t, err)
	for _, want := range []string{"b", "o"} {
		exceed(t, conn)
		buffer := make([]byte, 1)
		_, err = conn.Read(buffer)
		require.NoError(t, err)
		require.Equal(t, want, string(buffer))
	}
	conn.setDropUntil(time.Now())
	exceed(t, conn)
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
