package laburnumgateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"laburnumlever"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumoutlier"
)

const streamLength = 6

// goOn writes the events that are left of a stream from an event on, and its end.
func goOn(conn net.Conn, from int) {
	for i := from; i <= streamLength; i++ {
		writeChunk(conn, event(i))
	}
	writeLastChunk(conn)
}

func event(i int) string { return fmt.Sprintf("id: %d\ndata: word-%d\n\n", i, i) }

func eventsUpTo(last int) string {
	var text strings.Builder
	for i := 1; i <= last; i++ {
		text.WriteString(event(i))
	}
	return text.String()
}

// garbled are the bytes of a server that spoils a stream after the event LAST.
var garbled = map[string]string{
	"random bytes":                "\x93\x1f\x00\xc8garbage\xff\xfe",
	"random bytes and a new line": "\x93\x1f\xff\n",
	"random bytes as a block":     "\x93\x1f\xff\n\n",
	"random text":                 "kq7:zz garbage\n\n",
	"bytes in a field":            "id: NEXT\ndata: \x93\xff\n\n",
	"no id":                       "data: word\n\n",
	"id that is no number":        "id: xNEXT\ndata: word\n\n",
	"empty id":                    "id:\ndata: word\n\n",
	"signed id":                   "id: +NEXT\ndata: word\n\n",
	"id with zeros":               "id: 00NEXT\ndata: word\n\n",
	"huge id":                     "id: 99999999999999999999999\ndata: word\n\n",
	"two ids":                     "id: NEXT\nid: NEXT\ndata: word\n\n",
	"no data":                     "id: NEXT\n\n",
	"version only":                "x-laburnumlever-weight-versions: 2\n\n",
	"wrong version":               "x-laburnumlever-weight-versions: two\nid: NEXT\ndata: word\n\n",
	"event that was there":        "id: LAST\ndata: word\n\n",
	"event too early":             "id: GAP\ndata: word\n\n",
	"blocks without an event":     strings.Repeat(": beat\n\n", 1000),
}

// newSpoilingHarness has the first request spoiled, by whichever server gets it, and later ones answered as they should be.
func newSpoilingHarness(t *testing.T, spoil func(conn net.Conn, a receivedRequest)) *harness {
	var requests atomic.Int32
	answer := func(conn net.Conn, a receivedRequest, _ int) {
		if requests.Add(1) == 1 {
			spoil(conn, a)
			return
		}
		last := 0
		_, _ = fmt.Sscan(a.request.Header.Get("Last-Event-Id"), &last)
		writeEvents(conn, a, last+1, streamLength)
		writeLastChunk(conn)
	}
	return newHarness(t, newBackend(t, "i-1", answer).heartbeat("quotes", "m0"), newBackend(t, "i-2", answer).heartbeat("quotes", "m0"))
}

// Guards against bytes that belong to no event of the stream, which reached callers, in streams that then ended as complete.
func TestGarbageInAStreamReachesNoCaller(t *testing.T) {
	for name, chunk := range garbled {
		for _, after := range []int{0, 3} {
			for _, ends := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s after %d, ends %t", name, after, ends), func(t *testing.T) {
					t.Parallel()
					spoil := func(conn net.Conn, a receivedRequest) {
						writeEvents(conn, a, 1, after)
						writeChunk(conn, strings.NewReplacer("NEXT", strconv.Itoa(after+1), "LAST", strconv.Itoa(after), "GAP", strconv.Itoa(after+2)).Replace(chunk))
						if ends {
							writeLastChunk(conn)
							return
						}
						goOn(conn, after+1)
					}
					got := newSpoilingHarness(t, spoil).send("POST", "/quote/x", "oak", "X-Laburnumlever-Model", "m0")
					require.NoError(t, got.err)
					require.Equal(t, eventsUpTo(streamLength), got.body)

					once := newSpoilingHarness(t, spoil).send("POST", "/draft/x", "oak", "X-Laburnumlever-Model", "m0")
					if after == 0 {
						require.Equal(t, http.StatusBadGateway, once.status, "nothing was written")
						return
					}
					require.Error(t, once.err)
					require.Equal(t, eventsUpTo(after), once.body)
				})
			}
		}
	}
}

