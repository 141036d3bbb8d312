package laburnumsoak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumstandin"
)

const (
	// Every pauseEvery-th read of a slow reader, on average, waits for minReadPause to maxReadPause.
	pauseEvery                 = 40
	minReadPause, maxReadPause = 100 * time.Millisecond, 2 * time.Second
	// slowStream is the length of an event of a slow reader's stream, slowAnswer that of its other answers, in bytes.
	slowStream, slowAnswer = 48 << 10, 300 << 10
)

// readSlowly sends requests to the steady servers whose answers are read with pauses, until ctx ends.
func (l *load) readSlowly(ctx context.Context) {
	if !l.fleet.cfg.releasesVersions() {
		return // an earlier build's gateways hold nothing
	}
	caller := laburnumstandin.NewSlowPlatformCaller(pauseOfRead).WithKey(usualKey)
	for _, route := range []laburnumstandin.SeriesRoute{laburnumstandin.SeriesEssay, laburnumstandin.SeriesLetter, laburnumstandin.SeriesLook, laburnumstandin.SeriesForm} {
		l.repeat(ctx, steadyCallerPause, func(int) { l.sendSlow(caller, route) })
	}
}

// pauseOfRead returns how long a slow reader waits before a read.
func pauseOfRead() time.Duration {
	if rand.IntN(pauseEvery) > 0 {
		return 0
	}
	return minReadPause + rand.N(maxReadPause-minReadPause)
}

func (l *load) sendSlow(caller *laburnumstandin.PlatformCaller, route laburnumstandin.SeriesRoute) {
	id := fmt.Sprintf("slow-%s-%d", route, l.calls.Add(1))
	size := slowAnswer
	if route.Streams() {
		size = slowStream
	}
	body := append([]byte(laburnumstandin.EchoPrefix+id), bytes.Repeat([]byte("x"), size)...)
	answer, whole := l.sendSteadyBy(caller, route, l.fleet.anyGateway(), id, body)
	if whole && !route.Streams() && !bytes.Contains(answer, body) {
		l.record.violated("answer to request %s ended as complete after %d bytes", id, len(answer))
	}
}

// slowCallerEnded reads which caller a gateway's log line says that it ended for want of memory.
func (r *recorder) slowCallerEnded(line string) {
	if !strings.Contains(line, laburnumlever.EventSlowCallerEnded.String()) {
		return
	}
	var ended struct {
		Event  string `json:"event"`
		ID     string `json:"request-id"`
		Reason string `json:"reason"`
	}
	if err := json.Unmarshal([]byte(line), &ended); err != nil || ended.Event != laburnumlever.EventSlowCallerEnded.String() || ended.Reason != "budget" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endedForMemory[ended.ID] = true
}
