package laburnumsimulation

import (
	"slices"
	"time"

	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumdirector"
	"laburnumlever/laburnumresidency"
	"laburnumlever/laburnumslotqueue"
)

// Policy is a way to place, balance and queue.
type Policy struct {
	// Name and Summary are for operators.
	Name, Summary string
	balance       []laburnumbalance.Option
	waitPolicy    laburnumslotqueue.Policy
	director      func(sim *simulation) []laburnumdirector.Option
	// strictOrder serves queues strictly in turn.
	strictOrder bool
	// countsAtEnd counts demand when requests end.
	countsAtEnd bool
	// preempts has engines preempt the less urgent.
	preempts bool
	// skipsReservations sends requests to engines with stale loads without a reservation.
	skipsReservations bool
	// exactLoads has gateways know the load of each engine.
	exactLoads bool
}

func noOptions(*simulation) []laburnumdirector.Option { return nil }

// productionPolicy is the policy in production.
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

// Policies are all that can be compared: the one in production, others that were tried, and
// bounds.
func Policies() []Policy {
	return []Policy{
		productionPolicy(),
		proportional(),
		hindsight(),
		productionPolicy().named("no-quiet", "models that nobody asks for keep their copy").withDirector(laburnumdirector.WithQuietTime(never)),
		productionPolicy().named("no-displacement", "last copies are evicted only where nobody asks for them").
			withDirector(planOptions(laburnumresidency.DefaultPolicy().WithDisplacement(false))),
		productionPolicy().named("no-fill", "free memory stays free").
			withDirector(planOptions(laburnumresidency.DefaultPolicy().WithFill(false))),
		productionPolicy().named("eager", "changes are made for any gain").
			withDirector(planOptions(laburnumresidency.DefaultPolicy().WithMinGain(eagerMinGain))),
		productionPolicy().named("evict-more", "copies are evicted for others with one and a half times their work").
			withDirector(planOptions(laburnumresidency.DefaultPolicy().WithEvictShare(evictMoreShare))),
		productionPolicy().named("slow-demand", "demand is followed within 1.5 s up and 6 s down").withDirector(laburnumdirector.WithDemandTimes(defaultRise, slowFall)),
		productionPolicy().named("fast-demand", "demand is followed within 0.5 s up and 0.75 s down").withDirector(laburnumdirector.WithDemandTimes(fastRise, fastFall)),
		productionPolicy().named("long-wait", "requests wait for three quarters of their callers' patience").withWaitPolicy(laburnumslotqueue.DefaultPolicy().WithWaitShare(longWaitShare)),
		productionPolicy().named("soon", "refused callers are told to come back after half a second, or a second if no engine holds the model").
			withWaitPolicy(laburnumslotqueue.DefaultPolicy().WithRetryAfter(shortRetryFull, shortRetryAbsent)),
		productionPolicy().named("engine-queue", "requests queue at engines up to a fifth of their slots, without reservations").
			modified(func(p *Policy) { p.skipsReservations = true }).withBalance(laburnumbalance.WithFreeShare(-engineQueueShare)),
		productionPolicy().named("no-reservations", "requests are sent to engines with stale loads").modified(func(p *Policy) { p.skipsReservations = true }),
		productionPolicy().named("in-turn", "the queue is served strictly in turn").modified(func(p *Policy) { p.strictOrder = true }),
		productionPolicy().named("urgency", "engines preempt the less urgent for the more urgent").modified(func(p *Policy) { p.preempts = true }),
		productionPolicy().named("count-ends", "demand is counted when answers end").modified(func(p *Policy) { p.countsAtEnd = true }),
	}
}

const (
	// never is longer than any day.
	never = 24 * time.Hour
	// The rest are figures of policies that are compared with today's.
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

// PolicyNamed finds a policy. An error is an *UnknownPolicyError.
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
