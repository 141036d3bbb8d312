package laburnumroles

import (
	"context"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumconcurrency"

	"golang.org/x/sync/singleflight"
)

const (
	// keeperCheckTimeout bounds one check of another control VM.
	keeperCheckTimeout = 150 * time.Millisecond
	// keeperCheckTime is how long the result of a check counts.
	keeperCheckTime = 250 * time.Millisecond
)

// keeperChecks finds out whether other control VMs answer this one. A gateway asks this VM in the place of a keeper that was
// too slow for it, and which may well be running. It is safe for concurrent use.
type keeperChecks struct {
	peers  laburnumlever.Peers
	timers laburnumlever.Timers
	group  singleflight.Group

	mu      sync.Mutex
	results map[string]keeperCheck
}

type keeperCheck struct {
	answered bool
	at       time.Time
}

func newKeeperChecks(peers laburnumlever.Peers, timers laburnumlever.Timers) *keeperChecks {
	return &keeperChecks{peers: peers, timers: timers, results: map[string]keeperCheck{}}
}

// answers reports whether the control VM at the address answers this one.
func (k *keeperChecks) answers(address string) bool {
	k.mu.Lock()
	last, ok := k.results[address]
	k.mu.Unlock()
	if ok && k.timers.Now().Sub(last.at) < keeperCheckTime {
		return last.answered
	}
	answered, _, _ := k.group.Do(address, func() (any, error) { return k.check(address), nil })
	return answered == true
}

// check calls the control VM with an empty list of returned leases, which it answers without effect.
func (k *keeperChecks) check(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), keeperCheckTimeout)
	defer cancel()
	var answer struct{}
	err := k.peers.Call(ctx, address, methodReturnLeases, []laburnumconcurrency.Release{}, &answer)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.results[address] = keeperCheck{answered: err == nil, at: k.timers.Now()}
	return err == nil
}
