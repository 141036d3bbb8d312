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

// The made-up figures of the measured fleets; docs/placement-measures.md lists them.
const (
	answerTokens = 150
	promptTokens = 400
	meanLoad     = 0.6  // of what all engines can do
	fullAt       = 0.85 // busy share up to which requests meet their targets
	loadSeconds  = 4
	hour         = 3600
	faultAt      = 1200
	faultEnds    = 1800
	planEvery    = 2
	signalLag    = 3
	signalLoss   = 0.1
	entryVMs     = 4
)

// measured is one hour of one fleet under one policy, second by second.
type measured struct {
	t         require.TestingT
	rng       *rand.Rand
	timers    *laburnumtimer.Manual
	catalogue laburnumlever.Catalogue
	engines   []*laburnumstandin.Engine
	base      map[laburnumlever.ModelName]float64
	scenario  string
	sides     []*side
	lost      int // the engine that died, -1 for none
	second    int

	offered, attained float64
	moves             int
	absent            map[absence]int
	longestAbsence    int
	absentSeconds     int
}

// side is the part of the fleet that can talk to itself: all of it but for a cut.
type side struct {
	zones     []laburnumlever.ZoneName
	estimator *laburnumplacement.Estimator
	pace      map[laburnumlever.ZoneName]laburnumplacement.Pace
	since     map[copyKey]time.Time
	policy    policy
	signals   [][]laburnumlever.ModelDemand
}

type copyKey struct {
	backend laburnumlever.BackendID
	model   laburnumlever.ModelName
	version laburnumlever.Version
	first   laburnumlever.AcceleratorID
}

// policy decides the moves of one round.
type policy func(s laburnumplacement.Snapshot) []laburnumplacement.Move

