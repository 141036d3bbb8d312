package laburnumproxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"laburnumlever/laburnumproxy"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
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

// Guards against forwarding as a part of a stream what a faulty engine sent and no event of it is.
func TestWhatIsNoEventIsNotForwarded(t *testing.T) {
	const data = `data: {"choices":[{"text":"x "}]}` + "\n"
	for name, garbage := range map[string]string{
		"random bytes": "\x80\x02\xff\n\x07:\n\n", "glued before an event": "\x80\x02\n" + data + "\n", "glued behind the data": data + "\xfe\n\n",
		"data of two events": data + data + "\n", "no object": "data: null\n\n", "no JSON": "data: {\n\n", "another field": "date: 1\n\n", "two ends at once": "data: [DONE]\ndata: [DONE]\n\n",
	} {
		for _, tokens := range []int{0, 2} {
			t.Run(fmt.Sprint(name, " after ", tokens), func(t *testing.T) {
				scope := tally.NewTestScope("", nil)
				b := newFixture(t, nil, laburnumproxy.WithScope(scope))
				var calls atomic.Int32
				answer := func(w http.ResponseWriter, _ *http.Request) {
					if calls.Add(1) == 1 {
						writeTokens(w, 0, tokens)
						io.WriteString(w, garbage)
						writeTokens(w, tokens, 4)
					} else {
						writeTokens(w, 0, 4)
					}
					writeDone(w)
				}
				b.engine(false, answer)
				b.engine(false, answer)
				sound := httptest.NewRecorder()
				writeTokens(sound, 0, 4)
				writeDone(sound)
				got := b.stream()
				require.NoError(t, got.err)
				require.Equal(t, sound.Body.String(), got.body)
				require.Contains(t, scope.Snapshot().Counters(), "streams-garbled+")
				require.EqualValues(t, 1, scope.Snapshot().Counters()["streams-garbled+"].Value())
			})
		}
	}
}

// Guards against taking for garbage what the event-stream format allows beside and in events, and against events joined to others.
func TestWhatTheFormatAllowsIsForwarded(t *testing.T) {
	b := newFixture(t, nil)
	const text = ": still here\n\n" + "retry: 1000\n\n" + "\n: note\r\nid: 1\r\nevent: token\r\ndata: {\"choices\":\r\ndata:  [{\"text\":\"t0 \"}]}\r\n\r\n" +
		"data: {\"choices\":[{\"text\":\"t1 \"}]}\n\r\n" + "data: {\"choices\":[],\"usage\":{}}\n\ndata: [DONE]\n\n"
	var calls atomic.Int32
	b.engine(false, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		writeTokens(w, 0, 0)
		io.WriteString(w, text)
	})
	got := b.stream()
	require.NoError(t, got.err)
	require.Equal(t, text, got.body)
	require.EqualValues(t, 1, calls.Load())
}

// Guards against an end marker without anything before it, which callers take for a complete response.
func TestEndOfAnEmptyStreamIsNotForwarded(t *testing.T) {
	b := newFixture(t, nil)
	var calls atomic.Int32
	answer := func(w http.ResponseWriter, _ *http.Request) {
		writeTokens(w, 0, 0)
		if calls.Add(1) > 1 {
			writeTokens(w, 0, 4)
		}
		writeDone(w)
	}
	b.engine(false, answer)
	b.engine(false, answer)
	require.Equal(t, "t0 t1 t2 t3 ", joinTexts(b.stream().body))
	require.EqualValues(t, 2, calls.Load())
}

// Guards against a whole end of an event stream of a service that broke off, where only the end of the connection delimits it.
func TestUnframedEventStreamIsNotForwarded(t *testing.T) {
	b := newFixture(t, nil)
	b.service(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		require.NoError(t, err)
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\n\r\ndata: 1\n\nda", r.Header.Get("X-Attempt-Id"))
	})
	b.post("/services/booking/slots", "").requireRefusal(t, "broken-stream", "unknown")
}

// Guards against a broken answer that looks whole to a caller of HTTP/1.0, for which the end of the connection is that of the answer.
func TestBrokenAnswerIsNoWholeOneForACallerOfHTTP10(t *testing.T) {
	b := newFixture(t, nil)
	b.service(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, "data: 1\n\n")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	server := httptest.NewUnstartedServer(b.proxy)
	server.Config = b.proxy.Server()
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	fmt.Fprint(conn, "GET /services/booking/slots HTTP/1.0\r\nHost: h\r\n\r\n")
	_, err = io.ReadAll(conn)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
