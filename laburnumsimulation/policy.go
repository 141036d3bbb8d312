package laburnumsimulation

import (
	"slices"
	"time"

	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumdirector"
	"laburnumlever/laburnumresidency"
	"laburnumlever/laburnumslotqueue"
)

// Policy is a set of options for placement, load balancing and queueing.
type Policy struct {
	// Name and Summary are for operators.
	Name, Summary string
	balance       []laburnumbalance.Option
	waitPolicy    laburnumslotqueue.Policy
	director      func(sim *simulation) []laburnumdirector.Option
	// strictOrder serves the gateways' queues strictly in order.
	strictOrder bool
	// countsAtEnd counts demand when requests end instead of when they arrive.
	countsAtEnd bool
	// preempts has engines preempt less urgent requests.
	preempts bool
	// skipsReservations sends requests without a reservation to engines whose load is not known
	// exactly.
	skipsReservations bool
	// servesCrashing has gateways serve requests that crash engines.
	servesCrashing bool
	// ignoresLimits has gateways ignore the limits that engines name.
	ignoresLimits bool
	// lostLinks is what gateways do whose links to all engines are lost.
	lostLinks lostLinksPolicy
	// ignoresBrittle has gateways send to brittle engines as to others.
	ignoresBrittle bool
	// ignoresRests has gateways take engines that ask for rest for full ones.
	ignoresRests bool
	// joinsVersions has a stream go on at engines of any software version.
	joinsVersions bool
	// exactLoads gives gateways the current load of each engine.
	exactLoads bool
}

func noOptions(*simulation) []laburnumdirector.Option { return nil }

// productionPolicy returns the policy used in production.
func productionPolicy() Policy {
	return Policy{
		Name: "today", Summary: "the policy in production", waitPolicy: laburnumslotqueue.DefaultPolicy(), director: noOptions,
	}
}

func (p Policy) named(name, summary string) Policy {
	p.Name, p.Summary = name, summary
	return p
}

func (p Policy) withDirector(opts ...laburnumdirector.Option) Policy {
	p.director = func(*simulation) []laburnumdirector.Option { return opts }
	return p
}

func (p Policy) modified(change func(p *Policy)) Policy {
	change(&p)
	return p
}

func (p Policy) withWaitPolicy(policy laburnumslotqueue.Policy) Policy {
	p.waitPolicy = policy
	return p
}

func (p Policy) withBalance(opts ...laburnumbalance.Option) Policy {
	p.balance = opts
	return p
}

// Policies returns all policies that can be compared: the production policy, experimental variants
// of it, and an upper bound.
func Policies() []Policy {
	return []Policy{
		productionPolicy(),
		proportional(),
		hindsight(),
		productionPolicy().named("no-quiet", "models without demand keep their copies").withDirector(laburnumdirector.WithQuietTime(never)),
		productionPolicy().named("no-displacement", "the last copy of a model is evicted only if the model has no demand").
			withDirector(planOptions(laburnumresidency.DefaultPolicy().WithDisplacement(false))),
		productionPolicy().named("no-fill", "free memory is not filled with further copies").
			withDirector(planOptions(laburnumresidency.DefaultPolicy().WithFill(false))),
		productionPolicy().named("eager", "layout changes are made for a small gain").
			withDirector(planOptions(laburnumresidency.DefaultPolicy().WithMinGain(eagerMinGain))),
		productionPolicy().named("evict-more", "a copy is evicted for one with 1.5 times its work").
			withDirector(planOptions(laburnumresidency.DefaultPolicy().WithEvictShare(evictMoreShare))),
		productionPolicy().named("slow-demand", "demand estimates rise within 1.5 s and fall within 6 s").withDirector(laburnumdirector.WithDemandTimes(defaultRise, slowFall)),
		productionPolicy().named("fast-demand", "demand estimates rise within 0.5 s and fall within 0.75 s").withDirector(laburnumdirector.WithDemandTimes(fastRise, fastFall)),
		productionPolicy().named("long-wait", "requests queue for three quarters of their callers' patience").withWaitPolicy(laburnumslotqueue.DefaultPolicy().WithWaitShare(longWaitShare)),
		productionPolicy().named("soon", "refused callers are told to retry after 0.5 s, or 1 s if no engine holds the model").
			withWaitPolicy(laburnumslotqueue.DefaultPolicy().WithRetryAfter(shortRetryFull, shortRetryAbsent)),
		productionPolicy().named("engine-queue", "requests queue at engines up to a fifth of their slots, without reservations").
			modified(func(p *Policy) { p.skipsReservations = true }).withBalance(laburnumbalance.WithFreeShare(-engineQueueShare)),
		productionPolicy().named("no-reservations", "requests are sent without a reservation to engines with stale loads").modified(func(p *Policy) { p.skipsReservations = true }),
		productionPolicy().named("in-turn", "queues are served strictly in order").modified(func(p *Policy) { p.strictOrder = true }),
		productionPolicy().named("urgency", "engines preempt less urgent requests for more urgent ones").modified(func(p *Policy) { p.preempts = true }),
		productionPolicy().named("no-quarantine", "requests that crash engines are served").modified(func(p *Policy) { p.servesCrashing = true }),
		productionPolicy().named("no-limits", "limits that engines name are ignored").modified(func(p *Policy) { p.ignoresLimits = true }),
		productionPolicy().named("forward", "a gateway without links to the engines passes whole requests on to another one").
			modified(func(p *Policy) { p.lostLinks = forwardToOthers }),
		productionPolicy().named("unready", "a gateway without links to the engines reports that it is not ready").
			modified(func(p *Policy) { p.lostLinks = reportUnready }),
		productionPolicy().named("no-help", "a gateway without links to the engines takes them for dead").
			modified(func(p *Policy) { p.lostLinks = takeServersForDead }),
		productionPolicy().named("no-leases", "requests are sent to brittle engines without leases").modified(func(p *Policy) { p.ignoresBrittle = true }),
		productionPolicy().named("no-rests", "engines that ask for rest count as full").modified(func(p *Policy) { p.ignoresRests = true }),
		productionPolicy().named("any-version", "streams go on at engines of any software version").modified(func(p *Policy) { p.joinsVersions = true }),
		productionPolicy().named("count-ends", "demand is counted when answers end").modified(func(p *Policy) { p.countsAtEnd = true }),
	}
}

const (
	// never disables a time limit: it is longer than any simulated day.
	never = 24 * time.Hour
	// Parameters of the variants.
	eagerMinGain     = 0.05
	evictMoreShare   = 0.66
	defaultRise      = 1500 * time.Millisecond
	slowFall         = 6 * time.Second
	fastRise         = 500 * time.Millisecond
	fastFall         = 750 * time.Millisecond
	longWaitShare    = 0.75
	engineQueueShare = 0.2
	shortRetryFull   = 500 * time.Millisecond
	shortRetryAbsent = time.Second
)

func planOptions(policy laburnumresidency.Policy) laburnumdirector.Option {
	return laburnumdirector.WithPlannerOptions(laburnumresidency.WithPolicy(policy))
}

// PolicyNamed returns the policy with the name. An error is an *UnknownPolicyError.
func PolicyNamed(name string) (Policy, error) {
	policies := Policies()
	i := slices.IndexFunc(policies, func(p Policy) bool { return p.Name == name })
	if i < 0 {
		var known []string
		for _, p := range policies {
			known = append(known, p.Name)
		}
		return Policy{}, &UnknownPolicyError{Name: name, Known: known}
	}
	return policies[i], nil
}