// Guards against a stream without events that is taken for a complete one, and one that was over for a broken one.
func TestStreamWithoutEventsIsBrokenUnlessItGoesOn(t *testing.T) {
	spoil := func(conn net.Conn, a receivedRequest) {
		writeEvents(conn, a, 1, 0)
		writeLastChunk(conn)
	}
	model := []string{"X-Laburnumlever-Model", "m0"}
	b := newSpoilingHarness(t, spoil)
	got := b.send("POST", "/quote/x", "oak", model...)
	require.NoError(t, got.err)
	require.Equal(t, eventsUpTo(streamLength), got.body)
	require.Equal(t, http.StatusBadGateway, newSpoilingHarness(t, spoil).send("POST", "/draft/x", "oak", model...).status)
	over := b.send("POST", "/quote/x", "oak", append(model, "Last-Event-Id", "6", "X-Laburnumlever-Resumes", "r-1", idHeader, "r-2")...)
	require.NoError(t, over.err)
	require.Equal(t, http.StatusOK, over.status)
	require.Empty(t, over.body)
}

// Guards against the head of a server that sent garbage only on the answer of another one.
func TestHeadIsThatOfTheServerOfTheFirstEvent(t *testing.T) {
	b := newSpoilingHarness(t, func(conn net.Conn, a receivedRequest) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: spoiled\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			idHeader, a.request.Header.Get(idHeader), stampHeader)
		writeChunk(conn, "garbage\n\n")
		writeLastChunk(conn)
	})
	require.Equal(t, "s1", b.send("POST", "/quote/x", "oak", "X-Laburnumlever-Model", "m0").header.Get(stampHeader))
}

// Guards against lines of the event-stream format, and the platform's own, that are taken for garbage.
func TestLinesOfTheFormatAreNoGarbage(t *testing.T) {
	lines := "x-laburnumlever-weight-versions: 2\nid: 1\nevent: word\ndata: tab\tand Ünïcode\ndata\n\n" + "id:2\r\ndata:\r\n: beat\r\nretry: 10\r\n\r\n"
	b := newSpoilingHarness(t, func(conn net.Conn, a receivedRequest) {
		writeEvents(conn, a, 1, 0)
		writeChunk(conn, ": beat\n\n")
		writeChunk(conn, lines)
		writeChunk(conn, "\nretry: 1\n\n")
		writeLastChunk(conn)
	})
	got := b.send("POST", "/draft/x", "oak", "X-Laburnumlever-Model", "m0")
	require.NoError(t, got.err)
	require.Equal(t, lines, got.body)
}

// Guards against a stream that is joined to one which no server of the platform began.
func TestLastEventThatIsNoNumberIsRefused(t *testing.T) {
	b := newSpoilingHarness(t, func(conn net.Conn, a receivedRequest) { answerOK(conn, a, 1) })
	for _, id := range []string{"x", "-1", "007", "1e3", "9999999999999999999"} {
		got := b.send("POST", "/quote/x", "oak", "X-Laburnumlever-Model", "m0", "Last-Event-Id", id)
		require.Equal(t, http.StatusBadRequest, got.status, id)
	}
}

// Guards against events with and without numbers in one answer on a route that is no stream, whose servers number as they like.
func TestEventsOfOtherRoutesAreNumberedThroughoutOrNot(t *testing.T) {
	tests := map[string]struct {
		text  string
		whole bool
	}{
		"unnumbered":      {"data: one\n\ndata: two\n\n", true},
		"numbered":        {eventsUpTo(2), true},
		"numbers begin":   {"data: one\n\n" + event(1), false},
		"numbers end":     {event(1) + "data: two\n\n", false},
		"garbage":         {"data: one\n\n\x93\xff\n\n", false},
		"number left out": {event(1) + event(3), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
				writeAnswer(conn, a, http.StatusOK, tt.text, "Content-Type: text/event-stream")
			})
			got := newHarness(t, server.heartbeat("booking")).send("POST", "/confirm/x", "visit")
			if !tt.whole {
				require.Error(t, got.err)
				require.True(t, strings.HasPrefix(tt.text, got.body))
				return
			}
			require.NoError(t, got.err)
			require.Equal(t, tt.text, got.body)
		})
	}
}

