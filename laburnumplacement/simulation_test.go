package laburnumplacement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumplacement"
	"laburnumlever/laburnumstandin"
	"laburnumlever/laburnumtimer"

	"github.com/stretchr/testify/require"
)

// Assumed parameters of the simulated fleets, as listed in docs/placement-measures.md.
const (
	answerTokens    = 150
	promptTokens    = 400
	meanUtilization = 0.6  // fraction of the capacity of all engines
	maxUtilization  = 0.85 // utilization up to which requests meet their latency targets
	loadSeconds     = 4
	hour            = 3600
	faultAt         = 1200
	faultEnd        = 1800
	planEvery       = 2
	signalLag       = 3
	signalLoss      = 0.1
	entryVMs        = 4
)

// simulation simulates one hour of a fleet under one policy in steps of one second.
type simulation struct {
	t            require.TestingT
	rng          *rand.Rand
	timers       *laburnumtimer.Manual
	catalogue    laburnumlever.Catalogue
	engines      []*laburnumstandin.Engine
	base         map[laburnumlever.ModelName]float64
	scenario     string
	partitions   []*partition
	failedEngine int // index of the failed engine, -1 if none
	second       int

	offered, attained float64
	moves             int
	unavailableFor    map[partitionModel]int
	longestOutage     int
	outageSeconds     int
}

// partition is a set of zones whose VMs can communicate: all zones, except during a zone cut.
type partition struct {
	zones      []laburnumlever.ZoneName
	estimator  *laburnumplacement.Estimator
	limiters   map[laburnumlever.ZoneName]laburnumplacement.LoadLimiter
	readySince map[copyKey]time.Time
	policy     policy
	signals    [][]laburnumlever.ModelDemand
}

type copyKey struct {
	backend laburnumlever.BackendID
	model   laburnumlever.ModelName
	version laburnumlever.Version
	first   laburnumlever.AcceleratorID
}

// policy plans the moves of one round.
type policy func(s laburnumplacement.Snapshot) []laburnumplacement.Move

// testDeployment returns the catalogue of a named fleet and its number of engines.
func testDeployment(name string, moveCost float64) (laburnumlever.Catalogue, int) {
	c := laburnumlever.Catalogue{Revision: 1, Deployment: laburnumlever.Deployment{Name: name, MoveCost: moveCost}}
	engines, count, adapters := 20, 30, 100
	c.Deployment.Zones = []laburnumlever.ZoneName{"rennes-a", "rennes-b", "brest", "vannes"}
	c.Deployment.WeightStore = laburnumlever.WeightStore{LoadsPerSecond: 3, ParallelLoads: 10}
	if name == "kvooditalitus" {
		engines, count, adapters = 10, 13, 60
		c.Deployment.Zones = []laburnumlever.ZoneName{"ulemiste-a", "ulemiste-b", "lasnamae", "kopli"}
		c.Deployment.WeightStore = laburnumlever.WeightStore{LoadsPerSecond: 1.5, ParallelLoads: 7}
	}
	for i := range count {
		c.Models = append(c.Models, laburnumlever.Model{
			Name: laburnumlever.ModelName(fmt.Sprintf("m%02d", i)), Version: "v1", WeightsMiB: 5000 + 1500*(i%8), Accelerators: 1 + (i%5)/4,
		})
	}
	for i := range adapters {
		m := &c.Models[i%count]
		m.Adapters = append(m.Adapters, laburnumlever.Adapter{Name: laburnumlever.AdapterName(fmt.Sprint(i)), SizeMiB: 200})
	}
	return c, engines
}

func newSimulation(t require.TestingT, name, scenario string, moveCost float64) *simulation {
	catalogue, n := testDeployment(name, moveCost)
	w := &simulation{
		t: t, rng: rand.New(rand.NewPCG(1, 2)), timers: laburnumtimer.NewManual(time.Unix(1e6, 0)), catalogue: catalogue,
		scenario: scenario, failedEngine: -1, base: make(map[laburnumlever.ModelName]float64), unavailableFor: make(map[partitionModel]int),
	}
	capacity := 0.0
	for i := range n {
		memory, speed := 10000, 1.0 // an old engine; every second one is new
		if i%2 == 1 {
			memory, speed = 20000, 2.7
		}
		a := laburnumlever.Announcement{
			Backend: laburnumlever.BackendID(fmt.Sprintf("e%02d", i)), Zone: catalogue.Deployment.Zones[i%4], Incarnation: 1, ChecksFencing: true,
			TokensPerSecond: 1500 * speed, PrefillTokensPerSecond: 8000 * speed,
			Accelerators: []laburnumlever.Accelerator{{ID: "a0", MemoryMiB: memory}, {ID: "a1", MemoryMiB: memory}},
		}
		w.engines = append(w.engines, laburnumstandin.NewEngine(a, laburnumstandin.WithTimers(w.timers), laburnumstandin.WithLoadTime(loadSeconds*time.Second)))
		capacity += 1 / requestCost(a)
	}
	weights := 0.0
	for i := range catalogue.Models {
		weights += 1 / float64(i+2)
	}
	for i, m := range catalogue.Models {
		w.base[m.Name] = meanUtilization * capacity / float64(i+2) / weights
	}
	return w
}

