package laburnumsoak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"laburnumlever/laburnumstandin"
)

const (
	// maxRest is the longest rest that a backend server asks for, and leaveTime how long one that says in its answers that it
	// leaves goes on to serve and to announce itself as ready.
	maxRest, leaveTime = 2 * time.Second, 3 * time.Second
	// excuseTime is the time after a fault of a VM in which it may send servers more than they asked for: as long as a VM can
	// have been told before the fault.
	excuseTime = leaveTime + maxRest
)

// disturbances records faults of VMs, by IP address. It is safe for concurrent use.
type disturbances struct {
	mu     sync.Mutex
	active map[string]int
	ended  map[string]time.Time
}

// begin records a fault of a VM and returns what ends it.
func (d *disturbances) begin(vm string) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active == nil {
		d.active, d.ended = map[string]int{}, map[string]time.Time{}
	}
	d.active[vm]++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.active[vm]--
		d.ended[vm] = time.Now()
	}
}

// excuse reports whether a VM has, or had lately, a fault.
func (d *disturbances) excuse(vm string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active[vm] > 0 || time.Since(d.ended[vm]) < excuseTime
}

// disturb records a fault of the gateway with a name; other processes have none that matters.
func (f *fleet) disturb(name string) (end func()) {
	for i, p := range f.gateways {
		if p.name == name {
			return f.disturbances.begin(fmt.Sprintf("%s.%d", f.net, firstGateway+i))
		}
	}
	return func() {}
}

// serverBroken records that a VM without a fault sent a backend server more than it asked for.
func (f *fleet) serverBroken(server, text string) {
	if vm, _, _ := strings.Cut(text, " "); !f.disturbances.excuse(vm) {
		f.record.violated("%s: %s", server, text)
	}
}

// restAt has one server of the service of two software versions rest twice, the second time for longer than it asks for at once.
func (x *faultInjector) restAt(i int, random *rand.Rand) {
	p := x.fleet.drafts[i]
	rest := time.Duration(random.Int64N(int64(maxRest)))
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.busyProcesses[p] || !x.fleet.cfg.releasesVersions() {
		return
	}
	x.busyProcesses[p] = true
	x.history = append(x.history, fmt.Sprintf("%.1f s rest %s for %s", time.Since(x.start).Seconds(), p.name, rest))
	x.wg.Go(func() {
		x.fleet.put(p, laburnumstandin.RestPath, strconv.FormatFloat(rest.Seconds(), 'f', 2, 64))
		time.Sleep(2 * rest)
		x.fleet.put(p, laburnumstandin.RestPath, "")
		x.release(p, nil)
	})
}