// Guards against servers that send garbage and lose no work by it, whose neighbours lose some, or whom nobody finds in logs and metrics.
func TestServersThatSendGarbageAreDetected(t *testing.T) {
	for kind, garbage := range map[string]string{"invalid-event": "5\r\n\x93\xff\n\n\n\r\n", "not-http": "\x93\xff\r\n", "cut-event": "4\r\n\x93\xff\xfe\xff\r\n0\r\n\r\n"} {
		t.Run(kind, func(t *testing.T) {
			spoils := func(conn net.Conn, a receivedRequest, n int) {
				writeEvents(conn, a, 1, 2)
				if n%3 == 1 {
					fmt.Fprint(conn, garbage)
				}
				goOn(conn, 3)
			}
			whole := func(conn net.Conn, a receivedRequest, _ int) {
				writeEvents(conn, a, 1, 2)
				goOn(conn, 3)
			}
			logged, scope := &bytes.Buffer{}, tally.NewTestScope("", nil)
			b := newUnconfiguredHarness(t, laburnumgateway.WithScope(scope), laburnumgateway.WithLogger(log.NewLogfmtLogger(log.NewSyncWriter(logged))))
			b.fleet.HandleRoutes(testRoutes())
			spoiling, sound := newBackend(t, "i-1", spoils), newBackend(t, "i-2", whole)
			b.announce(spoiling.heartbeat("quotes", "m0"), sound.heartbeat("quotes", "m0"))
			for range 30 {
				_ = b.send("POST", "/draft/x", "oak", "X-Laburnumlever-Model", "m0")
			}
			require.Less(t, len(spoiling.requests()), len(sound.requests()))
			detector, outcomes := laburnumoutlier.New(), b.fleet.GatewayReport().Outcomes
			_ = detector.Add(outcomes, time.Now())
			require.Equal(t, []laburnumlever.BackendID{"i-1"}, detector.Add(outcomes, time.Now()), "two gateways report it")
			b.server.Close()
			require.Contains(t, logged.String(), "event=garbage-received request-id=r-1 backend=i-1 service=quotes")
			require.NotContains(t, logged.String(), "event=garbage-received request-id=r-1 backend=i-2")
			require.Contains(t, logged.String(), "kind="+kind+" events=2")
			require.Positive(t, scope.Snapshot().Counters()["garbage_received+kind="+kind].Value())
			require.NotContains(t, logged.String(), "crash", "the server runs")
		})
	}
}

