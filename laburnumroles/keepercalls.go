package laburnumroles

import (
	"context"
	"slices"
	"sync"
	"time"

	"laburnumlever"

	"github.com/cockroachdb/errors"
)

const (
	// keeperTimeout bounds a call to a control VM that grants something: the longest round trip between availability
	// zones.
	keeperTimeout = 150 * time.Millisecond
	// keeperBackoff is how long a control VM that did not answer is not asked again.
	keeperBackoff = time.Second
)

// keeperCalls calls control VMs that grant something, and passes over those that have just not answered. It is safe for
// concurrent use.
type keeperCalls struct {
	peers  laburnumlever.Peers
	timers laburnumlever.Timers

	mu sync.Mutex
	// failed is when control VMs last did not answer.
	failed map[string]time.Time
}

func newKeeperCalls(peers laburnumlever.Peers, timers laburnumlever.Timers) *keeperCalls {
	return &keeperCalls{peers: peers, timers: timers, failed: map[string]time.Time{}}
}

// call calls one control VM.
func (k *keeperCalls) call(ctx context.Context, address, method string, params, result any) error {
	return k.callWaiting(ctx, address, method, 0, params, result)
}

// callWaiting calls one control VM that may wait before it answers.
func (k *keeperCalls) callWaiting(ctx context.Context, address, method string, wait time.Duration, params, result any) error {
	callCtx, cancel := context.WithTimeout(ctx, keeperTimeout+wait)
	defer cancel()
	err := k.peers.Call(callCtx, address, method, params, result)
	left := errors.Is(ctx.Err(), context.Canceled)
	if err != nil && !left && !isUnknownMethod(err) {
		k.mu.Lock()
		k.failed[address] = k.timers.Now()
		k.mu.Unlock()
	}
	return err
}

// answers records that a control VM answers others.
func (k *keeperCalls) answers(address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.failed, address)
}

// isUnknownMethod reports whether a VM of an earlier build answered that it doesn't know a method.
func isUnknownMethod(err error) bool {
	var refused *laburnumlever.PeerRefusedError
	return errors.As(err, &refused) && refused.Kind == kindUnknownMethod
}

// answering returns the first of the control VMs, without those that have just not answered.
func (k *keeperCalls) answering(addresses []string, most int) []string {
	now := k.timers.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	addresses = slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return now.Sub(k.failed[address]) < keeperBackoff })
	return addresses[:min(most, len(addresses))]
}
