package laburnumlogging

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"laburnumlever"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

const (
	// defaultMaxBytes is the default size of the buffer in bytes: a few seconds of log
	// lines on a busy gateway, and small compared with its memory.
	defaultMaxBytes = 1 << 20
	// routineShare is the share of the buffer available to routine events.
	routineShare = 0.5
	// maxWrite bounds one write, in bytes. Writes to a pipe are atomic up to this size
	// (PIPE_BUF); larger ones may be split or interleaved with those of another process.
	maxWrite = 4096
	// closeTimeout bounds how long Close waits for pending lines to be written.
	closeTimeout = 500 * time.Millisecond
	// eventKey is the key of the event's name.
	eventKey = "event"
)

// routineEvents are the events of successful operations; they are as frequent as requests.
var routineEvents = []string{
	laburnumlever.EventRequestServed.String(), laburnumlever.EventAdapterLoaded.String(), laburnumlever.EventOrderAnswered.String(),
}

// Logger is a log with a bounded buffer. It implements log.Logger and is safe for concurrent use.
type Logger struct {
	out      io.Writer
	maxBytes int
	scope    tally.Scope
	filter   atomic.Pointer[levelFilter]

	mu           sync.Mutex
	ready        *sync.Cond
	pending      [][]byte
	pendingBytes int
	dropped      map[string]int
	closed       bool
	done         chan struct{}
}

type levelFilter struct{ log.Logger }

// Option configures a logger.
type Option func(*Logger)

// WithSize sets the size of the buffer in bytes; the default is 1 MiB.
func WithSize(n int) Option { return func(l *Logger) { l.maxBytes = n } }

// WithScope sets the scope that counts dropped lines; the default is no metrics.
func WithScope(scope tally.Scope) Option { return func(l *Logger) { l.scope = scope } }

// New starts a logger with the level debug, info, warn or error. Close stops it. Errors:
// *laburnumlever.InvalidValueError.
func New(out io.Writer, levelName string, opts ...Option) (*Logger, error) {
	l := &Logger{out: out, maxBytes: defaultMaxBytes, scope: tally.NoopScope, dropped: map[string]int{}, done: make(chan struct{})}
	for _, opt := range opts {
		opt(l)
	}
	l.ready = sync.NewCond(&l.mu)
	if err := l.SetLevel(levelName); err != nil {
		return nil, err
	}
	go l.run()
	return l, nil
}

// SetLevel changes the level at run time. Errors: *laburnumlever.InvalidValueError.
func (l *Logger) SetLevel(name string) error {
	value, err := level.Parse(name)
	if err != nil {
		return &laburnumlever.InvalidValueError{Name: "level", Value: name, Want: "debug, info, warn or error"}
	}
	l.filter.Store(&levelFilter{Logger: level.NewFilter(encoder{logger: l}, level.Allow(value))})
	return nil
}

// Log appends a line to the buffer, or drops it if there is no space. It never waits for
// the output.
func (l *Logger) Log(keyvals ...any) error { return l.filter.Load().Log(keyvals...) }

// Close stops the logger. It waits at most closeTimeout until pending lines are written.
func (l *Logger) Close() {
	l.mu.Lock()
	l.closed = true
	l.ready.Signal()
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
}

// encoder encodes fields as JSON lines and enqueues them.
type encoder struct{ logger *Logger }

// Log encodes a line on the caller's goroutine, since its values may change afterwards.
func (e encoder) Log(keyvals ...any) error {
	var line bytes.Buffer
	fields := append([]any{"ts", log.DefaultTimestampUTC}, keyvals...)
	for i := 1; i < len(fields); i += 2 {
		fields[i] = evaluate(fields[i])
	}
	if err := log.NewJSONLogger(&line).Log(fields...); err != nil {
		return err
	}
	e.logger.enqueue(eventOf(keyvals), line.Bytes())
	return nil
}

// evaluate calls a log.Valuer and returns any other value unchanged.
func evaluate(v any) any {
	if valuer, ok := v.(log.Valuer); ok {
		return valuer()
	}
	return v
}

func eventOf(keyvals []any) string {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == eventKey {
			return fmt.Sprint(keyvals[i+1])
		}
	}
	return "unnamed"
}

func (l *Logger) enqueue(event string, line []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.maxBytes
	if slices.Contains(routineEvents, event) {
		limit = int(routineShare * float64(l.maxBytes))
	}
	if l.pendingBytes+len(line) > limit || l.closed {
		l.dropped[event]++
		l.scope.Tagged(map[string]string{"event": event}).Counter("log-lines-dropped").Inc(1)
		return
	}
	l.pending = append(l.pending, line)
	l.pendingBytes += len(line)
	l.ready.Signal()
}

// run writes pending lines until Close. A failed write is neither retried nor reported:
// there is no other place to log it.
func (l *Logger) run() {
	defer close(l.done)
	for {
		lines, ok := l.takePending()
		if !ok {
			return
		}
		for len(lines) > 0 {
			n := wholeLinesLen(lines)
			_, _ = l.out.Write(lines[:n])
			lines = lines[n:]
		}
	}
}

// wholeLinesLen returns the length of the leading lines that fit into one write, or of the
// first line if it is longer.
func wholeLinesLen(lines []byte) int {
	if len(lines) <= maxWrite {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:maxWrite], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

// takePending waits for pending lines and returns all of them, followed by a summary of
// dropped lines if there are any. It returns false once the logger is closed and empty.
func (l *Logger) takePending() ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) == 0 && !l.closed {
		l.ready.Wait()
	}
	if len(l.pending) == 0 {
		return nil, false
	}
	lines := bytes.Join(l.pending, nil)
	l.pending, l.pendingBytes = nil, 0
	if len(l.dropped) > 0 {
		lines = append(lines, l.summarizeDropped()...)
		clear(l.dropped)
	}
	return lines, true
}

func (l *Logger) summarizeDropped() []byte {
	var counts []string
	for event, n := range l.dropped {
		counts = append(counts, fmt.Sprintf("%s=%d", event, n))
	}
	slices.Sort(counts)
	var line bytes.Buffer
	err := log.NewJSONLogger(&line).Log("ts", log.DefaultTimestampUTC(), "level", "warn",
		eventKey, laburnumlever.EventLogLinesDropped, "counts", strings.Join(counts, " "))
	if err != nil {
		return nil
	}
	return line.Bytes()
}
