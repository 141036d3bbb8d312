package laburnumstandin_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumstandin"
)

// Guards against a stand-in that runs requests for an instance that ran at its address before.
func TestPlatformServerRejectsRequestsForAnotherInstance(t *testing.T) {
	s := laburnumstandin.NewPlatformServer("i-2", "quotes", "127.0.0.1:1", nil, nil, laburnumstandin.PlatformBehaviour{})
	t.Cleanup(s.Close)
	for want, status := range map[string]int{"i-1": http.StatusMisdirectedRequest, "i-2": http.StatusOK, "": http.StatusOK} {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/quote/x", strings.NewReader("oak"))
		r.Header.Set("X-Laburnumlever-Expect-Instance", want)
		s.ServeHTTP(w, r)
		require.Equal(t, status, w.Code, "instance %q", want)
	}
}
