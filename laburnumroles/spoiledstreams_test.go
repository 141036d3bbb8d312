package laburnumroles_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumstandin"
)

const (
	// spoilingServers beside soundServers of a service spoil spoilShare of their answers, so that one request in 144 has both of its
	// attempts spoiled. Of those that may be repeated, minSpoiledWhole must be whole.
	soundServers, spoilingServers = 6, 2
	spoilShare                    = 1.0 / 3
	minSpoiledWhole               = 0.95
	spoilRequests, spoilCallers   = 240, 40
)

// spoilManifest has a route for each kind of request; those that may be repeated have two attempts.
func spoilManifest() []byte {
	var routes []string
	for _, r := range []struct{ name, kind, service, more string }{
		{"quote", "streaming", "devis", `"max_attempts":2,"resumable":true`},
		{"letter", "streaming", "devis", `"max_attempts":2`},
		{"look", "idempotent", "rdv", `"max_attempts":2`},
		{"confirm", "non_idempotent", "rdv", `"max_attempts":1`},
	} {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"hostname":"quotes.example","path_prefix":"/%[1]s/","kind":%q,"timeout_ms":9000,"target_latency_ms":300,"priority":1,"service":%q,%s}`,
			r.name, r.kind, r.service, r.more))
	}
	text := string(manifest(7, "confirm"))
	return []byte(text[:strings.Index(text, `{"name"`)] + strings.Join(routes, ",") + text[strings.Index(text, "],\n\t\t\"services\""):])
}

// spoilingFleet is a deployment of servers of which some spoil their answers.
type spoilingFleet struct {
	*deployment
	spoiled, sent atomic.Int64
}

func newSpoilingFleet(t *testing.T) *spoilingFleet {
	f := &spoilingFleet{deployment: newDeployment(t, 3, 1)}
	for i := range soundServers {
		f.start(fmt.Sprint("i-engine-", i), true)
		f.start(fmt.Sprint("i-plain-", i), false)
	}
	f.until(200, "first manifest", func() (int, []byte) {
		return f.call("PUT", "http://"+f.control(0)+"/v1/config", spoilManifest())
	})
	return f
}

// start starts a server and returns what ends it.
func (f *spoilingFleet) start(id string, engine bool) (server *laburnumstandin.PlatformServer, end func()) {
	var controls, models []string
	for i := range f.controls {
		controls = append(controls, f.control(i))
	}
	service := "rdv"
	if engine {
		service, models = "devis", []string{"m0"}
	}
	ln := (&linkedServers{t: f.t}).listen(f.deployment)
	server = laburnumstandin.NewPlatformServer(id, service, ln.Addr().String(), controls, models, laburnumstandin.PlatformBehaviour{
		EventPause: 10 * time.Millisecond, OnSpoil: func(string, laburnumstandin.Spoil) { f.spoiled.Add(1) },
	})
	h := &http.Server{Handler: server, ReadHeaderTimeout: time.Second}
	go func() { _ = h.Serve(ln) }()
	server.Start(200 * time.Millisecond)
	f.t.Cleanup(func() { _ = h.Close(); server.Close() })
	return server, func() { server.Leave(); _ = h.Close(); server.Close() }
}

// spoilAnswer is what a caller read from its connection.
type spoilAnswer struct {
	route, proto, id string
	status           int
	header           http.Header
	body             string
	// whole is set if the answer ended as complete, trailing if bytes followed it.
	whole, trailing bool
}

// send sends a request on a connection of its own and reads that to its end.
func (f *spoilingFleet) send(route, proto string) spoilAnswer {
	a := spoilAnswer{route: route, proto: proto, id: fmt.Sprint("oak-", f.sent.Add(1))}
	conn, err := net.Dial("tcp", f.callers)
	if err != nil {
		return a // an overloaded gateway resets new connections
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second)) // fails on a closed connection only
	model := ""
	if !a.plain() {
		model = "X-Laburnumlever-Model: m0\r\n"
	}
	fmt.Fprintf(conn, "POST /%s/x HTTP/%s\r\nHost: quotes.example\r\nConnection: close\r\nX-Laburnumlever-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%[3]s",
		route, proto, a.id, model, len(a.id))
	raw, ended := io.ReadAll(conn)
	reader := bufio.NewReader(bytes.NewReader(raw))
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a.status, a.header, a.body, a.whole = resp.StatusCode, resp.Header, string(body), err == nil && ended == nil
	a.trailing = reader.Buffered() > 0
	return a
}

// plain reports whether the answer is no stream.
func (a spoilAnswer) plain() bool { return a.route == "look" || a.route == "confirm" }

// legalParts removes what the event-stream format allows beside events.
var legalParts = strings.NewReplacer(": still here\n\n", "", "retry: 1000\n\n", "", ": note\n", "")

// verdict says what is wrong with an answer: it holds what no run made, or ends as complete before it is; a broken one does neither.
func (a spoilAnswer) verdict() string {
	want := ""
	for i := 1; i <= laburnumstandin.PlatformEvents(); i++ {
		want += fmt.Sprintf("id: %d\ndata: m0 word %d\n\n", i, i)
	}
	got := legalParts.Replace(a.body)
	if a.plain() {
		got, want = a.body, fmt.Sprintf(" ran POST /%s/x: %s\n", a.route, a.id)
		if i := strings.Index(got, " ran "); i > 0 && a.header.Get("X-Laburnumlever-Server-Stamp") == "stamp-of-"+got[:i] {
			got = got[i:]
		}
	}
	switch {
	case a.status != http.StatusOK:
		return "broken"
	case a.trailing || a.header.Get("Content-Encoding") != "" || a.header.Get("X-Laburnumlever-Request-Id") != a.id:
		return "garbage"
	case a.whole && got == want:
		return "whole"
	case a.plain() && !a.whole:
		return "broken"
	case !strings.HasPrefix(want, got):
		return "garbage"
	case a.whole:
		return "early"
	default:
		return "broken"
	}
}

// play has callers send requests while servers spoil their answers, and counts what they got by verdict, route and protocol.
func (f *spoilingFleet) play(kind laburnumstandin.Spoil, protos ...string) map[string]int {
	routes := []string{"quote", "letter"}
	if !kind.Streams() {
		routes = []string{"look", "confirm"}
	}
	var servers []*laburnumstandin.PlatformServer
	for i := range spoilingServers {
		server, end := f.start(fmt.Sprintf("i-%s-%d", kind, i), kind.Streams())
		defer end()
		f.until(1, "the server is used", func() (int, []byte) { f.send(routes[0], "1.1"); return min(1, int(server.Runs())), nil })
		servers = append(servers, server)
	}
	for i, s := range servers {
		s.SetSpoiling(laburnumstandin.Spoiling{Seed: uint64(i), Share: spoilShare, Kinds: []laburnumstandin.Spoil{kind}})
	}
	f.spoiled.Store(0)
	counts, queue := map[string]int{}, make(chan int)
	var mu sync.Mutex
	var all sync.WaitGroup
	for range spoilCallers {
		all.Go(func() {
			for n := range queue {
				a := f.send(routes[n%len(routes)], protos[n/len(routes)%len(protos)])
				mu.Lock()
				counts[a.verdict()]++
				counts[a.verdict()+" "+a.route]++
				counts[a.verdict()+" HTTP/"+a.proto]++
				mu.Unlock()
			}
		})
	}
	for n := range spoilRequests {
		queue <- n
	}
	close(queue)
	all.Wait()
	return counts
}

// Guards against callers that get as a part of an answer, or as its end, what a faulty server sent and no run made.
func TestSpoiledAnswersReachNoCaller(t *testing.T) {
	f := newSpoilingFleet(t)
	for _, kind := range laburnumstandin.SpoilValues() {
		t.Run(kind.String(), func(t *testing.T) {
			counts := f.play(kind, "1.0", "1.1")
			t.Logf("%d spoiled: %v", f.spoiled.Load(), counts)
			require.NotZero(t, f.spoiled.Load())
			require.Zero(t, counts["garbage"], "answers with what no run made")
			require.Zero(t, counts["early"], "answers that ended as complete too early")
			if kind.Legal() {
				require.Equal(t, spoilRequests, counts["whole"])
			}
			require.GreaterOrEqual(t, counts["whole quote"]+counts["whole look"], int(minSpoiledWhole*spoilRequests/2), "whole ones of the requests that may be repeated")
		})
	}
}

// Guards against a broken stream that looks whole to a caller of HTTP/1.0, for which the end of the connection is that of the answer.
func TestBrokenStreamIsNoWholeOneForACallerOfHTTP10(t *testing.T) {
	f := newSpoilingFleet(t)
	for _, kind := range []laburnumstandin.Spoil{laburnumstandin.SpoilRawThenClose, laburnumstandin.SpoilTwice, laburnumstandin.SpoilSkippedID} {
		counts := f.play(kind, "1.0")
		require.Zero(t, counts["early"]+counts["garbage"], "%s: %v", kind, counts)
	}
}
