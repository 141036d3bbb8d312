package laburnumroles

import (
	"context"
	"slices"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumretry"
	"laburnumlever/laburnumtimer"

	"github.com/cockroachdb/errors"
)

const (
	// keeperTimeout bounds a call to a control VM that grants something: the longest round trip between availability
	// zones.
	keeperTimeout = 150 * time.Millisecond
	// minKeeperBackoff and maxKeeperBackoff bound how long a control VM that did not answer is not asked again.
	minKeeperBackoff, maxKeeperBackoff = 100 * time.Millisecond, time.Second
	// maxHeldCalls bounds the calls that one control VM has not answered in time and may still answer.
	maxHeldCalls = 4
)

// keeperCalls calls control VMs that grant something, and passes over those that have just not answered. It is safe for
// concurrent use.
type keeperCalls struct {
	peers  laburnumlever.Peers
	timers laburnumlever.Timers

	mu       sync.Mutex
	backoffs *laburnumretry.Backoffs
	// held are the numbers of calls by callHeld that a control VM has not answered in time.
	held map[string]int
}

func newKeeperCalls(peers laburnumlever.Peers, timers laburnumlever.Timers) *keeperCalls {
	return &keeperCalls{peers: peers, timers: timers, backoffs: laburnumretry.NewBackoffs(minKeeperBackoff, maxKeeperBackoff), held: map[string]int{}}
}

// call calls one control VM.
func (k *keeperCalls) call(ctx context.Context, address, method string, params, result any) error {
	return k.callWaiting(ctx, address, method, 0, params, result)
}

// callWaiting calls one control VM that may wait before it answers.
func (k *keeperCalls) callWaiting(ctx context.Context, address, method string, wait time.Duration, params, result any) error {
	callCtx, cancel := context.WithTimeout(ctx, keeperTimeout+wait)
	defer cancel()
	began := k.timers.Now()
	err := k.peers.Call(callCtx, address, method, params, result)
	k.note(ctx, address, began, err)
	return err
}

// note records the outcome of a call.
func (k *keeperCalls) note(ctx context.Context, address string, began time.Time, err error) {
	left := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case err == nil:
		k.answers(address)
	case !left && !isUnknownMethod(err):
		k.mu.Lock()
		k.backoffs.Failed(address, began, k.timers.Now())
		k.mu.Unlock()
	default: // it says nothing of the control VM
	}
}

// callHeld is call, but an answer that comes later, within a time, sets the result and is told by late: among starved VMs each takes
// longer than anybody waits, and what it grants is charged all the same.
func (k *keeperCalls) callHeld(ctx context.Context, address, method string, within time.Duration, params, result any, late func()) error {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), within)
	began := k.timers.Now()
	done := make(chan error, 1)
	go func() {
		defer cancel()
		done <- k.peers.Call(callCtx, address, method, params, result)
	}()
	over, stop := laburnumtimer.AfterChannel(k.timers, keeperTimeout)
	defer stop()
	var err error
	select {
	case err = <-done:
		k.note(ctx, address, began, err)
		return err
	case <-over:
		err = &laburnumlever.PeerLostError{Address: address, Cause: context.DeadlineExceeded}
	case <-ctx.Done():
		err = &laburnumlever.PeerLostError{Address: address, Cause: ctx.Err()}
	}
	k.note(ctx, address, began, err)
	k.hold(address, 1)
	go func() {
		failed := <-done
		k.hold(address, -1)
		if failed == nil {
			k.answers(address)
			late()
		}
	}()
	return err
}

// hold counts calls that a control VM has not answered in time.
func (k *keeperCalls) hold(address string, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held[address] += n; k.held[address] == 0 {
		delete(k.held, address)
	}
}

// answers records that a control VM answers others.
func (k *keeperCalls) answers(address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.backoffs.Succeeded(address)
}

// isUnknownMethod reports whether a VM of an earlier build answered that it doesn't know a method.
func isUnknownMethod(err error) bool {
	var refused *laburnumlever.PeerRefusedError
	return errors.As(err, &refused) && refused.UnknownMethod()
}

// answering returns the first of the control VMs, without those that have just not answered, or still have several calls to answer.
func (k *keeperCalls) answering(addresses []string, most int) []string {
	now := k.timers.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	addresses = slices.DeleteFunc(slices.Clone(addresses), func(address string) bool {
		return !k.backoffs.Allows(address, now) || k.held[address] >= maxHeldCalls
	})
	return addresses[:min(most, len(addresses))]
}
