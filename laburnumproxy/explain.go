package laburnumproxy

import (
	"fmt"
	"sync"
	"time"

	"laburnumlever"
)

const (
	// ringSize is how many of the last requests can be explained.
	ringSize = 4096
	// maxTrailLines bounds one request's account.
	maxTrailLines = 32
)

// trail is the account of one request's decisions.
type trail struct {
	mu    sync.Mutex
	id    string
	start time.Time
	lines []trailLine
}

type trailLine struct {
	after  time.Duration
	format string
	args   []any
}

// add notes a decision; the text is only made when an operator asks.
func (t *trail) add(now time.Time, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.lines) < maxTrailLines {
		t.lines = append(t.lines, trailLine{after: now.Sub(t.start), format: format, args: args})
	}
}

func (t *trail) explanation() laburnumlever.Explanation {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := laburnumlever.Explanation{Subject: "request " + t.id}
	for _, l := range t.lines {
		out.Lines = append(out.Lines, "+"+l.after.String()+" "+fmt.Sprintf(l.format, l.args...))
	}
	return out
}

// ring keeps the last trails.
type ring struct {
	mu     sync.Mutex
	next   int
	trails [ringSize]*trail
	byID   map[string]*trail
}

func newRing() *ring { return &ring{byID: make(map[string]*trail, ringSize)} }

func (r *ring) put(t *trail) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.trails[r.next]; old != nil && r.byID[old.id] == old {
		delete(r.byID, old.id)
	}
	r.trails[r.next] = t
	r.byID[t.id] = t
	r.next = (r.next + 1) % ringSize
}

func (r *ring) get(id string) (*trail, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.byID[id]
	return t, ok
}

// Explain says what was decided for one of the last requests.
func (p *Proxy) Explain(requestID string) (laburnumlever.Explanation, bool) {
	t, ok := p.ring.get(requestID)
	if !ok {
		return laburnumlever.Explanation{}, false
	}
	return t.explanation(), true
}
