package laburnumlogging_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log/level"
	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumlogging"
)

// blockedWriter blocks every write until it is released.
type blockedWriter struct {
	release chan struct{}
	entered chan struct{}
	once    sync.Once
	mu      sync.Mutex
	out     bytes.Buffer
}

func newBlockedWriter() *blockedWriter {
	return &blockedWriter{release: make(chan struct{}), entered: make(chan struct{})}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.entered) })
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

func (w *blockedWriter) lines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Split(strings.TrimSpace(w.out.String()), "\n")
}

// Guards against a blocked reader of the output that blocks callers, grows memory or costs lines about failures.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	w := newBlockedWriter()
	logger, err := laburnumlogging.New(w, "info", laburnumlogging.WithSize(16<<10))
	require.NoError(t, err)
	require.NoError(t, level.Info(logger).Log("event", "started"))
	<-w.entered
	start := time.Now()
	for range 2000 {
		require.NoError(t, level.Info(logger).Log("event", "request-served", "request-id", "9c41d07b"))
	}
	for range 20 {
		require.NoError(t, level.Info(logger).Log("event", "request-refused", "request-id", "5c1e07a2"))
	}
	require.Less(t, time.Since(start), 5*time.Second)
	close(w.release)
	logger.Close()
	counts := map[string]int{}
	var dropped string
	for _, line := range w.lines() {
		var fields map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &fields), line)
		event, _ := fields["event"].(string)
		counts[event]++
		if event == "log-lines-dropped" {
			dropped, _ = fields["counts"].(string)
		}
	}
	require.Equal(t, 20, counts["request-refused"])
	require.Less(t, counts["request-served"], 200)
	require.Contains(t, dropped, "request-served=")
}

// Guards against a level that is fixed at start, or an unknown one that is accepted.
func TestLevelChangesAtRunTime(t *testing.T) {
	w := newBlockedWriter()
	close(w.release)
	logger, err := laburnumlogging.New(w, "info")
	require.NoError(t, err)
	require.NoError(t, level.Debug(logger).Log("event", "hidden"))
	require.NoError(t, logger.SetLevel("debug"))
	require.NoError(t, level.Debug(logger).Log("event", "shown", "avoid", []string{"i-1"}))
	require.Error(t, logger.SetLevel("loud"))
	logger.Close()
	require.Len(t, w.lines(), 1)
	require.Contains(t, w.lines()[0], `"avoid":["i-1"]`)
}

// BenchmarkLog measures the processor time of Log in the caller.
func BenchmarkLog(b *testing.B) {
	logger, err := laburnumlogging.New(&bytes.Buffer{}, "info")
	require.NoError(b, err)
	defer logger.Close()
	for b.Loop() {
		_ = level.Info(logger).Log("event", "request-served", "request-id", "9c41d07be2a35f68", "route", "r-2b9wu3f",
			"backend", "i-7f3a91c2", "first-ms", 24, "whole-ms", 310, "sends", 1)
	}
}

// atomicityWriter checks that each write is one line, or several whole lines of at most the
// size that a pipe writes atomically.
type atomicityWriter struct {
	mu     sync.Mutex
	atomic bool
	out    bytes.Buffer
	// enqueued is closed once all lines are in the buffer.
	enqueued chan struct{}
}

func (w *atomicityWriter) Write(p []byte) (int, error) {
	<-w.enqueued
	w.mu.Lock()
	defer w.mu.Unlock()
	const pipe = 4096
	w.atomic = w.atomic && bytes.HasSuffix(p, []byte("\n")) && (len(p) <= pipe || bytes.Count(p, []byte("\n")) == 1)
	return w.out.Write(p)
}

// Guards against split or interleaved lines in a pipe, as one write exceeds the size that is atomic.
func TestPipeWritesAreAtomicWholeLines(t *testing.T) {
	w := &atomicityWriter{atomic: true, enqueued: make(chan struct{})}
	logger, err := laburnumlogging.New(w, "info")
	require.NoError(t, err)
	const lines, long = 400, 9000
	for i := range lines {
		require.NoError(t, level.Info(logger).Log("event", "some", "n", i))
	}
	require.NoError(t, level.Info(logger).Log("event", "long", "text", strings.Repeat("x", long)))
	close(w.enqueued)
	logger.Close()
	require.Equal(t, lines+1, bytes.Count(w.out.Bytes(), []byte("\n")))
	require.True(t, w.atomic)
}
