package laburnumsimulation

import (
	"fmt"
	"slices"
	"time"

	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumdirector"
	"laburnumlever/laburnumwaiting"
)

// Policy is a way to place, balance and queue.
type Policy struct {
	// Name and Summary are for operators.
	Name, Summary string
	balance       []laburnumbalance.Option
	terms         laburnumwaiting.Terms
	inTurn        bool
	// countsEnds counts demand when requests end.
	countsEnds bool
	director      func(sim *simulation) []laburnumdirector.Option
}

func noOptions(*simulation) []laburnumdirector.Option { return nil }

// today is the policy in production.
func today() Policy {
	return Policy{
		Name: "today", Summary: "the policy in production", terms: laburnumwaiting.DefaultTerms(), director: noOptions,
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

func (p Policy) withTerms(terms laburnumwaiting.Terms) Policy {
	p.terms = terms
	return p
}

func (p Policy) withBalance(opts ...laburnumbalance.Option) Policy {
	p.balance = opts
	return p
}

// Policies are all that can be compared.
func Policies() []Policy {
	slowDown, fastUp := 6*time.Second, 1500*time.Millisecond
	policies := []Policy{
		today(),
		today().named("slow-demand", "demand is followed within 6 s down and 1.5 s up").withDirector(laburnumdirector.WithDemandTimes(fastUp, slowDown)),
		today().named("long-wait", "requests wait for three quarters of their callers' patience").withTerms(laburnumwaiting.DefaultTerms().WithWait(0.75)),
		today().named("engine-queue", "requests queue at engines up to a fifth of their slots").withBalance(laburnumbalance.WithFreeShare(-0.2)),
	}
	for _, q := range []int{2, 4, 7, 15, 1000} {
		policies = append(policies, today().named(fmt.Sprintf("quiet-%d", q), "trial").withDirector(laburnumdirector.WithQuietTime(time.Duration(q)*time.Second)))
	}
	ends := today().named("count-ends", "demand is counted when answers end")
	ends.countsEnds = true
	policies = append(policies, ends)
	turn := today().named("in-turn", "the queue is served strictly in turn")
	turn.inTurn = true
	return append(policies, turn)
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
