package laburnumgateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumconcurrency"
	"laburnumlever/laburnumconnections"
	"laburnumlever/laburnumdemand"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumlimit"
	"laburnumlever/laburnumpace"
	"laburnumlever/laburnumquarantine"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumreturn"
	"laburnumlever/laburnumroom"
	"laburnumlever/laburnumroutes"
	"laburnumlever/laburnumslotqueue"
	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// maxUnclearLoads bounds the backend servers of which it is noted that they tell an unreadable load.
const maxUnclearLoads = 4096

// Fleet is a gateway's view of backend servers and routes, updated by the feeds of the control
// VMs. It is safe for concurrent use.
type Fleet struct {
	vm     laburnumlever.VMID
	zone   laburnumlever.ZoneName
	timers laburnumlever.Timers
	logger log.Logger
	index  atomic.Pointer[laburnumroutes.Index]
	keys   keys
	quota  quota
	// routesLoaded is closed when the first route table arrives.
	routesLoaded chan struct{}

	mu        sync.Mutex
	registry  *laburnumregistry.Table
	balance   *laburnumbalance.Table
	demand    *laburnumdemand.Counter
	adapters  laburnumdemand.AdapterUses
	queue     laburnumslotqueue.Queue
	readTimes laburnumdemand.ReadTimes
	// replaced lists backend servers whose address now belongs to another one and that have not
	// been reported yet.
	replaced []laburnumlever.BackendStart
	// leavers are those that have said in an answer that they leave, and have not been reported yet.
	leavers  []laburnumlever.BackendStart
	gateways int // the largest number seen
	// linksDoubted is set while failures to connect may be those of this VM's own links.
	linksDoubted atomic.Bool
	// quarantine lists requests that crash backend servers. quarantineListed is set unless it is
	// empty.
	quarantine       *laburnumquarantine.List
	quarantineListed atomic.Bool
	answered         *laburnumquarantine.Answered
	partAnswers      *laburnumquarantine.PartAnswers
	reporter         QuarantineReporter
	trialKeepers     TrialKeepers
	// trials are the requests of which a copy is under way that must be alone.
	trials map[laburnumlever.RequestDigest]struct{}
	// limits are those that backend servers name.
	limits         *laburnumlimit.Table
	brittle        *laburnumconcurrency.Table
	keepers        LimitKeepers
	connections    connections
	streams        *streams
	sharedMachines laburnumlever.SharedMachines
	returns        returns
	remembered     remembered
	// paces are the services of which a backend server has told its pace.
	paces map[laburnumlever.ServiceName]*laburnumpace.Service
	// room holds what less urgent requests leave free, roomMeter what requests ask for and get.
	room      *laburnumroom.Table
	roomMeter *laburnumroom.Meter
	// unclearLoads are the backend servers of which an unreadable load was logged.
	unclearLoads map[laburnumlever.BackendID]struct{}
	// queueWoken is closed when queued requests must check whether they can still be served.
	queueWoken chan struct{}
}

var _ laburnumfeed.Sink = (*Fleet)(nil)

// FleetOption changes a new fleet.
type FleetOption func(*Fleet)

// WithFleetLogger sets the logger; by default nothing is logged.
func WithFleetLogger(logger log.Logger) FleetOption { return func(f *Fleet) { f.logger = logger } }

// WithSharedMachines switches on decisions for services whose backend servers tell their pace; by default all are off.
func WithSharedMachines(decisions laburnumlever.SharedMachines) FleetOption {
	return func(f *Fleet) { f.sharedMachines = decisions }
}

