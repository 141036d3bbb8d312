package laburnumproxy_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are sent on although their callers left while the VM stood still.
func TestRequestsOfCallersThatLeftAreNotSent(t *testing.T) {
	const leavers = 100
	b := newFixture(t, nil)
	var served atomic.Int32
	b.service(func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		_, _ = w.Write([]byte("ok"))
	})
	still := httptest.NewUnstartedServer(b.proxy)
	still.Config = b.proxy.Server()
	for range leavers {
		conn, err := net.Dial("tcp", still.Listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprint(conn, "GET /services/booking/slots HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	still.Start()
	t.Cleanup(still.Close)
	resp, err := http.Get(still.URL + "/services/booking/slots")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Eventually(t, func() bool { return b.proxy.InFlight() == 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, int32(1), served.Load(), "the others have left")
}
