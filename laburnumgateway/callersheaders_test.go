package laburnumgateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a caller who makes healthy servers faulty by asking for what they then answer: an encoding, a head, options.
func TestWhatACallerAsksForMakesNoServerFaulty(t *testing.T) {
	for name, tt := range map[string]struct{ method, path, header, value string }{
		"control":            {http.MethodPost, "/draft/x", "Accept-Encoding", "identity"},
		"encoding":           {http.MethodPost, "/confirm/x", "Accept-Encoding", "gzip"},
		"encoding, stream":   {http.MethodPost, "/draft/x", "Accept-Encoding", "gzip"},
		"head":               {http.MethodHead, "/lookup/x", "X-None", "1"},
		"head of a stream":   {http.MethodHead, "/draft/x", "X-None", "1"},
		"options of a route": {http.MethodOptions, "/lookup/x", "X-None", "1"},
		"options, stream":    {http.MethodOptions, "/draft/x", "X-None", "1"},
	} {
		t.Run(name, func(t *testing.T) {
			server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
				own := fmt.Sprintf("%s: r-1\r\n%s: s1\r\n", idHeader, stampHeader)
				encoding := ""
				if strings.Contains(a.request.Header.Get("Accept-Encoding"), "gzip") {
					encoding = "Content-Encoding: gzip\r\n"
				}
				contentType := "application/json"
				if strings.HasPrefix(a.request.URL.Path, "/draft") {
					contentType = "text/event-stream"
				}
				switch a.request.Method {
				case http.MethodOptions:
					fmt.Fprintf(conn, "HTTP/1.1 204 No Content\r\n%sAllow: POST\r\n\r\n", own)
				case http.MethodHead:
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n", own, contentType)
				default:
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%sContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", own, encoding, contentType, len(event(1)), event(1))
				}
			})
			other := newBackend(t, "i-2", server.answer)
			b := newHarness(t, server.heartbeat("booking"), other.heartbeat("quotes", "m0"))
			b.client.Transport = &http.Transport{DisableCompression: true}
			headers := []string{tt.header, tt.value}
			if strings.HasPrefix(tt.path, "/draft") {
				headers = append(headers, "X-Laburnumlever-Model", "m0")
			}
			got := b.send(tt.method, tt.path, "", headers...)
			require.NoError(t, got.err)
			require.Zero(t, failures(b), "status %d %q", got.status, got.body)
			require.Less(t, got.status, 300)
		})
	}
}
