package laburnumsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"laburnumlever/laburnumstandin"
)

const (
	// callers is the number of concurrent callers. Each sends its next request callerPause
	// after the previous one ended.
	callers     = 6
	callerPause = 15 * time.Millisecond
	callTimeout = 4 * time.Second
	// streamEvery is the number of requests of a caller of which one is for a stream.
	streamEvery = 4
	// applyPause and readPause are the time between two changes and two reads of the manifest.
	applyPause = 500 * time.Millisecond
	readPause  = 150 * time.Millisecond
	// controlTimeout is how long an operator waits for the answer of a control VM.
	controlTimeout = 2 * time.Second
)

// load generates the requests of callers and operators.
type load struct {
	fleet  *fleet
	record *recorder
	caller *laburnumstandin.PlatformCaller
	wg     sync.WaitGroup
	// version is that of the last acknowledged change; a single operator sends changes.
	version int
	// calls numbers the requests, for unique ids.
	calls atomic.Int64
}

func newLoad(f *fleet, r *recorder) *load {
	return &load{fleet: f, record: r, caller: laburnumstandin.NewPlatformCaller().WithKey(usualKey)}
}

// run generates load until ctx ends and the requests in flight have finished.
func (l *load) run(ctx context.Context) {
	for i := range callers {
		l.repeat(ctx, callerPause, func(n int) { l.sendRequest(n%streamEvery == i%streamEvery) })
	}
	for _, kind := range crashKinds {
		l.repeatCrashing(ctx, kind)
	}
	for range draftCallers {
		l.repeat(ctx, callerPause, func(int) { l.takeDraft(l.fleet.anyGateway()) })
	}
	l.repeat(ctx, applyPause, func(int) { l.apply(rand.IntN(controlVMs)) })
	l.repeat(ctx, readPause, func(int) { l.read(rand.IntN(controlVMs)) })
	l.useAccounts(ctx)
	l.useSteady(ctx)
	l.useGarbling(ctx)
	l.readSlowly(ctx)
	l.leave(ctx)
	l.wg.Wait()
}

func (l *load) repeat(ctx context.Context, pause time.Duration, do func(n int)) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		for n := 0; ctx.Err() == nil; n++ {
			do(n)
			time.Sleep(pause)
		}
	}()
}

// sendRequest requests a stream or a booking from a random gateway and reports whether it
// succeeded. It does not take the run's context: requests in flight at the end are completed.
func (l *load) sendRequest(stream bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return l.sendOnce(ctx, l.fleet.gateway(l.fleet.anyGateway()), stream)
}

// sendTo is sendRequest to one gateway.
func (l *load) sendTo(gateway int, stream bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return l.sendOnce(ctx, l.fleet.gateway(gateway), stream)
}

func (l *load) sendOnce(ctx context.Context, gateway string, stream bool) bool {
	id := fmt.Sprintf("r-%d", l.calls.Add(1))
	if stream {
		status, body, err := l.caller.Quote(ctx, gateway, id, "oak", soundPart)
		whole := err == nil && status == http.StatusOK
		l.record.streamAnswered(id, status, body, whole) // the events received are checked even if the stream failed
		l.record.refusedFor(id, body)
		return whole
	}
	status, body, err := l.caller.Confirm(ctx, gateway, id, "visit")
	l.record.bookingEnded(id, status, err)
	l.record.refusedFor(id, body)
	return err == nil && status == http.StatusOK
}

// apply sends the next change, or repeats the last one if it was not acknowledged.
func (l *load) apply(control int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	status, err := l.caller.Apply(ctx, l.fleet.control(control), l.version+1, accountsOf(l.version+1)...)
	if err != nil || status != http.StatusOK {
		return false
	}
	l.version++
	l.record.changeAcknowledged(l.version, time.Now())
	return true
}

func (l *load) read(control int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	sent := time.Now()
	status, version, err := l.caller.Read(ctx, l.fleet.control(control))
	if err != nil || status != http.StatusOK {
		return false
	}
	l.record.readAnswered(version, sent)
	return true
}