// requestCost returns the engine time of one request, in seconds.
func requestCost(a laburnumlever.Announcement) float64 {
	return answerTokens/a.TokensPerSecond + promptTokens/a.PrefillTokensPerSecond
}

// rate returns the offered requests per second of a model in the current second.
func (w *simulation) rate(i int, name laburnumlever.ModelName) float64 {
	r := w.base[name] * (0.9 + 0.2*w.rng.Float64())
	if w.scenario != "tenfold-hour" {
		return r
	}
	phase := 2 * math.Pi * (float64(w.second)/hour + float64(i*7%len(w.catalogue.Models))/float64(len(w.catalogue.Models)))
	return r * math.Pow(10, 0.5*math.Sin(phase)) / 1.45
}

func (w *simulation) newPartition(zones []laburnumlever.ZoneName, p policy) *partition {
	s := &partition{zones: zones, policy: p, estimator: laburnumplacement.NewEstimator(), readySince: make(map[copyKey]time.Time), limiters: make(map[laburnumlever.ZoneName]laburnumplacement.LoadLimiter)}
	for _, zone := range zones {
		s.limiters[zone] = laburnumplacement.NewLoadLimiter(w.timers.Now(), laburnumplacement.LoadQuotaOf(w.catalogue.Deployment, zone))
	}
	return s
}

// run lets the planner place the models for the base demand in 300 s, then measures one hour of the
// policy.
func (w *simulation) run(name string, p policy) {
	ours := plannerPolicy()
	all := w.newPartition(w.catalogue.Deployment.Zones, ours)
	w.partitions = []*partition{all}
	for w.second = -300; w.second < 0; w.second++ {
		w.step()
	}
	all.policy = p
	w.offered, w.attained, w.moves, w.longestOutage, w.outageSeconds = 0, 0, 0, 0, 0
	clear(w.unavailableFor)
	for w.second = 0; w.second < hour; w.second++ {
		w.injectFaults(all, p)
		w.step()
	}
	for _, e := range w.engines {
		require.Empty(w.t, e.Violations(), name)
	}
}

func (w *simulation) injectFaults(all *partition, p policy) {
	switch {
	case w.scenario == "engine loss" && w.second == faultAt:
		w.failedEngine = 1
	case w.scenario == "zone cut" && w.second == faultAt:
		cut := w.newPartition(all.zones[:1], p)
		others := *all
		others.zones = all.zones[1:]
		w.partitions = []*partition{cut, &others}
	case w.scenario == "zone cut" && w.second == faultEnd:
		w.partitions = []*partition{w.newPartition(w.catalogue.Deployment.Zones, p)}
	case w.scenario == "catalogue change" && w.second == faultAt:
		w.changeCatalogue()
	}
}

func (w *simulation) changeCatalogue() {
	models := slices.Clone(w.catalogue.Models)
	for i := range 3 {
		models[i].Version = "v2"
	}
	models[4].WeightsMiB += 2000
	added := models[5]
	added.Name = "new"
	w.base["new"] = w.base[models[5].Name]
	models[len(models)-1] = added
	w.catalogue.Models = models
}

func (w *simulation) reachable(s *partition, i int) bool {
	return i != w.failedEngine && slices.Contains(s.zones, w.engines[i].Announcement().Zone)
}

func (w *simulation) step() {
	w.timers.Advance(time.Second)
	share := 1 / float64(len(w.catalogue.Deployment.Zones))
	for _, s := range w.partitions {
		partitionShare := share * float64(len(s.zones))
		w.serve(s, partitionShare)
		if w.second%planEvery == 0 {
			w.planRound(s)
		}
	}
}

