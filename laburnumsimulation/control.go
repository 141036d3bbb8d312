package laburnumsimulation

import (
	"context"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumconcurrency"
	"laburnumlever/laburnumdirector"
	"laburnumlever/laburnumeventloop"
	"laburnumlever/laburnumlimit"
	"laburnumlever/laburnumquarantine"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumstate"
	"laburnumlever/laburnumtimer"
)

const (
	// service is the name of the only service, that of the model engines.
	service laburnumlever.ServiceName = "models"
	// publishDelayPerVM times the number of gateways and the control VM is the least time between
	// two publications of a control VM.
	publishDelayPerVM = time.Millisecond
	// planDuration is the time of one run of the planner.
	planDuration = 3 * time.Millisecond
	// expirePeriod is the period of checks for engines whose heartbeats have stopped.
	expirePeriod = 500 * time.Millisecond
	leaseTime    = 3 * time.Second
	storeWindow  = 5 * time.Second
	// storeOvershoot is the factor by which loads in one window may exceed the rate of the weight
	// store.
	storeOvershoot = 1.1
)

// control models all control VMs as one: the registry, the director and publication to gateways.
type control struct {
	sim       *simulation
	loop      *laburnumeventloop.Loop
	director  *laburnumdirector.Director
	registry  *laburnumregistry.Table
	machine   *laburnumstate.Machine
	publisher *laburnumtimer.Coalescer
	// noQuorum makes every proposal fail, so that no lease can be acquired or renewed.
	noQuorum bool
	records  map[laburnumlever.BackendID]laburnumregistry.Record
	overlays map[laburnumlever.BackendID]laburnumregistry.Overlay
	detector *laburnumquarantine.Detector
	// quarantine are the entries that have not been published yet.
	quarantine []laburnumquarantine.Entry
	// keeper grants slots at limited engines; limits have not been published yet.
	keeper *laburnumlimit.Keeper
	limits []laburnumlimit.Limit
	// leases grants leases of brittle engines; brittle have not been published yet.
	leases  *laburnumconcurrency.Keeper
	brittle []laburnumconcurrency.Limit
}

// drainingTimers drains the control loop after each of the director's timers.
type drainingTimers struct {
	laburnumlever.Timers
	loop *laburnumeventloop.Loop
}

// Every implements laburnumlever.Timers.
func (t drainingTimers) Every(period time.Duration, fn func(now time.Time)) (cancel func()) {
	return t.Timers.Every(period, func(now time.Time) {
		fn(now)
		t.loop.Drain()
	})
}

// After implements laburnumlever.Timers.
func (t drainingTimers) After(d time.Duration, fn func(now time.Time)) (cancel func()) {
	return t.Timers.After(d, func(now time.Time) {
		fn(now)
		t.loop.Drain()
	})
}

func newControl(sim *simulation) *control {
	c := &control{
		sim: sim, loop: laburnumeventloop.New(), machine: laburnumstate.New(),
		registry: laburnumregistry.New(time.Duration(sim.scenario.Engines.Heartbeat)),
		records:  map[laburnumlever.BackendID]laburnumregistry.Record{}, overlays: map[laburnumlever.BackendID]laburnumregistry.Overlay{},
		detector: laburnumquarantine.NewDetector(), keeper: laburnumlimit.NewKeeper(), leases: laburnumconcurrency.NewKeeper(),
	}
	period := func() time.Duration { return time.Duration(len(sim.gateways)+1) * publishDelayPerVM }
	c.publisher = laburnumtimer.NewCoalescer(sim.timers, period, c.publish)
	later := func(d time.Duration) func(func()) {
		return func(call func()) {
			sim.after(d, func() {
				call()
				c.loop.Drain()
			})
		}
	}
	opts := append([]laburnumdirector.Option{
		laburnumdirector.WithLease(leaseTime), laburnumdirector.WithStore(storeWindow, storeOvershoot),
		laburnumdirector.WithHeartbeat(time.Duration(sim.scenario.Engines.Heartbeat)),
		laburnumdirector.WithClock(func() time.Duration { return time.Duration(sim.now().UnixNano()) }),
		laburnumdirector.WithSpawn(later(time.Duration(sim.scenario.Links.Far))), laburnumdirector.WithCompute(later(planDuration)),
	}, sim.policy.director(sim)...)
	c.director = laburnumdirector.New(c.loop, drainingTimers{Timers: sim.timers, loop: c.loop}, c, engineClient{sim: sim}, laburnumlever.VM{ID: "control", Incarnation: 1}, opts...)
	c.director.SetLeaderCheck(func() bool { return !c.noQuorum })
	c.director.OnOverlay(c.overlayChanged)
	c.director.SetRoutes(laburnumlever.RouteTable{Version: 1, Services: []laburnumlever.RoutedService{{Name: service, Engine: sim.engineClass()}}})
	c.director.Start()
	sim.timers.Every(expirePeriod, c.expire)
	return c
}

