package laburnumsimulation

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumreachability"
	"laburnumlever/laburnumretry"
)

const (
	// linkCheckPeriod and linkProbeTimeout are those of laburnumgateway, restoreChecks the number of checks between probes of
	// lost links.
	linkCheckPeriod  = 250 * time.Millisecond
	linkProbeTimeout = 300 * time.Millisecond
	restoreChecks    = 2
	// balancerNoticeTime is the time until the load balancer has noticed that a gateway is not ready.
	balancerNoticeTime = 2 * time.Second
)

// lostLinksPolicy is what a gateway does whose links to all engines are lost.
type lostLinksPolicy int

const (
	// connectThroughOthers opens connections through other gateways.
	connectThroughOthers lostLinksPolicy = iota
	// forwardToOthers passes whole requests on to another gateway.
	forwardToOthers
	// reportUnready has the load balancer send callers elsewhere.
	reportUnready
	// takeServersForDead backs off from all engines.
	takeServersForDead
)

// links is what a gateway knows of its links to the engines.
type links struct {
	monitor *laburnumreachability.Monitor
	// cut is set while the links are lost, hang if connections then hang.
	cut, hang bool
	checks    int
	// unready is when the gateway reported that it is not ready; zero if it is ready.
	unready time.Time
}

// loseLinks has a share of the gateways lose their links to all engines for a time.
func (sim *simulation) loseLinks(ev Event, span time.Duration) {
	order := sim.random.Perm(len(sim.gateways))
	for _, i := range order[:int(ev.Share*float64(len(order))+0.5)] { //nolint:mnd // rounds
		g := sim.gateways[i]
		g.links.cut, g.links.hang = true, ev.Factor == 0
		sim.after(span, func() { g.links.cut = false })
	}
}

// checkLinks verifies a suspicion of the links, or whether they are back.
func (g *gateway) checkLinks() {
	sim, now := g.sim, g.sim.now()
	engines := len(sim.engines)
	if g.links.monitor.Lost() {
		if g.links.checks++; g.links.checks%restoreChecks == 0 && g.links.monitor.Restored(g.probeEngines(nil), engines, now) {
			g.links.unready = time.Time{}
			g.table.ForgetAllUnreachable()
		}
		return
	}
	suspects, ok := g.links.monitor.Suspicion(engines, now)
	if !ok {
		return
	}
	sim.after(linkProbeTimeout, func() {
		if g.links.monitor.Verified(g.probeEngines(suspects), engines, sim.now()) {
			g.links.unready = sim.now()
			g.table.ForgetAllUnreachable()
			g.serveQueue()
		}
	})
}

// probeEngines probes engines, the suspects first, directly and through another gateway.
func (g *gateway) probeEngines(suspects []string) []laburnumreachability.Probe {
	sim := g.sim
	helped := g.helper() != nil
	var probes []laburnumreachability.Probe
	add := func(e *engine) {
		probes = append(probes, laburnumreachability.Probe{Address: string(e.id), Direct: e.up && !g.links.cut, Helped: helped, Reached: helped && e.up})
	}
	for _, id := range suspects {
		add(sim.byID[laburnumlever.BackendID(id)])
	}
	for _, i := range g.random.Perm(len(sim.engines)) {
		if len(probes) >= laburnumreachability.ProbedServers {
			break
		}
		add(sim.engines[i])
	}
	return probes
}

// helper returns another gateway whose links work, in the same zone if there is one; nil for none.
func (g *gateway) helper() *gateway {
	var near, all []*gateway
	for _, o := range g.sim.gateways {
		if o == g || o.links.cut {
			continue
		}
		all = append(all, o)
		if o.zone == g.zone {
			near = append(near, o)
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return nil
	}
	return all[g.random.IntN(len(all))]
}

// linkTo returns the one-way delay to an engine, through another gateway if the links are lost, and whether there is a way.
func (g *gateway) linkTo(e *engine) (time.Duration, bool) {
	direct := g.sim.link(g.zone, e.zone)
	if g.sim.policy.lostLinks != connectThroughOthers || !g.links.monitor.Lost() {
		return direct, !g.links.cut
	}
	helper := g.helper()
	if helper == nil {
		return direct, !g.links.cut
	}
	return g.sim.link(g.zone, helper.zone) + g.sim.link(helper.zone, e.zone), true
}

// takesCallers reports whether the load balancer sends callers to the gateway.
func (g *gateway) takesCallers() bool {
	return g.sim.policy.lostLinks != reportUnready || g.links.unready.IsZero() || g.sim.now().Sub(g.links.unready) < balancerNoticeTime
}

// forward passes the request on to another gateway, and reports whether it did.
func (a *attempt) forward() bool {
	g := a.gateway
	if a.sim().policy.lostLinks != forwardToOthers || !g.links.monitor.Lost() {
		return false
	}
	helper := g.helper()
	if helper == nil {
		return false
	}
	a.gateway = helper
	a.sim().after(a.sim().link(g.zone, helper.zone), a.acquire)
	return true
}

// onLinkLost handles a connection that the gateway could not open since its own links are lost.
func (a *attempt) onLinkLost(e *engine) {
	if a.ticket == nil {
		return
	}
	g := a.gateway
	g.links.monitor.Failed(string(e.id), a.sim().now())
	if !g.links.hang {
		g.checkLinks()
	}
	a.release(laburnumbalance.AttemptResult{Failed: true, Unreachable: true})
	a.retry(laburnumretry.StageNotSent, "unreachable")
}

// readyOf returns the gateways to which the load balancer sends callers, or all if it sends them to less than half.
func readyOf(zone []*gateway) []*gateway {
	var ready []*gateway
	for _, g := range zone {
		if g.takesCallers() {
			ready = append(ready, g)
		}
	}
	if 2*len(ready) < len(zone) {
		return zone
	}
	return ready
}