// serve distributes the second's requests over the ready copies by spare engine time, in four
// steps, and counts those that meet their latency targets. It also records the demand signals.
func (w *simulation) serve(s *partition, share float64) {
	spare := make([]float64, len(w.engines))
	holders := make([][]int, len(w.catalogue.Models))
	for i, e := range w.engines {
		if w.reachable(s, i) {
			spare[i] = maxUtilization
			for _, c := range e.Report().Loaded {
				m := slices.IndexFunc(w.catalogue.Models, func(m laburnumlever.Model) bool { return m.Name == c.Model })
				if c.Ready && m >= 0 && !slices.Contains(holders[m], i) {
					holders[m] = append(holders[m], i)
				}
			}
		}
	}
	rates := make([]float64, len(w.catalogue.Models))
	served := make([]float64, len(rates))
	for m, model := range w.catalogue.Models {
		rates[m] = w.rate(m, model.Name) * share
		w.offered += rates[m]
	}
	for step := range 4 {
		for m := range rates {
			served[m] += w.distribute(holders[m], spare, rates[m]*float64(step+1)/4-served[m])
		}
	}
	delivered := make([]bool, entryVMs)
	for vm := range delivered {
		delivered[vm] = w.rng.Float64() > signalLoss
	}
	var signals []laburnumlever.ModelDemand
	for m, model := range w.catalogue.Models {
		w.attained += served[m]
		w.recordAvailability(partitionModel{s, model.Name}, len(holders[m]) == 0)
		for vm := range delivered {
			if delivered[vm] {
				signals = append(signals, laburnumlever.ModelDemand{
					Model: model.Name, VM: laburnumlever.VMID(fmt.Sprint(vm)), Sequence: uint64(w.second + 1000),
					RequestsPerSecond: rates[m] / entryVMs, Refused: (rates[m] - served[m]) / entryVMs,
					PromptTokens: rates[m] / entryVMs * promptTokens, AnswerTokens: rates[m] / entryVMs * answerTokens,
				})
			}
		}
	}
	s.signals = append(s.signals, signals)
}

func (w *simulation) distribute(holders []int, spare []float64, amount float64) float64 {
	capacity := 0.0
	for _, i := range holders {
		capacity += spare[i] / requestCost(w.engines[i].Announcement())
	}
	if capacity <= 0 || amount <= 0 {
		return 0
	}
	fraction := min(1, amount/capacity)
	for _, i := range holders {
		spare[i] -= spare[i] * fraction
	}
	return capacity * fraction
}

// partitionModel is a model as seen in one partition.
type partitionModel struct {
	partition *partition
	model     laburnumlever.ModelName
}

func (w *simulation) recordAvailability(key partitionModel, unavailable bool) {
	if !unavailable {
		w.unavailableFor[key] = 0
		return
	}
	w.unavailableFor[key]++
	w.outageSeconds++
	w.longestOutage = max(w.longestOutage, w.unavailableFor[key])
}

func (w *simulation) planRound(s *partition) {
	now := w.timers.Now()
	if len(s.signals) > signalLag {
		s.estimator.Observe(now, s.signals[len(s.signals)-1-signalLag])
	}
	snapshot := laburnumplacement.Snapshot{Catalogue: w.catalogue, Demand: s.estimator.Demand()}
	inFlight := make(map[laburnumlever.ZoneName]int)
	for i, e := range w.engines {
		snapshot.Engines = append(snapshot.Engines, w.observe(s, i, e, inFlight))
	}
	for _, m := range s.policy(snapshot) {
		quota := laburnumplacement.LoadQuotaOf(w.catalogue.Deployment, m.Zone)
		if m.Kind == laburnumlever.Load && !s.limiters[m.Zone].Ready(now, quota, inFlight[m.Zone]) {
			continue
		}
		i := slices.IndexFunc(w.engines, func(e *laburnumstandin.Engine) bool { return e.Announcement().Backend == m.Engine })
		answer := w.engines[i].Order(laburnumlever.Order{Kind: m.Kind, Copy: m.Copy})
		require.Equal(w.t, laburnumlever.OrderDone, answer.Outcome)
		if m.Kind == laburnumlever.Load {
			w.moves++
			inFlight[m.Zone]++
			s.limiters[m.Zone] = s.limiters[m.Zone].AfterLoad(now, quota)
		}
	}
}

func (w *simulation) observe(s *partition, i int, e *laburnumstandin.Engine, inFlight map[laburnumlever.ZoneName]int) laburnumplacement.Engine {
	a := e.Announcement()
	engine := laburnumplacement.EngineOf(laburnumlever.Backend{Announcement: a, Report: e.Report(), Down: !w.reachable(s, i)})
	for j := range engine.Copies {
		c := &engine.Copies[j]
		key := copyKey{a.Backend, c.Model, c.Version, c.Accelerators[0]}
		if !c.Ready {
			delete(s.readySince, key)
			inFlight[a.Zone]++
			continue
		}
		if _, ok := s.readySince[key]; !ok {
			s.readySince[key] = w.timers.Now()
		}
		c.Stable = w.timers.Now().Sub(s.readySince[key]) >= 6*time.Second
	}
	return engine
}
