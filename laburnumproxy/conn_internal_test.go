package laburnumproxy

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a request that is written after its caller was told that it did not run, and runs twice if resent.
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

// Guards against sealing a connection whose request may have run and whose response may still arrive.
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
