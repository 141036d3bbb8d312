package laburnumproxy

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a request being written after its attempt was reported as not-run. A caller's
// deadline passes before the transport writes to the connection; a late write would then
// book a second time when the caller retries.
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

// Once a byte is written, the call may have run: the connection must not be sealed, as the
// response may still arrive.
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
