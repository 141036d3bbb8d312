package laburnumproxy_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumproxy"
	"laburnumlever/laburnumtimer"

	"github.com/stretchr/testify/require"
)

// fakeViews returns a view that a test can replace.
type fakeViews struct {
	view atomic.Pointer[laburnumlever.View]
}

func (v *fakeViews) View() *laburnumlever.View { return v.view.Load() }

// fakeLog is the replicated state of a deployment: proxies that share one are VMs of the same
// deployment.
type fakeLog struct {
	mu        sync.Mutex
	err       error
	claims    map[string]*fakeClaim
	claimedBy laburnumlever.VMID // if set, this VM claims each key just before the caller does
	// delayed holds commands that a network partition delays: their proposers get no result.
	delay   bool
	delayed []laburnumlever.Command
	// releases counts the records that free a claim.
	releases atomic.Int32
}

type fakeClaim struct {
	id     string
	digest uint64
	holder laburnumlever.VMID
	record *laburnumlever.RecordAnswer
}

func (l *fakeLog) Propose(_ context.Context, cmd laburnumlever.Command) (laburnumlever.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cmd.Answer != nil && cmd.Answer.Outcome == laburnumlever.OutcomeNotRun {
		l.releases.Add(1)
	}
	if l.delay {
		l.delayed = append(l.delayed, cmd)
		return laburnumlever.Result{}, &laburnumlever.OutcomeUnknownError{Detail: "no answer"}
	}
	return l.apply(cmd)
}

// deliver applies the delayed commands in reverse order, the worst case.
func (l *fakeLog) deliver() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = false
	for _, cmd := range slices.Backward(l.delayed) {
		_, _ = l.apply(cmd)
	}
	l.delayed = nil
}

// delayedClaim returns the first claim that is delayed.
func (l *fakeLog) delayedClaim(t *testing.T) laburnumlever.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.delayed, func(cmd laburnumlever.Command) bool { return cmd.Claim != nil })
	require.NotEqual(t, -1, i)
	return l.delayed[i]
}

func (l *fakeLog) openClaims() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.claims)
}

func (l *fakeLog) apply(cmd laburnumlever.Command) (laburnumlever.Result, error) {
	if l.err != nil {
		return laburnumlever.Result{}, l.err
	}
	return l.result(cmd).Check(cmd.Kind)
}

func (l *fakeLog) result(cmd laburnumlever.Command) laburnumlever.Result {
	if cmd.Kind == laburnumlever.CommandRecordAnswer {
		c := l.claims[cmd.Answer.Key]
		if c == nil {
			return laburnumlever.Result{Code: laburnumlever.ResultUnknown}
		}
		if c.id != cmd.Answer.Claim {
			return laburnumlever.Result{Code: laburnumlever.ResultNotHolder}
		}
		if cmd.Answer.Outcome == laburnumlever.OutcomeNotRun {
			delete(l.claims, cmd.Answer.Key)
			return laburnumlever.Result{}
		}
		l.claims[cmd.Answer.Key].record = cmd.Answer
		return laburnumlever.Result{}
	}
	if l.claimedBy != "" {
		l.claims[cmd.Claim.Key] = &fakeClaim{digest: cmd.Claim.Digest, holder: l.claimedBy}
	}
	c := l.claims[cmd.Claim.Key]
	switch {
	case c == nil:
		l.claims[cmd.Claim.Key] = &fakeClaim{id: cmd.Claim.Claim, digest: cmd.Claim.Digest, holder: cmd.Claim.VM}
		return laburnumlever.Result{Code: laburnumlever.ResultOK}
	case c.digest != cmd.Claim.Digest:
		return laburnumlever.Result{Code: laburnumlever.ResultMismatch}
	case c.record == nil:
		return laburnumlever.Result{Code: laburnumlever.ResultClaimed, Holder: c.holder}
	default:
		return laburnumlever.Result{Code: laburnumlever.ResultAnswered, Outcome: c.record.Outcome, Answer: c.record.Answer}
	}
}

// fixture is one proxy in front of fake backend servers.
type fixture struct {
	t      *testing.T
	views  *fakeViews
	log    *fakeLog
	timers *laburnumtimer.Manual
	proxy  *laburnumproxy.Proxy
	server *httptest.Server
}

