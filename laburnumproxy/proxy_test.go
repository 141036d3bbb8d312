package laburnumproxy_test

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumproxy"
	"laburnumlever/laburnumstandin"
	"laburnumlever/laburnumtimer"

	"github.com/stretchr/testify/require"
)

func TestStreamIsForwardedUnbuffered(t *testing.T) {
	b := newFixture(t, nil)
	resume := make(chan struct{})
	b.engine(false, func(w http.ResponseWriter, _ *http.Request) {
		writeTokens(w, 0, 1)
		<-resume
		writeTokens(w, 1, 4)
		writeDone(w)
	})
	resp, err := http.Post(b.server.URL+"/v1/completions", "application/json", strings.NewReader(`{"model":"quote","stream":true}`))
	require.NoError(t, err)
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	first, err := reader.ReadString('\n') // arrives while the engine is still generating
	require.NoError(t, err)
	close(resume)
	rest, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.Equal(t, "t0 t1 t2 t3 ", joinTexts(first+string(rest)))
	require.True(t, strings.HasSuffix(string(rest), "data: [DONE]\n\n"))
	explanation, ok := b.proxy.Explain(resp.Header.Get("X-Request-Id"))
	require.True(t, ok)
	require.NotEmpty(t, explanation.Lines)
}

func TestRefusalsAreTyped(t *testing.T) {
	b := newFixture(t, nil)
	b.post("/v1/completions", `{"model":"quote"}`).requireRefusal(t, "no-backend", "not-run")
	b.post("/v1/completions", `{"model":"other"}`).requireRefusal(t, "unknown-model", "not-run")
	b.post("/v1/completions", `{"model`).requireRefusal(t, "bad-request", "not-run")
	b.post("/services/nothing/x", "").requireRefusal(t, "unknown-service", "not-run")
	b.post("/nowhere", "").requireRefusal(t, "bad-request", "not-run")
	b.post("/services/booking/a/%2e%2e/visits", "").requireRefusal(t, "bad-request", "not-run")
	b.post("/v1/completions", strings.Repeat("x", 17<<20)).requireRefusal(t, "too-large", "not-run")
}

func TestModelsHealthAndServices(t *testing.T) {
	b := newFixture(t, nil)
	b.service(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.WriteHeader(http.StatusTeapot)
		io.WriteString(w, r.URL.RequestURI()+" "+string(body))
	})
	got := b.post("/services/booking/slots/a%20b?day=2", "tomorrow")
	require.Equal(t, http.StatusTeapot, got.status)
	require.Equal(t, "/slots/a%20b?day=2 tomorrow", got.body)
	for path, want := range map[string]string{"/healthz": "ok", "/readyz": "ready", "/v1/models": `"id":"quote"`} {
		resp, err := http.Get(b.server.URL + path)
		require.NoError(t, err)
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		require.Contains(t, string(text), want)
	}
}

// slowTimers advances the clock by a millisecond on each reading, as on a VM where building
// an index is slow.
type slowTimers struct{ *laburnumtimer.Manual }

func (t slowTimers) Now() time.Time {
	t.Advance(time.Millisecond)
	return t.Manual.Now()
}

// Guards against refusing a request right after a model load, before the index is due for a rebuild.
func TestRequestAfterModelLoadRefreshesIndex(t *testing.T) {
	b := newFixture(t, nil)
	proxy := laburnumproxy.New(b.views, slowTimers{b.timers}, b.log)
	t.Cleanup(func() { require.NoError(t, proxy.Close()) })
	b.engine(false, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "{}") })
	w := httptest.NewRecorder()
	proxy.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"quote"}`)))
	require.Equal(t, http.StatusOK, w.Code, w.Body.String())
}

// Guards against hashing prompts differently from the engines, so that requests miss the engine with the cached prefix.
func TestPromptIsRoutedToCachedPrefix(t *testing.T) {
	system := strings.Repeat("You estimate \"carpets\". ", 30)
	hashes := laburnumstandin.PrefixHashes(laburnumstandin.JoinMessages([]string{system, "hall"}))
	body := `{"model":"quote","messages":[{"role":"system","content":` + strconv.Quote(system) + `},{"role":"user","content":"hall"}]}`
	for seed := range uint64(8) {
		b := newFixture(t, nil, laburnumproxy.WithSeed(seed))
		var cached atomic.Bool
		b.engine(false, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "{}") })
		b.engine(false, func(w http.ResponseWriter, _ *http.Request) { cached.Store(true); io.WriteString(w, "{}") })
		view := *b.views.View()
		view.Backends = append([]laburnumlever.Backend{}, view.Backends...)
		view.Backends[1].Report.Sequence = 1
		view.Backends[1].Report.Prefixes = hashes
		b.views.view.Store(&view)
		require.Equal(t, http.StatusOK, b.post("/v1/chat/completions", body).status)
		require.True(t, cached.Load())
	}
}
