package laburnumproxy

import (
	"fmt"
	"sync"
	"time"

	"laburnumlever"
)

const (
	// traceRingSize is the number of recent requests that can be explained.
	traceRingSize = 4096
	// maxTraceLines bounds the trace of one request.
	maxTraceLines = 32
)

// requestTrace lists the decisions made for one request, for Explain.
type requestTrace struct {
	mu    sync.Mutex
	id    string
	start time.Time
	lines []traceLine
}

type traceLine struct {
	after  time.Duration
	format string
	args   []any
}

// add records a decision; the text is formatted only when an operator asks for it.
func (t *requestTrace) add(now time.Time, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.lines) < maxTraceLines {
		t.lines = append(t.lines, traceLine{after: now.Sub(t.start), format: format, args: args})
	}
}

func (t *requestTrace) explanation() laburnumlever.Explanation {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := laburnumlever.Explanation{Subject: "request " + t.id}
	for _, l := range t.lines {
		out.Lines = append(out.Lines, "+"+l.after.String()+" "+fmt.Sprintf(l.format, l.args...))
	}
	return out
}

// traceRing keeps the traces of the last traceRingSize requests.
type traceRing struct {
	mu     sync.Mutex
	next   int
	traces [traceRingSize]*requestTrace
	byID   map[string]*requestTrace
}

func newTraceRing() *traceRing {
	return &traceRing{byID: make(map[string]*requestTrace, traceRingSize)}
}

func (r *traceRing) put(t *requestTrace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.traces[r.next]; old != nil && r.byID[old.id] == old {
		delete(r.byID, old.id)
	}
	r.traces[r.next] = t
	r.byID[t.id] = t
	r.next = (r.next + 1) % traceRingSize
}

func (r *traceRing) get(id string) (*requestTrace, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.byID[id]
	return t, ok
}

// Explain returns the decisions made for a recent request, and false if it is not among them.
func (p *Proxy) Explain(requestID string) (laburnumlever.Explanation, bool) {
	t, ok := p.traces.get(requestID)
	if !ok {
		return laburnumlever.Explanation{}, false
	}
	return t.explanation(), true
}
