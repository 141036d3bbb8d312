package laburnumstandin_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

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

// Guards against a model engine that runs requests for models it does not hold, or that answers as a plain server without any.
func TestPlatformServerRejectsRequestsForModelsItDoesNotHold(t *testing.T) {
	s := laburnumstandin.NewPlatformServer("i-1", "quotes", "127.0.0.1:1", nil, []string{"m0"}, laburnumstandin.PlatformBehaviour{})
	t.Cleanup(s.Close)
	post := func(path, model, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
		r.Header.Set("X-Laburnumlever-Model", model)
		s.ServeHTTP(w, r)
		return w
	}
	order := func(text string) { require.Equal(t, http.StatusAccepted, post("/v1/order", "", text).Code) }
	status := func(model string) int { return post("/quote/x", model, "oak").Code }
	require.Equal(t, "text/event-stream", post("/quote/x", "m0", "oak").Header().Get("Content-Type"))
	require.Equal(t, http.StatusMisdirectedRequest, status("m0/a1"))
	require.Equal(t, http.StatusMisdirectedRequest, status("m1"))
	order(`{"op":"load","model":"m0","adapter":"a1","expect":0}`)
	require.Equal(t, http.StatusOK, status("m0/a1"))
	order(`{"op":"unload","model":"m0","expect":1}`)
	require.Equal(t, http.StatusMisdirectedRequest, status("m0"))
	require.Equal(t, int64(2), s.Runs())
	order(`{"op":"load","model":"m0","expect":2}`)
	require.Equal(t, "text/event-stream", post("/quote/x", "m0", "oak").Header().Get("Content-Type"))
}

// Guards against a check for cut answers that never fails, and against one that reports answers that were received whole.
func TestPlatformServerReportsCutAnswers(t *testing.T) {
	for name, models := range map[string][]string{"a stream": {"m0"}, "a plain answer": nil} {
		t.Run(name, func(t *testing.T) {
			cut := make(chan string, 2)
			s := laburnumstandin.NewPlatformServer("i-1", "essays", "127.0.0.1:1", nil, models, laburnumstandin.PlatformBehaviour{
				EventPause: 50 * time.Millisecond, OnCut: func(id string) { cut <- id },
			})
			t.Cleanup(s.Close)
			server := httptest.NewServer(s)
			t.Cleanup(server.Close)
			get := func(id string) *http.Response {
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/essay/x", strings.NewReader("oak"))
				require.NoError(t, err)
				r.Header.Set("X-Laburnumlever-Request-Id", id)
				resp, err := server.Client().Do(r)
				require.NoError(t, err)
				return resp
			}
			whole := get("whole")
			_, err := io.Copy(io.Discard, whole.Body)
			require.NoError(t, err)
			require.NoError(t, whole.Body.Close())
			require.NoError(t, get("left").Body.Close())
			require.Equal(t, "left", <-cut)
			require.Empty(t, cut)
		})
	}
}

// Guards against a series of manifests in which no route comes, goes or moves.
func TestRoutesOfTheSeriesChange(t *testing.T) {
	var documents []string
	control := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // checked below
		documents = append(documents, string(body))
	}))
	t.Cleanup(control.Close)
	caller := laburnumstandin.NewPlatformCaller()
	for version := 1; version <= 3; version++ {
		_, err := caller.Apply(t.Context(), strings.TrimPrefix(control.URL, "http://"), version)
		require.NoError(t, err)
	}
	require.Contains(t, documents[1], `"/coming/"`)
	require.NotContains(t, documents[2], `"/coming/"`)
	require.Regexp(t, `"/moving/"[^}]*"service":"forms"`, documents[0])
	require.Regexp(t, `"/moving/"[^}]*"service":"desk"`, documents[1])
}

// Guards against a soak whose gateways never see the pace of a shared machine, or always the same one.
func TestPlatformServerTellsAPaceThatChanges(t *testing.T) {
	s := laburnumstandin.NewPlatformServer("i-1", "quotes", "127.0.0.1:1", nil, []string{"m0"}, laburnumstandin.PlatformBehaviour{MaxPace: 250})
	t.Cleanup(s.Close)
	seen := map[string]bool{}
	require.Eventually(t, func() bool {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/health", nil))
		text := w.Header().Get("X-Laburnumlever-Server-Load")
		require.Regexp(t, `^0,0,8,(1\d\d|2[0-4]\d|250)$`, text)
		seen[text] = true
		return len(seen) > 2
	}, 10*time.Second, 50*time.Millisecond)
}
