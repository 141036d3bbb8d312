package laburnumproxy

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// A caller's time ends while his booking waits for its connection to be written to. It is
// told to him as not run, and he books again. Were the connection not closed to writes in
// the same step as the judgement, the first booking would go out a moment later and
// he would have two.
func TestSealedConnectionRejectsWrites(t *testing.T) {
	near, far := net.Pipe()
	defer func() { require.NoError(t, far.Close()) }()
	conn := &countedConn{Conn: near}
	defer func() { require.NoError(t, conn.Close()) }()
	require.False(t, conn.sealIfUnwritten(conn.writeCount()))
	_, err := conn.Write([]byte("POST /booking"))
	var sealed *sealedError
	require.ErrorAs(t, err, &sealed)
}

// The same, but the booking is out: it may have run, and the connection goes on, since its
// answer may still come.
func TestWrittenConnectionIsNotSealed(t *testing.T) {
	near, far := net.Pipe()
	defer func() { require.NoError(t, far.Close()) }()
	conn := &countedConn{Conn: near}
	defer func() { require.NoError(t, conn.Close()) }()
	base := conn.writeCount()
	read := make(chan error, 1)
	go func() {
		_, err := far.Read(make([]byte, 16))
		read <- err
	}()
	_, err := conn.Write([]byte("POST /booking"))
	require.NoError(t, err)
	require.NoError(t, <-read)
	require.True(t, conn.sealIfUnwritten(base))
	require.False(t, conn.sealed)
}