func deployment(name string, moveCost float64) (laburnumlever.Catalogue, int) {
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

func newMeasured(t require.TestingT, name, scenario string, moveCost float64) *measured {
	catalogue, n := deployment(name, moveCost)
	w := &measured{
		t: t, rng: rand.New(rand.NewPCG(1, 2)), timers: laburnumtimer.NewManual(time.Unix(1e6, 0)), catalogue: catalogue,
		scenario: scenario, lost: -1, base: make(map[laburnumlever.ModelName]float64), absent: make(map[absence]int),
	}
	capacity := 0.0
	for i := range n {
		memory, speed := 10000, 1.0 // an old engine
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
		w.base[m.Name] = meanLoad * capacity / float64(i+2) / weights
	}
	return w
}

// requestCost is the engine's time that one request takes, in seconds.
func requestCost(a laburnumlever.Announcement) float64 {
	return answerTokens/a.TokensPerSecond + promptTokens/a.PrefillTokensPerSecond
}

// rate is the offered requests a second of a model now.
func (w *measured) rate(i int, name laburnumlever.ModelName) float64 {
	r := w.base[name] * (0.9 + 0.2*w.rng.Float64())
	if w.scenario != "tenfold-hour" {
		return r
	}
	phase := 2 * math.Pi * (float64(w.second)/hour + float64(i*7%len(w.catalogue.Models))/float64(len(w.catalogue.Models)))
	return r * math.Pow(10, 0.5*math.Sin(phase)) / 1.45
}

func (w *measured) newSide(zones []laburnumlever.ZoneName, p policy) *side {
	s := &side{zones: zones, policy: p, estimator: laburnumplacement.NewEstimator(), since: make(map[copyKey]time.Time), pace: make(map[laburnumlever.ZoneName]laburnumplacement.Pace)}
	for _, zone := range zones {
		s.pace[zone] = laburnumplacement.NewPace(w.timers.Now(), laburnumplacement.ShareOf(w.catalogue.Deployment, zone))
	}
	return s
}

// run settles the fleet on the base demand, then measures one hour.
func (w *measured) run(name string, p policy) {
	ours := oursPolicy()
	all := w.newSide(w.catalogue.Deployment.Zones, ours)
	w.sides = []*side{all}
	for w.second = -300; w.second < 0; w.second++ {
		w.step()
	}
	all.policy = p
	w.offered, w.attained, w.moves, w.longestAbsence, w.absentSeconds = 0, 0, 0, 0, 0
	clear(w.absent)
	for w.second = 0; w.second < hour; w.second++ {
		w.faults(all, p)
		w.step()
	}
	for _, e := range w.engines {
		require.Empty(w.t, e.Violations(), name)
	}
}

func (w *measured) faults(all *side, p policy) {
	switch {
	case w.scenario == "engine loss" && w.second == faultAt:
		w.lost = 1
	case w.scenario == "zone cut" && w.second == faultAt:
		cut := w.newSide(all.zones[:1], p)
		rest := *all
		rest.zones = all.zones[1:]
		w.sides = []*side{cut, &rest}
	case w.scenario == "zone cut" && w.second == faultEnds:
		w.sides = []*side{w.newSide(w.catalogue.Deployment.Zones, p)}
	case w.scenario == "catalogue change" && w.second == faultAt:
		w.changeCatalogue()
	}
}

func (w *measured) changeCatalogue() {
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

func (w *measured) sees(s *side, i int) bool {
	return i != w.lost && slices.Contains(s.zones, w.engines[i].Announcement().Zone)
}

func (w *measured) step() {
	w.timers.Advance(time.Second)
	share := 1 / float64(len(w.catalogue.Deployment.Zones))
	for _, s := range w.sides {
		part := share * float64(len(s.zones))
		w.serve(s, part)
		if w.second%planEvery == 0 {
			w.decide(s)
		}
	}
}

// serve lays the second's requests on the ready copies, by spare time and in four
// turns, and counts those that engines can serve inside their targets.
func (w *measured) serve(s *side, part float64) {
	spare := make([]float64, len(w.engines))
	holders := make([][]int, len(w.catalogue.Models))
	for i, e := range w.engines {
		if w.sees(s, i) {
			spare[i] = fullAt
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
		rates[m] = w.rate(m, model.Name) * part
		w.offered += rates[m]
	}
	for turn := range 4 {
		for m := range rates {
			served[m] += w.pour(holders[m], spare, rates[m]*float64(turn+1)/4-served[m])
		}
	}
	heard := make([]bool, entryVMs)
	for vm := range heard {
		heard[vm] = w.rng.Float64() > signalLoss
	}
	var signals []laburnumlever.ModelDemand
	for m, model := range w.catalogue.Models {
		w.attained += served[m]
		w.noteAbsence(absence{s, model.Name}, len(holders[m]) == 0)
		for vm := range heard {
			if heard[vm] {
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

func (w *measured) pour(holders []int, spare []float64, amount float64) float64 {
	total := 0.0
	for _, i := range holders {
		total += spare[i] / requestCost(w.engines[i].Announcement())
	}
	if total <= 0 || amount <= 0 {
		return 0
	}
	fill := min(1, amount/total)
	for _, i := range holders {
		spare[i] -= spare[i] * fill
	}
	return total * fill
}

type absence struct {
	side  *side
	model laburnumlever.ModelName
}

func (w *measured) noteAbsence(name absence, absent bool) {
	if !absent {
		w.absent[name] = 0
		return
	}
	w.absent[name]++
	w.absentSeconds++
	w.longestAbsence = max(w.longestAbsence, w.absent[name])
}

func (w *measured) decide(s *side) {
	now := w.timers.Now()
	if len(s.signals) > signalLag {
		s.estimator.Observe(now, s.signals[len(s.signals)-1-signalLag])
	}
	snapshot := laburnumplacement.Snapshot{Catalogue: w.catalogue, Demand: s.estimator.Demand()}
	underWay := make(map[laburnumlever.ZoneName]int)
	for i, e := range w.engines {
		snapshot.Engines = append(snapshot.Engines, w.seen(s, i, e, underWay))
	}
	for _, m := range s.policy(snapshot) {
		share := laburnumplacement.ShareOf(w.catalogue.Deployment, m.Zone)
		if m.Kind == laburnumlever.Load && !s.pace[m.Zone].Ready(now, share, underWay[m.Zone]) {
			continue
		}
		i := slices.IndexFunc(w.engines, func(e *laburnumstandin.Engine) bool { return e.Announcement().Backend == m.Engine })
		answer := w.engines[i].Order(laburnumlever.Order{Kind: m.Kind, Copy: m.Copy})
		require.Equal(w.t, laburnumlever.OrderDone, answer.Outcome)
		if m.Kind == laburnumlever.Load {
			w.moves++
			underWay[m.Zone]++
			s.pace[m.Zone] = s.pace[m.Zone].WithLoad(now, share)
		}
	}
}

func (w *measured) seen(s *side, i int, e *laburnumstandin.Engine, underWay map[laburnumlever.ZoneName]int) laburnumplacement.Engine {
	a := e.Announcement()
	engine := laburnumplacement.EngineOf(laburnumlever.Backend{Announcement: a, Report: e.Report(), Down: !w.sees(s, i)})
	for j := range engine.Copies {
		c := &engine.Copies[j]
		key := copyKey{a.Backend, c.Model, c.Version, c.Accelerators[0]}
		if !c.Ready {
			delete(s.since, key)
			underWay[a.Zone]++
			continue
		}
		if _, ok := s.since[key]; !ok {
			s.since[key] = w.timers.Now()
		}
		c.Stable = w.timers.Now().Sub(s.since[key]) >= 6*time.Second
	}
	return engine
}