// NewFleet returns an empty fleet for a gateway on vm. Period is the interval of heartbeats; seed
// makes the balancer's random choices reproducible.
func NewFleet(timers laburnumlever.Timers, vm laburnumlever.VM, period time.Duration, seed uint64, opts ...FleetOption) *Fleet {
	f := &Fleet{
		vm: vm.ID, zone: vm.Zone, timers: timers, logger: log.NewNopLogger(), registry: laburnumregistry.New(period),
		balance: laburnumbalance.New(vm.Zone, seed), demand: laburnumdemand.NewCounter(vm.ID),
		gateways: 1, keys: newKeys(), readTimes: laburnumdemand.ReadTimes{}, routesLoaded: make(chan struct{}),
		quarantine: laburnumquarantine.NewList(), answered: laburnumquarantine.NewAnswered(), partAnswers: laburnumquarantine.NewPartAnswers(), reporter: silentReporter{},
		trialKeepers: noTrialKeepers{}, trials: map[laburnumlever.RequestDigest]struct{}{},
		limits: laburnumlimit.NewTable(vm.ID), brittle: laburnumconcurrency.NewTable(vm.ID), keepers: noKeepers{}, queueWoken: make(chan struct{}), streams: newStreams(timers.Now()),
		connections:  connections{keepers: noConnectionKeepers{}, table: laburnumconnections.NewTable(vm)},
		returns:      returns{loads: laburnumreturn.Loads{Lag: period}},
		remembered:   newRemembered(timers.Now(), period),
		unclearLoads: map[laburnumlever.BackendID]struct{}{}, paces: map[laburnumlever.ServiceName]*laburnumpace.Service{},
		room: laburnumroom.NewTable(), roomMeter: laburnumroom.NewMeter(vm, timers.Now()),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// HandleAnswer merges the answer of a control VM's feed.
func (f *Fleet) HandleAnswer(address string, a laburnumfeed.Answer) {
	now := f.timers.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gateways = max(f.gateways, a.Gateways)
	f.balance.SetGateways(f.gateways)
	f.connections.table.SetGateways(f.gateways)
	versions := map[laburnumlever.ServiceName][]laburnumlever.SoftwareVersion{}
	f.applyRemembered(a.Remembered, now)
	for _, r := range a.Backends {
		delete(f.remembered.ids, r.Heartbeat.Backend)
		if _, noted := versions[r.Heartbeat.Service]; !noted {
			versions[r.Heartbeat.Service] = f.registry.Software(r.Heartbeat.Service)
		}
		if !f.registry.Merge(r, now) {
			continue
		}
		merged, _ := f.registry.Record(r.Heartbeat.Backend)
		f.updateBackend(merged)
		_ = level.Debug(f.logger).Log("event", laburnumlever.EventBackendChanged, "backend", r.Heartbeat.Backend, "software", merged.Heartbeat.Software, "sequence", merged.Heartbeat.Sequence,
			"leaving", merged.Heartbeat.Leaving, "gone", merged.Gone, "silent", merged.Silent, "models", len(merged.Heartbeat.Models))
	}
	for _, o := range a.Overlays {
		f.balance.SetOverlay(o, now)
		f.noteLoads(o, now)
	}
	f.noteVersions(versions)
	f.noteAnswer(address, a)
	f.applyQuarantine(address, a.Boot, a.Quarantine, now)
	f.applyLimits(a.Limits, now)
	f.applyBrittle(a.Brittle, now)
	f.applyRoom(a.Room, now)
	f.serveQueue()
}

// ControlLost does nothing when a feed breaks off, as the other control VMs have the same state.
func (f *Fleet) ControlLost(string) {}

// HandleRoutes puts a route table into effect if it is newer than the current one.
func (f *Fleet) HandleRoutes(t laburnumlever.RouteTable) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x := f.index.Load(); x != nil && (x.Table().Version > t.Version || x.Table().Version == t.Version && x.Table().Format >= t.Format) {
		return
	}
	if t.Format < laburnumlever.TableFormat {
		_ = level.Warn(f.logger).Log("event", laburnumlever.EventAccountsUnknown, "version", t.Version)
	}
	if f.index.Swap(laburnumroutes.NewIndex(t)) == nil {
		close(f.routesLoaded)
	}
	f.keys.setVersion(t.Version)
	f.quota.setAccounts(t.Accounts)
	f.setConnectionLimits(t)
	f.keepConfirmed()
	_ = level.Info(f.logger).Log("event", laburnumlever.EventRoutesInEffect, "version", t.Version, "routes", len(t.Routes))
}

// awaitRoutes waits for the first route table, at most for the given time.
func (f *Fleet) awaitRoutes(ctx context.Context, wait time.Duration) {
	over, cancel := laburnumtimer.AfterChannel(f.timers, wait)
	defer cancel()
	select {
	case <-f.routesLoaded:
	case <-over:
	case <-ctx.Done():
	}
}

// Sweep drops old tombstones of backend servers and requests whose quarantine is over.
func (f *Fleet) Sweep() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry.PruneTombstones(f.timers.Now())
	f.quarantine.Sweep(f.timers.Now())
	f.quarantineListed.Store(!f.quarantine.Empty())
}

