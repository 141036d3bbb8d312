package laburnumroles

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"laburnumlever/laburnumsettings"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

// Guards against reconnecting backend servers that take all descriptors of a control VM.
func TestBackendServersTakeAShareOfTheDescriptorsOnly(t *testing.T) {
	const address = "127.0.0.1:17391"
	p := process{settings: laburnumsettings.Role{Descriptors: 4}, logger: log.NewNopLogger()}
	require.NoError(t, p.serveBackends("control", address, newServer(http.NotFoundHandler())))
	t.Cleanup(func() { _ = p.servers[0].Close() })
	var conns []net.Conn
	answered := make(chan int, 3)
	for i := range 3 {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		conns = append(conns, conn)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		require.NoError(t, err)
		go func() {
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				_ = resp.Body.Close()
				answered <- i
			}
		}()
	}
	served := map[int]bool{<-answered: true, <-answered: true}
	require.Empty(t, answered)
	for i := range served {
		require.NoError(t, conns[i].Close())
		break
	}
	third := <-answered
	require.False(t, served[third])
}
