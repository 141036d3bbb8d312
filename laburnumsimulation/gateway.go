package laburnumsimulation

import (
	"math/rand/v2"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumdemand"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumretry"
	"laburnumlever/laburnumslotqueue"
)

const (
	// budgetRatio, budgetSlack and budgetWindow bound the repeats over all gateways: the slack
	// is that for each gateway.
	budgetRatio  = 0.2
	budgetSlack  = 2
	budgetWindow = 10 * time.Second
	// dialTimeout is how long a connection to an engine that hangs takes to fail.
	dialTimeout = 200 * time.Millisecond
	// reportPeriod is how often a gateway tells its news, since each answer brings a question.
	reportPeriod = 300 * time.Millisecond
)

// gateway is one gateway VM with what it knows.
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
}

func newGateway(sim *simulation, id laburnumlever.VMID, zone laburnumlever.ZoneName, seed uint64) *gateway {
	g := &gateway{
		sim: sim, id: id, zone: zone, table: laburnumbalance.New(zone, seed, sim.policy.balance...),
		counter: laburnumdemand.NewCounter(id), readTimes: laburnumdemand.ReadTimes{},
		retryBudget: laburnumretry.NewWindow(budgetWindow, budgetRatio, budgetSlack*float64(len(sim.gateways)+1)),
		random:      rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // repeatable
	}
	g.queue.InOrder = sim.policy.strictOrder
	return g
}

// receiveUpdates takes what control VMs told.
func (g *gateway) receiveUpdates(records []laburnumregistry.Record, overlays []laburnumregistry.Overlay) {
	for _, r := range records {
		g.table.Set(r)
	}
	for _, o := range overlays {
		g.table.SetOverlay(o, g.sim.now())
	}
	g.serveQueue()
}

// sendReport sends its report to the director.
func (g *gateway) sendReport() {
	now := g.sim.now()
	news := laburnumlever.GatewayNews{
		Demand: g.counter.Take(now, g.readTimes), Adapters: g.uses.Take(now), Unreachable: g.table.Unreachable(now),
		Outcomes: g.table.Outcomes(),
	}
	if !news.IsZero() {
		g.sim.after(g.sim.link(g.zone, ""), func() { g.sim.control.receiveReport(g.id, news) })
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

// demand is what a request asks for.
func (g *gateway) demand(q *request) laburnumdemand.Request {
	return laburnumdemand.Request{Model: g.sim.models[q.model].name, PromptTokens: q.promptTokens, AnswerTokens: q.answerHint}
}

// countArrival and ended count a request when it comes, or at its end by a policy that does so.
func (g *gateway) countArrival(q *request) {
	if !g.sim.policy.countsAtEnd {
		g.counter.Received(g.demand(q))
	}
}

func (g *gateway) countEnd(q *request, served bool) {
	if g.sim.policy.countsAtEnd {
		g.counter.Received(g.demand(q))
	}
	if !served {
		g.counter.Refused(g.demand(q))
	}
}
