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
	// window and overshoot bound the loads from the weight store.
	window    time.Duration
	overshoot float64
	logger    log.Logger
	scope     tally.Scope
	clock     func() time.Duration
	// heartbeat is the period of the engines' heartbeats.
	heartbeat time.Duration
	// spawn runs a call to another machine beside the control thread.
	spawn func(call func())
	// compute runs a round of planning beside the control thread.
	compute func(work func())
	// next plans a round.
	next Planner
	// rounds are options for each.
	rounds []laburnumresidency.Option
	// rise and fall are how fast the estimate of demand follows.
	rise, fall time.Duration
	// young is how long a copy stays at least.
	young time.Duration
	// quiet is after how long without a request nobody asks for a model.
	quiet time.Duration
}

// Planner names the next steps, as laburnumresidency.Next does.
type Planner func(class *laburnumlever.EngineClass, engines []laburnumresidency.Engine, demand laburnumresidency.Demand, adapters map[laburnumlever.ModelName]int, opts ...laburnumresidency.Option) []laburnumresidency.Step

// Option changes a new director.
type Option func(*config)

// WithLease sets how long the lease lasts, and how far apart two owners stay.
func WithLease(d time.Duration) Option { return func(c *config) { c.lease = d } }

// WithHeartbeat sets the period of the engines' heartbeats.
func WithHeartbeat(d time.Duration) Option { return func(c *config) { c.heartbeat = d } }

// WithStore sets the window in which the weight store's rate may be exceeded, and by
// which factor.
func WithStore(window time.Duration, overshoot float64) Option {
	return func(c *config) { c.window, c.overshoot = window, overshoot }
}

// WithLogger sets the log; without it nothing is logged.
func WithLogger(logger log.Logger) Option { return func(c *config) { c.logger = logger } }

// WithScope sets where counters go; without it they go nowhere.
func WithScope(scope tally.Scope) Option { return func(c *config) { c.scope = scope } }

// WithClock sets the clock that leases are measured by.
func WithClock(clock func() time.Duration) Option { return func(c *config) { c.clock = clock } }

// WithCompute sets how rounds of planning are run; without it each has a goroutine.
func WithCompute(compute func(work func())) Option { return func(c *config) { c.compute = compute } }

// WithPlanner sets what plans; without it laburnumresidency.Next does.
func WithPlanner(next Planner) Option { return func(c *config) { c.next = next } }

// WithPlannerOptions sets options for each round of planning.
func WithPlannerOptions(opts ...laburnumresidency.Option) Option {
	return func(c *config) { c.rounds = opts }
}

// WithDemandTimes sets how fast the estimate of demand follows, up and down.
func WithDemandTimes(rise, fall time.Duration) Option {
	return func(c *config) { c.rise, c.fall = rise, fall }
}

// WithYoungTime sets how long a copy stays at least.
func WithYoungTime(d time.Duration) Option { return func(c *config) { c.young = d } }

// WithQuietTime sets after how long without a request nobody asks for a model, so that it may be
// left without a copy.
func WithQuietTime(d time.Duration) Option { return func(c *config) { c.quiet = d } }

// WithSpawn sets how calls to other machines are run; without it each has a goroutine.
func WithSpawn(spawn func(call func())) Option { return func(c *config) { c.spawn = spawn } }
