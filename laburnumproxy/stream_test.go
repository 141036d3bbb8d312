package laburnumproxy_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against truncated responses or repeated tokens when an engine dies mid-stream and another can resume.
func TestBrokenStreamIsResumed(t *testing.T) {
	b := newFixture(t, nil)
	var from atomic.Value
	b.engine(true, func(w http.ResponseWriter, r *http.Request) {
		if at := r.Header.Get("X-Resume-From"); at != "" {
			from.Store(at)
			writeTokens(w, 2, 4)
			writeDone(w)
			return
		}
		writeTokens(w, 0, 2)
		panic(http.ErrAbortHandler)
	})
	got := b.stream()
	require.NoError(t, got.err)
	require.Equal(t, "t0 t1 t2 t3 ", joinTexts(got.body))
	require.Equal(t, "2", from.Load())
	require.Equal(t, 1, strings.Count(got.body, "[DONE]"))
}

// Guards against truncated responses or repeated tokens when no engine can resume and another replays the stream.
func TestBrokenStreamIsReplayedOnAnotherEngine(t *testing.T) {
	b := newFixture(t, nil)
	var calls atomic.Int32
	answer := func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			writeTokens(w, 0, 3)
			panic(http.ErrAbortHandler)
		}
		writeTokens(w, 0, 4)
		writeDone(w)
	}
	b.engine(false, answer)
	b.engine(false, answer)
	got := b.stream()
	require.NoError(t, got.err)
	require.Equal(t, "t0 t1 t2 t3 ", joinTexts(got.body))
	require.Contains(t, got.body, "[DONE]")
}

// Guards against joining two different responses when a replay differs from the tokens already forwarded.
func TestMismatchedReplayIsNotJoined(t *testing.T) {
	b := newFixture(t, nil)
	var calls atomic.Int32
	answer := func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			writeTokens(w, 0, 2)
			panic(http.ErrAbortHandler)
		}
		writeTokens(w, 5, 9)
		writeDone(w)
	}
	b.engine(false, answer)
	b.engine(false, answer)
	got := b.stream()
	require.NoError(t, got.err)
	require.Equal(t, "t0 t1 ", joinTexts(got.body))
	require.NotContains(t, got.body, "[DONE]")
	require.Contains(t, got.body, `"type":"broken-stream"`)
}

// Guards against an end marker on a partial response, when every engine ends its stream early without one.
func TestPartialResponseHasNoEndMarker(t *testing.T) {
	b := newFixture(t, nil)
	b.engine(false, func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, 0, 2) })
	got := b.stream()
	require.NoError(t, got.err)
	require.Equal(t, "t0 t1 ", joinTexts(got.body))
	require.NotContains(t, got.body, "[DONE]")
	require.Contains(t, got.body, "event: error\ndata: {\"error\":")
}

// Guards against forwarding the response to another request, left on a connection whose caller had disconnected.
func TestCrossedAnswerIsDropped(t *testing.T) {
	for name, text := range map[string]string{"with a body": `{"text":"another's quote"}`, "without a body": ""} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, nil)
			connections := make(chan string, 10)
			b.engine(false, func(w http.ResponseWriter, r *http.Request) {
				connections <- r.RemoteAddr
				w.Header().Set("X-Attempt-Id", "of-another")
				io.WriteString(w, text)
			})
			got := b.post("/v1/completions", `{"model":"quote"}`)
			got.requireRefusal(t, "crossed-answer", "unknown")
			require.NotContains(t, got.body, "another's")
			close(connections)
			seen := map[string]bool{}
			for c := range connections {
				require.False(t, seen[c], "a connection with a crossed answer was used again")
				seen[c] = true
			}
			require.Greater(t, len(seen), 1)
		})
	}
}

// Guards against an engine that works on, and holds a slot, after its caller has disconnected.
func TestCallerDisconnectCancelsEngineRequest(t *testing.T) {
	b := newFixture(t, nil)
	cancelled := make(chan struct{})
	b.engine(false, func(w http.ResponseWriter, r *http.Request) {
		writeTokens(w, 0, 1)
		<-r.Context().Done()
		close(cancelled)
	})
	resp, err := http.Post(b.server.URL+"/v1/completions", "application/json", strings.NewReader(`{"model":"quote","stream":true}`))
	require.NoError(t, err)
	resp.Body.Close()
	<-cancelled
}
