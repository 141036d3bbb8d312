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
	// inTurn serves queues strictly in turn.
	inTurn bool
	// countsEnds counts demand when requests end.
	countsEnds bool
	// urgency has engines preempt the less urgent.
	urgency bool
	// sendsUnsure sends requests to engines with stale loads without a reservation.
	sendsUnsure bool
	// exactLoads has gateways know the load of each engine.
	exactLoads bool
}

func noOptions(*simulation) []laburnumdirector.Option { return nil }

// today is the policy in production.
func today() Policy {
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

func (p Policy) with(change func(p *Policy)) Policy {
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
		today(),
		proportional(),
		hindsight(),
		today().named("no-quiet", "models that nobody asks for keep their copy").withDirector(laburnumdirector.WithQuietTime(never)),
		today().named("no-displacement", "last copies are evicted only where nobody asks for them").
			withDirector(planOptions(laburnumresidency.DefaultPolicy().WithDisplacement(false))),
		today().named("no-fill", "free memory stays free").
			withDirector(planOptions(laburnumresidency.DefaultPolicy().WithFill(false))),
		today().named("eager", "changes are made for any gain").
			withDirector(planOptions(laburnumresidency.DefaultPolicy().WithMinGain(smallGain))),
		today().named("evict-more", "copies are evicted for others with one and a half times their work").
			withDirector(planOptions(laburnumresidency.DefaultPolicy().WithEvictShare(largeShare))),
		today().named("slow-demand", "demand is followed within 1.5 s up and 6 s down").withDirector(laburnumdirector.WithDemandTimes(usualTime, slowTime)),
		today().named("fast-demand", "demand is followed within 0.5 s up and 0.75 s down").withDirector(laburnumdirector.WithDemandTimes(fastRise, fastFall)),
		today().named("long-wait", "requests wait for three quarters of their callers' patience").withWaitPolicy(laburnumslotqueue.DefaultPolicy().WithWaitShare(longWait)),
		today().named("soon", "refused callers are told to come back after half a second, or a second if no engine holds the model").
			withWaitPolicy(laburnumslotqueue.DefaultPolicy().WithRetryAfter(soonFull, soonAbsent)),
		today().named("engine-queue", "requests queue at engines up to a fifth of their slots, without reservations").
			with(func(p *Policy) { p.sendsUnsure = true }).withBalance(laburnumbalance.WithFreeShare(-engineQueue)),
		today().named("no-reservations", "requests are sent to engines with stale loads").with(func(p *Policy) { p.sendsUnsure = true }),
		today().named("in-turn", "the queue is served strictly in turn").with(func(p *Policy) { p.inTurn = true }),
		today().named("urgency", "engines preempt the less urgent for the more urgent").with(func(p *Policy) { p.urgency = true }),
		today().named("count-ends", "demand is counted when answers end").with(func(p *Policy) { p.countsEnds = true }),
	}
}

const (
	// never is longer than any day.
	never = 24 * time.Hour
	// The rest are figures of policies that are compared with today's.
	smallGain   = 0.05
	largeShare  = 0.66
	usualTime   = 1500 * time.Millisecond
	slowTime    = 6 * time.Second
	fastRise    = 500 * time.Millisecond
	fastFall    = 750 * time.Millisecond
	longWait    = 0.75
	engineQueue = 0.2
	soonFull    = 500 * time.Millisecond
	soonAbsent  = time.Second
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
