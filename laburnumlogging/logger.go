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
	// defaultMaxBytes bounds the bytes that wait to be written: some seconds of a busy
	// gateway's lines, and little beside its memory.
	defaultMaxBytes = 1 << 20
	// routineShare of the buffer is for lines about what went well.
	routineShare = 0.5
	// maxWrite bounds one write. A pipe takes so many bytes whole: more may be torn, or mixed
	// with those of another process.
	maxWrite = 4096
	// closeTimeout bounds the wait for the last lines at the end.
	closeTimeout = 500 * time.Millisecond
	// eventKey is the field that names what happened.
	eventKey = "event"
)

// routineEvents are the events that say that all went well; there are as many as requests.
var routineEvents = []string{
	laburnumlever.EventRequestServed.String(), laburnumlever.EventAdapterThere.String(), laburnumlever.EventOrderAnswered.String(),
}

// Logger is a bounded log. It implements log.Logger and may be used from any goroutine.
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

// Option changes a new logger.
type Option func(*Logger)

// WithSize bounds the bytes that wait to be written.
func WithSize(n int) Option { return func(l *Logger) { l.maxBytes = n } }

// WithScope sets where dropped lines are counted; without it nowhere.
func WithScope(scope tally.Scope) Option { return func(l *Logger) { l.scope = scope } }

// New starts a logger with the level debug, info, warn or error. An error is a
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

// SetLevel changes the level at run time. An error is a
// *laburnumlever.InvalidValueError.
func (l *Logger) SetLevel(name string) error {
	value, err := level.Parse(name)
	if err != nil {
		return &laburnumlever.InvalidValueError{Name: "level", Value: name, Want: "debug, info, warn or error"}
	}
	l.filter.Store(&levelFilter{Logger: level.NewFilter(encoder{logger: l}, level.Allow(value))})
	return nil
}

// Log puts a line into the buffer, or drops it. It never waits for the output.
func (l *Logger) Log(keyvals ...any) error { return l.filter.Load().Log(keyvals...) }

// Close writes what waits, for a short time, and ends the logger.
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

// encoder turns fields into lines.
type encoder struct{ logger *Logger }

// Log encodes a line on the caller's goroutine: its values may change afterwards.
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

// evaluate evaluates values that are made when they are logged.
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

// run writes until Close. A write that fails is not repeated: there is nowhere to say
// so.
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

// wholeLinesLen is the length of the first lines that fit into one write, or of the first line.
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

// takePending waits for lines and returns all that wait as one, with a word on those dropped.
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
