package laburnumroles

import (
	"context"
	"slices"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumretry"

	"github.com/cockroachdb/errors"
)

const (
	// keeperTimeout bounds a call to a control VM that grants something: the longest round trip between availability
	// zones.
	keeperTimeout = 150 * time.Millisecond
	// minKeeperBackoff and maxKeeperBackoff bound how long a control VM that did not answer is not asked again.
	minKeeperBackoff, maxKeeperBackoff = 100 * time.Millisecond, time.Second
)

// keeperCalls calls control VMs that grant something, and passes over those that have just not answered. It is safe for
// concurrent use.
type keeperCalls struct {
	peers  laburnumlever.Peers
	timers laburnumlever.Timers

	mu       sync.Mutex
	backoffs *laburnumretry.Backoffs
}

func newKeeperCalls(peers laburnumlever.Peers, timers laburnumlever.Timers) *keeperCalls {
	return &keeperCalls{peers: peers, timers: timers, backoffs: laburnumretry.NewBackoffs(minKeeperBackoff, maxKeeperBackoff)}
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
	return err
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

// answering returns the first of the control VMs, without those that have just not answered.
func (k *keeperCalls) answering(addresses []string, most int) []string {
	now := k.timers.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	addresses = slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return !k.backoffs.Allows(address, now) })
	return addresses[:min(most, len(addresses))]
}