func newFixture(t *testing.T, log *fakeLog, opts ...laburnumproxy.Option) *fixture {
	t.Helper()
	if log == nil {
		log = &fakeLog{claims: map[string]*fakeClaim{}}
	}
	b := &fixture{t: t, views: &fakeViews{}, log: log, timers: laburnumtimer.NewManual(time.Now())}
	b.views.view.Store(&laburnumlever.View{
		Self: laburnumlever.VM{ID: "vm-1", Zone: "brest"},
		VMs:  []laburnumlever.VM{{ID: "vm-1"}, {ID: "vm-2", State: laburnumlever.VMDown}},
		Catalogue: laburnumlever.Catalogue{
			Revision: 1,
			Classes:  []laburnumlever.Class{{Name: "quick", FirstToken: laburnumlever.Duration(10 * time.Second)}},
			Models:   []laburnumlever.Model{{Name: "quote", Owner: "sales", Class: "quick"}},
			Services: []laburnumlever.Service{{Name: "booking", Owner: "sales", Class: "quick", NonIdempotent: []laburnumlever.Call{{Method: "POST", PathPrefix: "/visits"}}}},
		},
	})
	b.proxy = laburnumproxy.New(b.views, b.timers, b.log, opts...)
	t.Cleanup(func() { require.NoError(t, b.proxy.Close()) })
	b.server = httptest.NewServer(b.proxy)
	t.Cleanup(b.server.Close)
	return b
}

// refusedByDelay has a call refused whose claim a network partition delays.
func (b *fixture) refusedByDelay() {
	b.log.mu.Lock()
	b.log.delay = true
	b.log.mu.Unlock()
	b.post("/services/booking/visits", "", "Idempotency-Key", "k").requireRefusal(b.t, "no-quorum", "not-run")
}

// add adds a backend server to the view.
func (b *fixture) add(change laburnumlever.Announcement) {
	view := *b.views.View()
	change.Backend = laburnumlever.BackendID(fmt.Sprintf("b%d", len(view.Backends)))
	change.Slots = 8
	backend := laburnumlever.Backend{Announcement: change, ReportedAt: time.Now()}
	backend.Report.Loaded = []laburnumlever.ModelCopy{{Model: "quote", Ready: true}}
	view.Backends = append(append([]laburnumlever.Backend{}, view.Backends...), backend)
	b.views.view.Store(&view)
}

// engine adds an engine with the given handler; it echoes attempt IDs.
func (b *fixture) engine(canResume bool, fn http.HandlerFunc) *httptest.Server {
	s := httptest.NewServer(echoing(fn))
	b.t.Cleanup(s.Close)
	b.add(laburnumlever.Announcement{Address: s.Listener.Addr().String(), CanResume: canResume})
	return s
}

// service adds a plain service with the given handler; it echoes attempt IDs.
func (b *fixture) service(fn http.HandlerFunc) *httptest.Server {
	s := httptest.NewServer(echoing(fn))
	b.t.Cleanup(s.Close)
	b.add(laburnumlever.Announcement{Kind: laburnumlever.PlainService, Service: "booking", Address: s.Listener.Addr().String()})
	return s
}

func echoing(fn http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		fn(w, r)
	}
}

// reply is a response as the caller gets it.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (b *fixture) post(path, body string, headers ...string) reply {
	req, err := http.NewRequest(http.MethodPost, b.server.URL+path, strings.NewReader(body))
	require.NoError(b.t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}

func (b *fixture) stream() reply {
	return b.post("/v1/completions", `{"model":"quote","prompt":"hall","stream":true,"max_tokens":4}`)
}

// requireRefusal checks the reason and the outcome of a refusal.
func (r reply) requireRefusal(t *testing.T, reason, outcome string) {
	t.Helper()
	require.NoError(t, r.err)
	var body struct {
		Error struct {
			Type    string `json:"type"`
			Outcome string `json:"outcome"`
			ID      string `json:"request-id"`
		} `json:"error"`
	}
	require.NoError(t, json.Unmarshal([]byte(r.body), &body), r.body)
	require.Equal(t, reason, body.Error.Type, r.body)
	require.Equal(t, outcome, body.Error.Outcome, r.body)
	require.Equal(t, outcome, r.header.Get("Laburnumlever-Outcome"))
	require.Equal(t, body.Error.ID, r.header.Get("X-Request-Id"))
}

// writeTokens writes the token events i with from <= i < to and flushes each.
func writeTokens(w http.ResponseWriter, from, to int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i < to; i++ {
		fmt.Fprintf(w, "data: {\"choices\":[{\"text\":\"t%d \",\"finish_reason\":null}]}\n\n", i)
		w.(http.Flusher).Flush()
	}
}

func writeDone(w http.ResponseWriter) { io.WriteString(w, "data: [DONE]\n\n") }

// joinTexts joins the texts of a stream's token events.
func joinTexts(body string) string {
	var out bytes.Buffer
	for line := range strings.Lines(body) {
		var c struct{ Choices []struct{ Text string } }
		data, _ := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			out.WriteString(c.Choices[0].Text)
		}
	}
	return out.String()
}
