package laburnumdirector

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumresidency"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

type config struct {
	lease time.Duration
	// storeWindow and storeOvershoot limit the loads from the weight store, as in WithStore.
	storeWindow    time.Duration
	storeOvershoot float64
	logger         log.Logger
	scope          tally.Scope
	clock          func() time.Duration
	// heartbeat is the period of the engines' heartbeats.
	heartbeat      time.Duration
	spawn          func(call func()) // runs remote calls off the control thread
	compute        func(work func()) // runs planning rounds off the control thread
	planner        Planner
	plannerOptions []laburnumresidency.Option // for each planning round
	// rise and fall are the time constants of the demand estimate.
	rise, fall time.Duration
	quiet      time.Duration // time without requests after which a model may lose its last copy
	tellsLoads bool          // in overlays
}

// Planner has the signature of laburnumresidency.NextSteps.
type Planner func(class *laburnumlever.EngineClass, engines []laburnumresidency.Engine, demand laburnumresidency.Demand, adapters map[laburnumlever.ModelName]int, opts ...laburnumresidency.Option) []laburnumresidency.Step

// Option configures a new director.
type Option func(*config)

// WithLease sets the least time between the orders of two directors; the default is 3 s.
func WithLease(d time.Duration) Option { return func(c *config) { c.lease = d } }

// WithHeartbeat sets the period of the engines' heartbeats; the default is 1 s.
func WithHeartbeat(d time.Duration) Option { return func(c *config) { c.heartbeat = d } }

// WithStore sets the factor by which loads may exceed the weight store's rate, averaged over a
// window.
func WithStore(window time.Duration, overshoot float64) Option {
	return func(c *config) { c.storeWindow, c.storeOvershoot = window, overshoot }
}

// WithLogger sets the logger; the default discards log lines.
func WithLogger(logger log.Logger) Option { return func(c *config) { c.logger = logger } }

// WithScope sets the metrics scope of the counters; the default discards them.
func WithScope(scope tally.Scope) Option { return func(c *config) { c.scope = scope } }

// WithClock sets the clock by which leases are measured; the default is the time since boot,
// including suspensions.
func WithClock(clock func() time.Duration) Option { return func(c *config) { c.clock = clock } }

// WithCompute sets the function that runs planning rounds; the default starts a goroutine for each.
func WithCompute(compute func(work func())) Option { return func(c *config) { c.compute = compute } }

// WithPlanner sets the planner; the default is laburnumresidency.NextSteps.
func WithPlanner(next Planner) Option { return func(c *config) { c.planner = next } }

// WithPlannerOptions sets the options passed to the planner in each round.
func WithPlannerOptions(opts ...laburnumresidency.Option) Option {
	return func(c *config) { c.plannerOptions = opts }
}

// WithDemandTimes sets the time constants of the demand estimate for rising and falling demand.
func WithDemandTimes(rise, fall time.Duration) Option {
	return func(c *config) { c.rise, c.fall = rise, fall }
}

// WithQuietTime sets the time without requests after which a model may lose its last copy.
func WithQuietTime(d time.Duration) Option { return func(c *config) { c.quiet = d } }

// WithLoadsTold adds to overlays which models engines load and when the loads are expected to end.
func WithLoadsTold(told bool) Option { return func(c *config) { c.tellsLoads = told } }

// WithSpawn sets the function that runs remote calls; the default starts a goroutine for each.
func WithSpawn(spawn func(call func())) Option { return func(c *config) { c.spawn = spawn } }
