package laburnumgateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumdemand"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumroutes"
	"laburnumlever/laburnumtimer"
	"laburnumlever/laburnumwaiting"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Fleet is what a gateway knows of backend servers and routes. It takes the feeds
// of the control VMs and may be used from any goroutine.
type Fleet struct {
	timers laburnumlever.Timers
	logger log.Logger
	index  atomic.Pointer[laburnumroutes.Index]
	// routed is closed once there are routes.
	routed chan struct{}

	mu       sync.Mutex
	registry *laburnumregistry.Table
	balance  *laburnumbalance.Table
	demand   *laburnumdemand.Counter
	adapters laburnumdemand.AdapterUses
	queue    laburnumwaiting.Queue
	paces    laburnumdemand.Paces
	// replaced are those not told of yet at whose address another has answered.
	replaced []laburnumlever.BackendID
	gateways int
}

var _ laburnumfeed.Sink = (*Fleet)(nil)

// FleetOption changes a new fleet.
type FleetOption func(*Fleet)

// WithFleetLogger sets the log; without it nothing is logged.
func WithFleetLogger(logger log.Logger) FleetOption { return func(f *Fleet) { f.logger = logger } }

// NewFleet makes an empty fleet for a VM. The seed makes choices repeatable; the
// period is that of the heartbeats.
func NewFleet(timers laburnumlever.Timers, vm laburnumlever.VM, period time.Duration, seed uint64, opts ...FleetOption) *Fleet {
	f := &Fleet{
		timers: timers, logger: log.NewNopLogger(), registry: laburnumregistry.New(period),
		balance: laburnumbalance.New(vm.Zone, seed), demand: laburnumdemand.NewCounter(vm.ID),
		gateways: 1, paces: laburnumdemand.Paces{}, routed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Learn takes what a control VM knows.
func (f *Fleet) Learn(_ string, a laburnumfeed.Answer) {
	now := f.timers.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gateways = max(f.gateways, a.Gateways)
	for _, r := range a.Backends {
		if !f.registry.Merge(r, now) {
			continue
		}
		merged, _ := f.registry.Record(r.Heartbeat.Backend)
		f.balance.Set(merged)
		_ = level.Debug(f.logger).Log("event", laburnumlever.EventBackendKnown, "backend", r.Heartbeat.Backend, "sequence", merged.Heartbeat.Sequence,
			"leaving", merged.Heartbeat.Leaving, "gone", merged.Gone, "silent", merged.Silent, "models", len(merged.Heartbeat.Models))
	}
	for _, o := range a.Overlays {
		f.balance.SetOverlay(o)
	}
	f.serveQueue()
}

// Lost says that a control VM does not answer; the others know the same.
func (f *Fleet) Lost(string) {}

// LearnRoutes takes a route table; one not newer changes nothing.
func (f *Fleet) LearnRoutes(t laburnumlever.RouteTable) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.RoutesVersion() >= t.Version {
		return
	}
	if f.index.Swap(laburnumroutes.NewIndex(t)) == nil {
		close(f.routed)
	}
	_ = level.Info(f.logger).Log("event", laburnumlever.EventRoutesInForce, "version", t.Version, "routes", len(t.Routes))
}

// awaitRoutes waits until there are routes, for the time given at most.
func (f *Fleet) awaitRoutes(ctx context.Context, wait time.Duration) {
	over, cancel := laburnumtimer.Passed(f.timers, wait)
	defer cancel()
	select {
	case <-f.routed:
	case <-over:
	case <-ctx.Done():
	}
}

// Sweep forgets the backend servers that are gone for long; they left the choice when they
// went.
func (f *Fleet) Sweep() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry.ForgetGone(f.timers.Now())
}

// RoutesVersion is the version in force here; 0 for none.
func (f *Fleet) RoutesVersion() uint64 {
	if x := f.index.Load(); x != nil {
		return x.Table().Version
	}
	return 0
}

// News is what callers asked for and which adapters they used since the last call, and
// the backend servers that take no connection.
func (f *Fleet) News() laburnumlever.GatewayNews {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	replaced := f.replaced
	f.replaced = nil
	return laburnumlever.GatewayNews{
		Demand: f.demand.Take(now, f.paces), Adapters: f.adapters.Take(now), Unreachable: f.balance.Unreachable(now), Replaced: replaced,
	}
}

// Ready tells whether the VM can serve: it has routes and knows a backend server.
func (f *Fleet) Ready() bool {
	x := f.index.Load()
	if x == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range x.Table().Services {
		if f.balance.Len(s.Name) > 0 {
			return true
		}
	}
	return false
}

// using notes that a request has a place.
func (f *Fleet) using(q *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.adapters.Begun(q.caller.Model, q.caller.Adapter)
}

// began notes that the first event of an answer has come.
func (f *Fleet) began(t *laburnumbalance.Ticket) {
	f.mu.Lock()
	defer f.mu.Unlock()
	took, tokens := f.balance.Began(t, f.timers.Now())
	f.paces.Add(t.Model(), took, tokens)
	f.serveQueue()
}

// release frees a place and learns from the attempt.
func (f *Fleet) release(q *request, t *laburnumbalance.Ticket, s laburnumbalance.Sample) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.adapters.Ended(q.caller.Model, q.caller.Adapter, f.timers.Now())
	f.balance.End(t, s, f.timers.Now())
	f.serveQueue()
}

func (f *Fleet) learnLoad(id laburnumlever.BackendID, marks laburnumlever.AnswerMarks) {
	if !marks.HasLoad {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balance.Learn(id, laburnumbalance.Sample{HasLoad: true, Running: marks.Running, Waiting: marks.Waiting}, f.timers.Now())
	f.serveQueue()
}

// gone notes that another backend server has the address now.
func (f *Fleet) gone(id laburnumlever.BackendID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.registry.Remove(id, f.timers.Now()) {
		f.replaced = append(f.replaced, id)
		r, _ := f.registry.Record(id)
		f.balance.Set(r)
		_ = level.Info(f.logger).Log("event", laburnumlever.EventBackendReplaced, "backend", id)
	}
}

func (f *Fleet) added(ids []laburnumlever.BackendID, model laburnumlever.ModelName, adapter laburnumlever.AdapterName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.balance.Added(id, model, adapter, f.timers.Now())
	}
	f.serveQueue()
}

// retryWaiting looks again for places for those that wait.
func (f *Fleet) retryWaiting() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serveQueue()
}

// asked counts a request that has come.
func (f *Fleet) asked(q *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demand.Asked(laburnumdemand.RequestOf(q.caller))
}

// refused counts that it was not answered.
func (f *Fleet) refused(q *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demand.Refused(laburnumdemand.RequestOf(q.caller))
}

// useless are the engines that hold a request's model and can't take it now.
func (f *Fleet) useless(q *request) []laburnumlever.BackendID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balance.Useless(f.query(q), f.timers.Now())
}

// query is what a server is chosen for; mu is held.
func (f *Fleet) query(q *request) laburnumbalance.Query {
	query := q.query()
	query.ReadTime = f.paces.Of(q.caller.Model)
	return query
}

// Gateways is how many gateways there are, the largest number ever heard of: while
// it changes, shares must not add up to more than the whole.
func (f *Fleet) Gateways() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gateways
}