// Guards against a cut stream that callers take for a whole one, since an orderly close ends all answers of HTTP/1.0.
func TestCutStreamIsResetForCallersOfHTTP10(t *testing.T) {
	b := newSpoilingHarness(t, func(conn net.Conn, a receivedRequest) {
		writeEvents(conn, a, 1, 3)
		writeChunk(conn, "\x93\xff\n\n")
		goOn(conn, 4)
	})
	conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /draft/x HTTP/1.0\r\nHost: quotes.example\r\n%s: r-1\r\nX-Laburnumlever-Model: m0\r\n\r\n", idHeader)
	require.NoError(t, err)
	_, err = io.ReadAll(conn)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against a stream that its server ended too early, with garbage behind the end, and against cutting one that was over.
func TestEndWithBytesBehindItIsDoubted(t *testing.T) {
	for _, tt := range []struct {
		name       string
		last       int
		path, want string
	}{
		{"too early", 3, "/quote/x", eventsUpTo(streamLength)},
		{"over", streamLength, "/quote/x", eventsUpTo(streamLength)},
		{"can't go on", 3, "/draft/x", eventsUpTo(3)},
	} {
		for _, behind := range []string{"\x93\xff", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"} {
			t.Run(tt.name, func(t *testing.T) {
				b := newSpoilingHarness(t, func(conn net.Conn, _ receivedRequest) {
					var text bytes.Buffer
					fmt.Fprintf(&text, "HTTP/1.1 200 OK\r\n%s: r-1\r\n%s: s1\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s%s",
						idHeader, stampHeader, len(eventsUpTo(tt.last)), eventsUpTo(tt.last), behind)
					_, _ = conn.Write(text.Bytes())
				})
				got := b.send("POST", tt.path, "oak", "X-Laburnumlever-Model", "m0")
				require.NoError(t, got.err)
				require.Equal(t, tt.want, got.body)
			})
		}
	}
}

// Guards against a stream that ends as complete too early since the server that took it up sent garbage or failed.
func TestStreamWithADoubtedEndIsCutUnlessAnotherServerEndsItThere(t *testing.T) {
	for name, tt := range map[string]struct {
		takeUp func(conn net.Conn, a receivedRequest)
		whole  bool
	}{
		"fails":            {func(conn net.Conn, a receivedRequest) { writeAnswer(conn, a, http.StatusInternalServerError, "error") }, false},
		"garbage":          {func(conn net.Conn, a receivedRequest) { writeEvents(conn, a, 1, 0); writeChunk(conn, "\x93\xff\n\n") }, false},
		"event without id": {func(conn net.Conn, a receivedRequest) { writeEvents(conn, a, 1, 0); writeChunk(conn, "data: x\n\n") }, false},
		"ends it":          {func(conn net.Conn, a receivedRequest) { writeEvents(conn, a, 1, 0); writeLastChunk(conn) }, true},
		"ends it, doubtful": {func(conn net.Conn, a receivedRequest) {
			writeEvents(conn, a, 1, 0)
			_, _ = conn.Write([]byte("0\r\n\r\ngarbage"))
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			answer := func(conn net.Conn, a receivedRequest, _ int) {
				if a.request.Header.Get("Last-Event-Id") != "" {
					tt.takeUp(conn, a)
					return
				}
				text := eventsUpTo(3)
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: r-1\r\n%s: s1\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%sgarbage",
					idHeader, stampHeader, len(text), text)
			}
			b := newHarness(t, newBackend(t, "i-1", answer).heartbeat("quotes", "m0"), newBackend(t, "i-2", answer).heartbeat("quotes", "m0"))
			got := b.send("POST", "/quote/x", "oak", "X-Laburnumlever-Model", "m0")
			require.Equal(t, tt.whole, got.err == nil, "%v", got.err)
			require.Equal(t, eventsUpTo(3), got.body)
		})
	}
}

// Guards against a body that is not the server's, which callers got as a success.
func TestSuccessWithoutAStampOrWithAnEncodingIsNotForwarded(t *testing.T) {
	for name, headers := range map[string]string{
		"no stamp": "Content-Length: 2\r\n\r\nok",
		"encoded":  stampHeader + ": s1\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
		"stream":   "Content-Type: text/event-stream\r\nContent-Length: 19\r\n\r\nid: 1\ndata: foreign\n",
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			answer := func(conn net.Conn, a receivedRequest, n int) {
				if requests.Add(1) == 1 {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: r-1\r\n%s", idHeader, headers)
					return
				}
				answerOK(conn, a, n)
			}
			b := newHarness(t, newBackend(t, "i-1", answer).heartbeat("booking"), newBackend(t, "i-2", answer).heartbeat("booking"))
			got := b.send("GET", "/lookup/x", "", "Accept-Encoding", "identity")
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			require.NotEmpty(t, got.header.Get(stampHeader))
			require.Empty(t, got.header.Get("Content-Encoding"))
			requests.Store(0)
			require.Equal(t, http.StatusBadGateway, b.send("POST", "/confirm/x", "visit", "Accept-Encoding", "identity").status)
		})
	}
}
