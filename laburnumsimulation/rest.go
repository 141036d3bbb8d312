package laburnumsimulation

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumretry"
)

// restNotice is the time after which a gateway must keep a rest that an engine asked it for.
const restNotice = 500 * time.Millisecond

// rest is what an engine asks gateways for that it turns away.
type rest struct {
	length time.Duration
	// asked are the gateways that were asked.
	asked map[laburnumlever.VMID]*askedRest
}

// askedRest is a rest that one gateway was asked for.
type askedRest struct {
	at, until time.Time
	arrivals  int
}

// turnAway has the engine turn all requests away for a time and ask for rests of a length.
func (e *engine) turnAway(length, span time.Duration) {
	r := &rest{length: length, asked: map[laburnumlever.VMID]*askedRest{}}
	e.rest = r
	e.sim.after(span, func() {
		if e.rest == r {
			e.rest = nil
		}
	})
}

// turnsAway counts a request of a gateway, and returns the rest that the engine asks for if it turns the request away; 0 if not.
func (e *engine) turnsAway(g laburnumlever.VMID) time.Duration {
	if e.rest == nil {
		return 0
	}
	now := e.sim.now()
	a := e.rest.asked[g]
	if a != nil && now.After(a.at.Add(restNotice)) && now.Before(a.until) {
		a.arrivals++
		e.sim.outcome.InRest = max(e.sim.outcome.InRest, a.arrivals)
	}
	if a == nil || !now.Before(a.until) {
		e.rest.asked[g] = &askedRest{at: now, until: now.Add(e.rest.length)}
	}
	return e.rest.length
}

// onTurnedAway handles an engine's wish for rest: the request did not run.
func (a *attempt) onTurnedAway(r *run, length time.Duration) {
	if a.finished || a.run != r {
		return
	}
	g := a.gateway
	ignores := a.sim().policy.ignoresRests
	if !ignores {
		if end, longer := g.table.Rest(a.ticket.Backend, length, a.sim().now()); longer {
			a.sim().after(end.Sub(a.sim().now()), g.serveQueue)
		}
	}
	a.release(laburnumbalance.AttemptResult{Full: ignores, Rested: !ignores})
	a.retry(laburnumretry.StageNotRun, "resting")
}

// refusedForRest refuses a request at once if all engines that could serve it rest until later than it can wait, and reports
// whether it did.
func (a *attempt) refusedForRest(query laburnumbalance.Query, verdict laburnumbalance.Verdict, until time.Time) bool {
	now := a.sim().now()
	end, resting := a.gateway.table.RestsUntil(query, now)
	if verdict != laburnumbalance.Resting || !resting || end.Before(until) || a.started {
		return false
	}
	a.finished = true
	a.gateway.countEnd(a.request, false)
	a.request.onRefused(a, end.Sub(now), "resting")
	return true
}
