package laburnumsimulation

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumlever"
)

const (
	// warmUpTime is how long the fleet runs before the first request, coolDownTime how long after
	// the last timeout, so that answers end.
	warmUpTime   = 8 * time.Second
	coolDownTime = 4 * time.Second
	// drainTime is how long a draining engine keeps serving at least, and the period in which it is
	// then checked for running requests.
	drainTime = 3 * time.Second
)

// simulation is the state of one simulated day.
type simulation struct {
	scenario   Scenario
	policy     Policy
	timers     *clock
	startedAt  time.Time // when the first request may arrive
	random     *rand.Rand
	models     []model
	modelIndex map[laburnumlever.ModelName]int
	engines    []*engine
	byID       map[laburnumlever.BackendID]*engine
	gateways   []*gateway
	byZone     [][]*gateway
	control    *control
	workload   *workload
	outcome    *tally
	storeLoads int // running now
	// reservations counts all reservations made; the count is the id of the latest.
	reservations int
	totalShare   float64
	weights      map[weightKey][]float64
}

type weightKey struct {
	active int
	skew   float64
}

type model struct {
	name laburnumlever.ModelName
	kind ModelKind
}

func (m model) pace() float64 {
	if m.kind.Pace == 0 {
		return 1
	}
	return m.kind.Pace
}

// Run simulates a day. It is deterministic: the same scenario, policy and seed give the same
// outcome.
func Run(s Scenario, p Policy, seed uint64) Outcome {
	sim := newSimulation(s, p, seed)
	sim.timers.advance(warmUpTime)
	sim.startedAt = sim.now()
	sim.scheduleEvents()
	sim.workload.start()
	sim.timers.advance(time.Duration(s.Length) + sim.longestTimeout() + coolDownTime)
	return sim.outcome.result()
}

func newSimulation(s Scenario, p Policy, seed uint64) *simulation {
	sim := &simulation{
		scenario: s, policy: p, timers: newClock(time.Unix(1_000_000, 0)), modelIndex: map[laburnumlever.ModelName]int{},
		byID: map[laburnumlever.BackendID]*engine{}, random: rand.New(rand.NewPCG(seed, 1)), weights: map[weightKey][]float64{}, //nolint:gosec // repeatable
	}
	sim.outcome = newTally(s)
	for i := range s.Models.Count {
		m := model{name: laburnumlever.ModelName(fmt.Sprintf("m%03d", i)), kind: s.Models.Kinds[i%len(s.Models.Kinds)]}
		sim.models = append(sim.models, m)
		sim.modelIndex[m.name] = i
	}
	for i := range s.Engines.Count {
		e := newEngine(sim, i)
		sim.engines = append(sim.engines, e)
		sim.byID[e.id] = e
	}
	sim.workload = newWorkload(sim, seed)
	sim.addGateways(seed)
	sim.placeModels()
	sim.control = newControl(sim)
	for _, e := range sim.engines {
		sim.scheduleHeartbeats(e)
	}
	return sim
}

func (sim *simulation) addGateways(seed uint64) {
	total := 0
	for _, z := range sim.scenario.Zones {
		total += z.Gateways
		sim.totalShare += z.Share
	}
	n := uint64(0)
	for _, z := range sim.scenario.Zones {
		var zone []*gateway
		for range z.Gateways {
			n++
			g := newGateway(sim, laburnumlever.VMID(fmt.Sprintf("g%d", n)), z.Name, seed*1_000_003+n)
			g.table.SetGateways(total)
			zone = append(zone, g)
			sim.gateways = append(sim.gateways, g)
			sim.after(time.Duration(sim.random.Int64N(int64(reportPeriod))), func() {
				sim.timers.Every(reportPeriod, func(time.Time) { g.sendReport() })
				if sim.playsLostLinks() {
					sim.timers.Every(linkCheckPeriod, func(time.Time) { g.checkLinks() })
				}
			})
		}
		sim.byZone = append(sim.byZone, zone)
	}
}

