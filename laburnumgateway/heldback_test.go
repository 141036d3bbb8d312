package laburnumgateway_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an event that its caller gets only with the next one, since bytes without an event came right behind it.
func TestEventIsNotHeldBackByWhatFollowsIt(t *testing.T) {
	for name, behind := range map[string]string{
		"control: nothing": "", "comment": ": beat\n\n", "empty line": "\n", "retry": "retry: 10\n\n", "beginning of the next": "id: 2\n",
	} {
		t.Run(name, func(t *testing.T) {
			got, held := make(chan struct{}), make(chan bool, 1)
			server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
				writeEvents(conn, a, 1, 0)
				writeChunk(conn, event(1)+behind)
				select {
				case <-got:
					held <- false
				case <-time.After(time.Second):
					held <- true
				}
				if behind == "id: 2\n" {
					writeChunk(conn, "data: word-2\n\n")
				} else {
					writeChunk(conn, event(2))
				}
				writeLastChunk(conn)
			})
			b := newHarness(t, server.heartbeat("quotes", "m0"))
			req, err := http.NewRequest(http.MethodPost, b.server.URL+"/draft/x", http.NoBody)
			require.NoError(t, err)
			req.Host = "quotes.example"
			req.Header.Set(idHeader, "r-1")
			req.Header.Set("X-Laburnumlever-Model", "m0")
			resp, err := b.client.Do(req)
			require.NoError(t, err)
			defer resp.Body.Close()
			_, err = bufio.NewReader(resp.Body).ReadString('\n')
			require.NoError(t, err)
			close(got)
			require.False(t, <-held, "the caller got the event with the next one only")
		})
	}
}
