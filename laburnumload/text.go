package laburnumload

import (
	"fmt"
	"io"
	"strings"
)

// percent converts a fraction to percent.
const percent = 100

// WriteText writes the report as human-readable text.
func (r Report) WriteText(w io.Writer) error {
	t := &textWriter{w: w}
	t.line("experiment %s, %s", r.Experiment, r.Duration)
	t.line("sent %d: whole %d, refused %d, lost %d; sent late by the tool %d", r.Sent, r.Whole, r.Refused, r.Lost, r.SentLate)
	t.line("attained %d, %.1f a second, %.3f a second for each of %d accelerators; moves %d",
		r.Attained, r.AttainedPerSecond, r.PerAccelerator, r.Accelerators, r.Moves)
	t.latency("first token", r.FirstToken)
	t.latency("between tokens", r.BetweenTokens)
	t.groups("class", r.Classes)
	t.groups("owner", r.Owners)
	for _, refusal := range r.Refusals {
		t.line("refused %s: %d", refusal.Name, refusal.Count)
	}
	for _, event := range r.Events {
		t.line("event %s", event)
	}
	t.line("broken promises: %d", len(r.Broken))
	for _, broken := range r.Broken {
		t.line("  %s", broken)
	}
	return t.err
}

// textWriter writes lines and keeps the first error, so that callers need not check
// each line.
type textWriter struct {
	w   io.Writer
	err error
}

func (t *textWriter) line(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintln(t.w, strings.TrimRight(fmt.Sprintf(format, args...), " "))
	}
}

func (t *textWriter) latency(name string, l Latency) {
	t.line("%s: p50 %s, p95 %s, p99 %s, max %s (%d)", name, l.P50, l.P95, l.P99, l.Max, l.Count)
}

func (t *textWriter) groups(kind string, groups []Group) {
	for _, g := range groups {
		t.line("%s %s: attainment %.1f%% of %d, first token p95 %s", kind, g.Name, g.Attainment*percent, g.Sent, g.FirstToken.P95)
	}
}