// scheduleHeartbeats starts the heartbeats of an engine with a random phase.
func (sim *simulation) scheduleHeartbeats(e *engine) {
	period := time.Duration(sim.scenario.Engines.Heartbeat)
	sim.after(time.Duration(sim.random.Int64N(int64(period))), func() {
		e.sendHeartbeat()
		sim.timers.Every(period, func(time.Time) { e.sendHeartbeat() })
	})
}

// placeModels places one copy of each model, and fills the remaining memory with copies of the
// models with the highest demand per copy.
func (sim *simulation) placeModels() {
	demand := sim.answerTokensPerSecond()
	byDemand := make([]int, len(sim.models))
	for m := range byDemand {
		byDemand[m] = m
	}
	slices.SortStableFunc(byDemand, func(a, b int) int { return cmp.Compare(demand[b], demand[a]) })
	copies := make([]int, len(sim.models))
	for _, m := range byDemand {
		if sim.placeCopy(m) {
			copies[m]++
		}
	}
	for {
		best := highestDemandPerCopy(byDemand, demand, copies)
		if best < 0 || !sim.placeCopy(best) {
			return
		}
		copies[best]++
	}
}

// answerTokensPerSecond returns the demand for each model at the start of the day, in answer tokens
// per second.
func (sim *simulation) answerTokensPerSecond() []float64 {
	demand := make([]float64, len(sim.models))
	for i, c := range sim.scenario.Classes {
		list := sim.workload.modelsByRank[i]
		active := c.Active
		if active <= 0 || active > len(list) {
			active = len(list)
		}
		cumulated := sim.cumulativeWeights(active, c.Skew)
		before := 0.0
		for rank := range active {
			demand[list[rank]] += c.PerSecond * c.Answer.Mean * (cumulated[rank] - before) / cumulated[active-1]
			before = cumulated[rank]
		}
	}
	return demand
}

// highestDemandPerCopy returns the model with the highest demand per copy, or -1 if no placed model
// has demand.
func highestDemandPerCopy(models []int, demand []float64, copies []int) int {
	best := -1
	for _, m := range models {
		if copies[m] == 0 || demand[m] == 0 {
			continue
		}
		if best < 0 || demand[m]/float64(copies[m]) > demand[best]/float64(copies[best]) {
			best = m
		}
	}
	return best
}

// placeCopy places a copy on the engine with the least used memory; false if it fits on none.
func (sim *simulation) placeCopy(m int) bool {
	var best *engine
	for _, e := range sim.engines {
		if _, holds := e.held[m]; holds || e.usedWeightsMB()+sim.models[m].kind.WeightsMB > sim.scenario.Engines.WeightsMB {
			continue
		}
		if best == nil || e.usedWeightsMB() < best.usedWeightsMB() {
			best = e
		}
	}
	if best == nil {
		return false
	}
	best.held[m] = map[laburnumlever.AdapterName]bool{}
	best.cacheWeights(m)
	return true
}

// scheduleEvents schedules the events of the scenario.
func (sim *simulation) scheduleEvents() {
	for _, ev := range sim.scenario.Events {
		at, span := time.Duration(ev.At), time.Duration(ev.For)
		switch ev.Kind {
		case EventShift:
			sim.workload.shifts = append(sim.workload.shifts, shift{at: at, length: span, ranks: ev.Places})
		case EventBurst:
			sim.workload.bursts = append(sim.workload.bursts, burst{from: at, until: at + span, class: ev.Class, factor: ev.Factor})
		case EventCrashingRequests:
			sim.after(at, func() { sim.workload.startCrashing(ev) })
		default:
			sim.after(at, func() { sim.applyEvent(ev, span) })
		}
	}
}

// playsLostLinks reports whether gateways lose their links in the scenario.
func (sim *simulation) playsLostLinks() bool {
	return slices.ContainsFunc(sim.scenario.Events, func(ev Event) bool { return ev.Kind == EventLostLinks })
}

func (sim *simulation) applyEvent(ev Event, span time.Duration) {
	if ev.Kind == EventLostLinks {
		sim.loseLinks(ev, span)
		return
	}
	if ev.Kind == EventNoOrders {
		sim.control.noQuorum = true
		sim.after(span, func() { sim.control.noQuorum = false })
		return
	}
	for _, e := range sim.sampleEngines(ev.Share) {
		sim.applyTo(e, ev, span)
	}
}

