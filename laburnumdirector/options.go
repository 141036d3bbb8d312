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
	// storeWindow and overshoot bound the loads from the weight store.
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
	quiet      time.Duration // without requests, after which a model may lose its last copy
}

// Planner has the signature of laburnumresidency.Next.
type Planner func(class *laburnumlever.EngineClass, engines []laburnumresidency.Engine, demand laburnumresidency.Demand, adapters map[laburnumlever.ModelName]int, opts ...laburnumresidency.Option) []laburnumresidency.Step

// Option changes a new director.
type Option func(*config)

// WithLease sets the least time between the orders of two owners.
func WithLease(d time.Duration) Option { return func(c *config) { c.lease = d } }

// WithHeartbeat sets the period of the engines' heartbeats.
func WithHeartbeat(d time.Duration) Option { return func(c *config) { c.heartbeat = d } }

// WithStore sets the window in which the weight store's rate may be exceeded, and by
// which factor.
func WithStore(window time.Duration, overshoot float64) Option {
	return func(c *config) { c.storeWindow, c.storeOvershoot = window, overshoot }
}

// WithLogger sets the log; without it nothing is logged.
func WithLogger(logger log.Logger) Option { return func(c *config) { c.logger = logger } }

// WithScope sets where counters go; without it they go nowhere.
func WithScope(scope tally.Scope) Option { return func(c *config) { c.scope = scope } }

// WithClock sets the clock that leases are measured by.
func WithClock(clock func() time.Duration) Option { return func(c *config) { c.clock = clock } }

// WithCompute sets how planning rounds are run; the default is a goroutine each.
func WithCompute(compute func(work func())) Option { return func(c *config) { c.compute = compute } }

// WithPlanner sets the planner; the default is laburnumresidency.Next.
func WithPlanner(next Planner) Option { return func(c *config) { c.planner = next } }

// WithPlannerOptions sets options for each planning round.
func WithPlannerOptions(opts ...laburnumresidency.Option) Option {
	return func(c *config) { c.plannerOptions = opts }
}

// WithDemandTimes sets the time constants of the demand estimate, up and down.
func WithDemandTimes(rise, fall time.Duration) Option {
	return func(c *config) { c.rise, c.fall = rise, fall }
}

// WithQuietTime sets the time without requests after which a model may lose its last copy.
func WithQuietTime(d time.Duration) Option { return func(c *config) { c.quiet = d } }

// WithSpawn sets how remote calls are run; the default is a goroutine each.
func WithSpawn(spawn func(call func())) Option { return func(c *config) { c.spawn = spawn } }
