package laburnumsimulation

import (
	"math/rand/v2"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumconcurrency"
	"laburnumlever/laburnumdemand"
	"laburnumlever/laburnumlimit"
	"laburnumlever/laburnumquarantine"
	"laburnumlever/laburnumreachability"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumretry"
	"laburnumlever/laburnumslotqueue"
)

const (
	// budgetRatio limits the retries of all gateways, as a ratio of their requests in budgetWindow.
	budgetRatio = 0.2
	// budgetSlack is the number of retries in budgetWindow beyond that ratio, for each gateway.
	budgetSlack = 2
	// budgetWindow is the window in which requests and retries are counted.
	budgetWindow = 10 * time.Second
	// dialTimeout is the time until a connection to an engine that hangs fails.
	dialTimeout = 200 * time.Millisecond
	// reportPeriod is the period of a gateway's reports to the director. In production a report
	// goes with each poll, and each answer is followed by the next poll.
	reportPeriod = 300 * time.Millisecond
)

// gateway is one gateway VM with its own view of the fleet.
type gateway struct {
	sim         *simulation
	id          laburnumlever.VMID
	zone        laburnumlever.ZoneName
	table       *laburnumbalance.Table
	queue       laburnumslotqueue.Queue
	counter     *laburnumdemand.Counter
	uses        laburnumdemand.AdapterUses
	readTimes   laburnumdemand.ReadTimes
	retryBudget *laburnumretry.Window
	random      *rand.Rand
	quarantine  *laburnumquarantine.List
	limits      *laburnumlimit.Table
	brittle     *laburnumconcurrency.Table
	links       links
	// queued are the attempts whose requests are in the queue.
	queued map[*laburnumslotqueue.Request]*attempt
}

// newGateway returns a gateway that the caller appends to sim.gateways. The slack of its retry budget
// is for the gateways so far, including this one.
func newGateway(sim *simulation, id laburnumlever.VMID, zone laburnumlever.ZoneName, seed uint64) *gateway {
	g := &gateway{
		sim: sim, id: id, zone: zone, table: laburnumbalance.New(zone, seed, sim.policy.balance...),
		counter: laburnumdemand.NewCounter(id), readTimes: laburnumdemand.ReadTimes{},
		retryBudget: laburnumretry.NewWindow(budgetWindow, budgetRatio, budgetSlack*float64(len(sim.gateways)+1)),
		random:      rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // repeatable
		quarantine:  laburnumquarantine.NewList(), limits: laburnumlimit.NewTable(id), brittle: laburnumconcurrency.NewTable(id),
		links: links{monitor: laburnumreachability.New()}, queued: map[*laburnumslotqueue.Request]*attempt{},
	}
	g.queue.InOrder = sim.policy.strictOrder
	return g
}

// receiveUpdates applies what the control VMs have published.
func (g *gateway) receiveUpdates(records []laburnumregistry.Record, overlays []laburnumregistry.Overlay, quarantine []laburnumquarantine.Entry, limits []laburnumlimit.Limit, brittle []laburnumconcurrency.Limit) {
	for _, r := range records {
		started := !g.table.Has(r.Heartbeat.Backend, r.Heartbeat.Incarnation)
		g.table.Set(r)
		if started {
			g.presumeBrittle(r.Heartbeat)
		}
		_, limited := g.limits.Limit(r.Heartbeat.Backend, r.Heartbeat.Incarnation)
		_, fragile := g.brittle.Limit(r.Heartbeat.Backend, r.Heartbeat.Incarnation)
		g.table.SetLimited(r.Heartbeat.Backend, limited || fragile)
	}
	for _, o := range overlays {
		g.table.SetOverlay(o, g.sim.now())
	}
	g.quarantine.Apply("control", 1, quarantine, g.sim.now())
	g.applyLimits(limits)
	g.applyBrittle(brittle)
	g.serveQueue()
}

// sendReport sends the gateway's report to the director unless it is empty.
func (g *gateway) sendReport() {
	now := g.sim.now()
	report := laburnumlever.GatewayReport{
		Demand: g.counter.Take(now, g.readTimes), Adapters: g.uses.Take(now), Unreachable: g.table.Unreachable(now),
		Outcomes: g.table.Outcomes(),
	}
	if !report.IsZero() {
		g.sim.after(g.sim.link(g.zone, ""), func() { g.sim.control.receiveReport(g.id, report) })
	}
}

// serveQueue assigns free slots to queued requests.
func (g *gateway) serveQueue() {
	if g.queue.Len() == 0 {
		return
	}
	now := g.sim.now()
	g.queue.Serve(now, func(q laburnumbalance.Query) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
		return g.table.Pick(q, now)
	})
}

// workOf returns the work that a request demands of its model.
func (g *gateway) workOf(q *request) laburnumdemand.Request {
	return laburnumdemand.Request{Model: g.sim.models[q.model].name, PromptTokens: q.promptTokens, AnswerTokens: q.answerHint}
}

// countArrival counts the demand of an arriving request, unless the policy counts it at the end.
func (g *gateway) countArrival(q *request) {
	g.retryBudget.CountRequest(g.sim.now())
	if !g.sim.policy.countsAtEnd {
		g.counter.Received(g.workOf(q))
	}
}

// countEnd counts the demand of a request at its end, if the policy says so, and its refusal if it was
// not served.
func (g *gateway) countEnd(q *request, served bool) {
	if g.sim.policy.countsAtEnd {
		g.counter.Received(g.workOf(q))
	}
	if !served {
		g.counter.Refused(g.workOf(q))
	}
}
