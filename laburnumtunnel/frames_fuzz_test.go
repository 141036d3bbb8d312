package laburnumtunnel

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"laburnumlever"

	"github.com/stretchr/testify/require"
)

// FuzzFrames guards against bytes of a helper that cause a panic, add bytes, or end a broken tunnel like a whole one.
func FuzzFrames(f *testing.F) {
	var b frameBuffer
	f.Add(append(append([]byte{}, b.frame(copy(b.payload(), "HTTP/1.1 200 OK"))...), mark(endLength)...))
	f.Add(append(mark(leavingLength), 0, 3, 'a'))
	f.Add([]byte{0})
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &Conn{r: bufio.NewReader(bytes.NewReader(data)), answered: func(bool) {}}
		got, err := io.ReadAll(c)
		require.LessOrEqual(t, len(got), len(data))
		require.Equal(t, c.ended, err == nil)
	})
}

// FuzzNotice guards against notices that cause a panic, or a rest that is negative.
func FuzzNotice(f *testing.F) {
	f.Add([]byte(`{"address":"10.0.0.1:9","backend":"i-1","born":2,"leaving":true,"rest":"1s"}`))
	f.Add([]byte(`{"rest":"-1s"}`))
	f.Add([]byte(`{"rest":9223372036854775807}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		s := &Server{noticed: func(n Notice) { require.GreaterOrEqual(t, n.Rest, laburnumlever.Duration(0)) }}
		s.takeNotice(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, noticePath, bytes.NewReader(body)))
	})
}