// RoutesVersion returns the version of the route table in effect; 0 for none.
func (f *Fleet) RoutesVersion() uint64 {
	if x := f.index.Load(); x != nil {
		return x.Table().Version
	}
	return 0
}

// GatewayReport returns the gateway's report to the control VMs: demand, adapter use, failures and replaced
// backend servers since the last call, and the backend servers that can't be connected to.
func (f *Fleet) GatewayReport() laburnumlever.GatewayReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	replaced, leavers := f.replaced, f.leavers
	var replacedIDs []laburnumlever.BackendID
	for _, r := range replaced {
		replacedIDs = append(replacedIDs, r.Backend)
	}
	f.replaced, f.leavers = nil, nil
	unreachable := f.balance.Unreachable(now)
	if f.linksDoubted.Load() {
		unreachable = nil
	}
	return laburnumlever.GatewayReport{
		Demand: f.demand.Take(now, f.readTimes), Adapters: f.adapters.Take(now), Unreachable: unreachable, Replaced: replacedIDs, ReplacedStarts: replaced,
		Outcomes: f.balance.Outcomes(), Leaving: leavers, Room: f.roomMeter.Take(now),
	}
}

// Status returns the state of the fleet as the gateway knows it, and the length of its queue.
func (f *Fleet) Status() laburnumlever.RoleStatus {
	x := f.index.Load()
	f.mu.Lock()
	defer f.mu.Unlock()
	status := laburnumlever.RoleStatus{Gateways: f.gateways, Queued: f.queue.Len(), Room: f.room.Status(f.timers.Now())}
	if x != nil {
		status.RoutesVersion = x.Table().Version
		status.Services = f.registry.Summary(x.Table().Services)
		for i, s := range status.Services {
			status.Services[i].Resting = f.balance.Resting(s.Service, f.timers.Now())
			status.Services[i].Slow = f.balance.SlowServers(s.Service, f.timers.Now())
			status.Services[i].Connections = f.connectionsStatus(s.Service)
		}
		status.Keys = f.keys.status(x)
	}
	return status
}

