package laburnumload

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// The platform's balancer asks each VM this often whether it is ready, and takes one
// that does not answer in time out until it does.
const (
	balancerPeriod  = 500 * time.Millisecond
	balancerTimeout = 400 * time.Millisecond
)

// balancer chooses VMs in turn among those that were ready when last asked, as
// the platform's does. Between two questions it sends to VMs that have died, which
// is what callers see. It is safe for use by many goroutines.
type balancer struct {
	mu    sync.Mutex
	vms   []string
	ready map[string]bool
	next  int
}

func newBalancer(vms []string) *balancer {
	b := &balancer{vms: vms, ready: make(map[string]bool)}
	for _, vm := range vms {
		b.ready[vm] = true
	}
	return b
}

// choose is the next VM; if none is ready, the next of all.
func (b *balancer) choose() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.vms {
		b.next++
		if vm := b.vms[b.next%len(b.vms)]; b.ready[vm] {
			return vm
		}
	}
	return b.vms[b.next%len(b.vms)]
}

func (b *balancer) setReady(vm string, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[vm] = ready
}

// probe asks all VMs at once; each answer counts as soon as it is there.
func (b *balancer) probe(ctx context.Context, client *http.Client) {
	for _, vm := range b.vms {
		go func() {
			limited, cancel := context.WithTimeout(ctx, balancerTimeout)
			defer cancel()
			b.setReady(vm, isReady(limited, client, vm))
		}()
	}
}

func isReady(ctx context.Context, client *http.Client, vm string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