// applyTo applies an event to one engine.
func (sim *simulation) applyTo(e *engine, ev Event, span time.Duration) {
	switch ev.Kind {
	case EventCrash, EventDark:
		e.crash(ev.Kind == EventDark)
		sim.after(span, e.restart)
	case EventGone:
		e.crash(false)
	case EventDrain:
		e.draining = true
		e.sendHeartbeat()
		sim.after(drainTime, func() { sim.finishDrain(e) })
	case EventSlow:
		e.slowFactor = ev.Factor
		sim.after(span, func() { e.slowFactor = 1 })
	case EventLimit:
		e.nameLimit(ev.PerSecond, span)
	case EventRest:
		e.turnAway(time.Duration(ev.Factor*float64(time.Second)), span)
	case EventRelease:
		e.release(span)
	case EventBrittle:
		e.beBrittle(ev.PerSecond, span)
	default:
	}
}

// finishDrain removes a draining engine once its running requests have ended.
func (sim *simulation) finishDrain(e *engine) {
	if e.batch.size() > 0 {
		sim.after(drainTime, func() { sim.finishDrain(e) })
		return
	}
	e.up = false
	sim.control.remove(e.id)
}

// sampleEngines draws a random share of the engines that are up and not draining.
func (sim *simulation) sampleEngines(share float64) []*engine {
	var up []*engine
	for _, e := range sim.engines {
		if e.up && !e.draining {
			up = append(up, e)
		}
	}
	sim.random.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	return up[:int(math.Round(share*float64(len(up))))]
}

// longestTimeout returns the longest timeout of any class.
func (sim *simulation) longestTimeout() time.Duration {
	var longest time.Duration
	for _, c := range sim.scenario.Classes {
		longest = max(longest, time.Duration(c.Timeout))
	}
	return longest
}

// engineClass returns the engines' class as the routes describe it.
func (sim *simulation) engineClass() *laburnumlever.EngineClass {
	cfg := sim.scenario.Engines
	class := &laburnumlever.EngineClass{
		Slots: cfg.Slots, CacheTokens: cfg.CacheTokens, WeightsMB: cfg.WeightsMB, AdapterSlots: cfg.AdapterSlots,
		LoadsPerSecond: sim.scenario.Store.LoadsPerSecond, ReserveLimit: laburnumlever.Duration(time.Second),
	}
	for _, m := range sim.models {
		class.Models = append(class.Models, laburnumlever.ModelClass{
			Name: m.name, WeightsMB: m.kind.WeightsMB, StoreLoad: m.kind.StoreLoad, DiskLoad: m.kind.DiskLoad, MemoryLoad: m.kind.MemoryLoad,
			Adapters: m.kind.Adapters, AdapterMB: m.kind.AdapterMB,
		})
	}
	return class
}

// cumulativeWeights returns the cumulative Zipf weights of the model ranks.
func (sim *simulation) cumulativeWeights(active int, skew float64) []float64 {
	key := weightKey{active: active, skew: skew}
	if list, ok := sim.weights[key]; ok {
		return list
	}
	list := make([]float64, active)
	total := 0.0
	for i := range list {
		total += math.Pow(float64(i+1), -skew)
		list[i] = total
	}
	sim.weights[key] = list
	return list
}

func (sim *simulation) now() time.Time { return sim.timers.Now() }

// elapsed returns the time since the start of the day.
func (sim *simulation) elapsed() time.Duration { return sim.now().Sub(sim.startedAt) }

func (sim *simulation) after(d time.Duration, fn func()) {
	sim.timers.After(d, func(time.Time) { fn() })
}

// link returns the one-way delay between two zones. The control VMs are in all zones and have the
// empty name, which is far from any zone.
func (sim *simulation) link(a, b laburnumlever.ZoneName) time.Duration {
	if a == b {
		return time.Duration(sim.scenario.Links.Near)
	}
	return time.Duration(sim.scenario.Links.Far)
}

func (sim *simulation) callerLink() time.Duration { return time.Duration(sim.scenario.Links.Callers) }

func compareNames(a, b laburnumlever.ModelName) int { return cmp.Compare(a, b) }
