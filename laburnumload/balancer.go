package laburnumload

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// The platform's balancer probes each VM's readiness with this period and timeout. A VM
// that fails a probe gets no requests until a probe succeeds.
const (
	balancerPeriod  = 500 * time.Millisecond
	balancerTimeout = 400 * time.Millisecond
)

// balancer is a round-robin balancer over the VMs whose last probe succeeded, like the
// platform's. Between two probes it still sends requests to VMs that have died, so the
// load tool sees the same errors as real callers. It is safe for use by many goroutines.
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

// choose returns the next ready VM or, if none is ready, the next of all VMs.
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

// probe starts a readiness probe of every VM and does not wait for the results.
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