// Propose implements laburnumlever.Proposer.
func (c *control) Propose(_ context.Context, cmd laburnumlever.Command) (laburnumlever.Result, error) {
	if c.noQuorum {
		return laburnumlever.Result{}, &laburnumlever.NoQuorumError{Detail: "no leader"}
	}
	return c.machine.Apply(c.sim.now().UnixMilli(), cmd).Check(cmd.Kind)
}

// receiveHeartbeat records a heartbeat of an engine.
func (c *control) receiveHeartbeat(h laburnumlever.Heartbeat) {
	if c.registry.ApplyHeartbeat(h, c.sim.now()) {
		c.recordChanged(h.Backend)
	} else {
		c.director.SetHeartbeat(h)
	}
	c.loop.Drain()
}

func (c *control) remove(id laburnumlever.BackendID) {
	if c.registry.Remove(id, c.sim.now()) {
		c.recordChanged(id)
	}
	c.loop.Drain()
}

func (c *control) expire(now time.Time) {
	for _, id := range c.registry.MarkSilent(now) {
		c.recordChanged(id)
	}
	c.loop.Drain()
}

func (c *control) recordChanged(id laburnumlever.BackendID) {
	if r, ok := c.registry.Record(id); ok {
		c.records[id] = r
		c.director.SetRecord(r)
		c.publisher.Trigger()
	}
}

func (c *control) overlayChanged(o laburnumregistry.Overlay) {
	c.overlays[o.Backend] = o
	c.publisher.Trigger()
}

// publish sends what has changed to all gateways.
func (c *control) publish() {
	var records []laburnumregistry.Record
	var overlays []laburnumregistry.Overlay
	for _, e := range c.sim.engines { // in a fixed order, so that runs are deterministic
		if r, ok := c.records[e.id]; ok {
			records = append(records, r)
		}
		if o, ok := c.overlays[e.id]; ok {
			overlays = append(overlays, o)
		}
	}
	clear(c.records)
	clear(c.overlays)
	quarantine, limits, brittle := c.quarantine, c.limits, c.brittle
	c.quarantine, c.limits, c.brittle = nil, nil, nil
	c.sim.after(time.Duration(c.sim.scenario.Links.Far), func() {
		for _, g := range c.sim.gateways {
			g.receiveUpdates(records, overlays, quarantine, limits, brittle)
		}
	})
}

func (c *control) receiveReport(vm laburnumlever.VMID, report laburnumlever.GatewayReport) {
	c.director.SetGatewayReport(vm, report)
	c.loop.Drain()
}

// ensureAdapter asks the director for an adapter on behalf of a gateway.
func (c *control) ensureAdapter(zone laburnumlever.ZoneName, adapterRequest laburnumlever.AdapterRequest, reply func(ids []laburnumlever.BackendID)) {
	link := c.sim.link(zone, "")
	c.sim.after(link, func() {
		c.director.EnsureAdapterAsync(adapterRequest, func(ids []laburnumlever.BackendID, _ error) {
			c.sim.after(link, func() { reply(ids) })
		})
		c.loop.Drain()
	})
}