// Ready tells whether the gateway can serve: it has routes and knows a backend server for one of
// their services.
func (f *Fleet) Ready() bool {
	x := f.index.Load()
	if x == nil || !f.servesKeys(x) {
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

// beginAdapterUse counts the start of an attempt as a use of its adapter.
func (f *Fleet) beginAdapterUse(q *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.adapters.RequestStarted(q.caller.Model, q.caller.Adapter)
}

// recordFirstEvent records the time to the first event of an answer.
func (f *Fleet) recordFirstEvent(t *laburnumbalance.Ticket) {
	f.mu.Lock()
	defer f.mu.Unlock()
	took, tokens := f.balance.AnswerStarted(t, f.timers.Now())
	f.readTimes.Add(t.Model(), took, tokens)
	f.serveQueue()
}

// release frees the slot of an attempt and records its outcome.
func (f *Fleet) release(q *request, t *laburnumbalance.Ticket, result laburnumbalance.AttemptResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.adapters.RequestEnded(q.caller.Model, q.caller.Adapter, f.timers.Now())
	f.balance.End(t, result, f.timers.Now())
	f.noteHeld(q, result)
	f.serveQueue()
}

// updateLoad updates the load of a backend server from the headers of an answer.
func (f *Fleet) updateLoad(to laburnumlever.Heartbeat, headers laburnumlever.AnswerHeaders) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := to.Backend
	f.noteLoadError(id, headers.LoadError)
	f.notePace(to, headers)
	if !headers.HasLoad {
		return
	}
	f.balance.Observe(id, laburnumbalance.AttemptResult{HasLoad: true, Running: headers.Running, Waiting: headers.Waiting}, f.timers.Now())
	f.serveQueue()
}

// sharesMachines reports whether backend servers of a service have told their pace. The caller must hold mu.
func (f *Fleet) sharesMachines(service laburnumlever.ServiceName) bool {
	_, ok := f.paces[service]
	return ok
}

// noteLoadError logs that a backend server tells a load which can't be read, once for each server. The caller must hold mu.
func (f *Fleet) noteLoadError(id laburnumlever.BackendID, cause error) {
	if cause == nil {
		return
	}
	if _, noted := f.unclearLoads[id]; noted {
		return
	}
	if len(f.unclearLoads) >= maxUnclearLoads {
		clear(f.unclearLoads)
	}
	f.unclearLoads[id] = struct{}{}
	_ = level.Warn(f.logger).Log("event", laburnumlever.EventLoadUnclear, "backend", id, "cause", cause)
}

// removeReplaced removes a backend server whose address now belongs to another one.
func (f *Fleet) removeReplaced(to laburnumlever.Heartbeat) {
	id := to.Backend
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.registry.RemoveStart(id, to.Incarnation, f.timers.Now()) {
		f.replaced = append(f.replaced, laburnumlever.BackendStart{Backend: id, Incarnation: to.Incarnation})
		r, _ := f.registry.Record(id)
		f.updateBackend(r)
		_ = level.Info(f.logger).Log("event", laburnumlever.EventBackendReplaced, "backend", id)
	}
}

// addAdapter records that engines have loaded an adapter.
func (f *Fleet) addAdapter(ids []laburnumlever.BackendID, model laburnumlever.ModelName, adapter laburnumlever.AdapterName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.balance.ModelLoaded(id, model, adapter, f.timers.Now())
	}
	f.serveQueue()
}

// scheduleQueueRetry serves the queue again when the balancer retries engines that refused a
// reservation.
func (f *Fleet) scheduleQueueRetry() {
	f.mu.Lock()
	wait := f.balance.RetryTime() + laburnumbalance.RetrySlack
	f.mu.Unlock()
	f.timers.After(wait, func(time.Time) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.serveQueue()
	})
}

// countDemand adds a request to the demand for its model.
func (f *Fleet) countDemand(q *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demand.Received(laburnumdemand.RequestOf(q.caller))
}

// countRefusedDemand adds a refused request to the demand for its model.
func (f *Fleet) countRefusedDemand(q *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demand.Refused(laburnumdemand.RequestOf(q.caller))
}

// unusableEngines returns the engines that hold the request's model but are full or unreachable.
func (f *Fleet) unusableEngines(q *request) []laburnumlever.BackendID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balance.Unavailable(f.query(q), f.timers.Now())
}

// query returns the query for the balancer. The caller must hold mu.
func (f *Fleet) query(q *request) laburnumbalance.Query {
	query := q.query()
	query.ReadTime = f.readTimes.Of(q.caller.Model)
	query.ExceptSoftware = f.settlingVersions(q)
	f.addPace(&query)
	query.Rank = f.headroomRank(q)
	query.Connections = f.allowedConnections(q.service.Name)
	return query
}

// Gateways returns the largest number of gateways seen. Limits are divided by the largest number so
// that the shares of all gateways don't exceed the whole while the number changes.
func (f *Fleet) Gateways() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gateways
}
