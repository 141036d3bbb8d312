package laburnumsimulation

import (
	"slices"
	"time"
)

// windowLength is the length of the windows of a day; WorstWindows is the mean of the worstWindows
// worst of them.
const (
	windowLength = 2 * time.Second
	worstWindows = 2
	// A refusal within freeRefusalShare of the class's target costs nothing beyond the lost worth.
	// After that the penalty grows; it is the whole worth from lateRefusalShare of the timeout on.
	freeRefusalShare = 0.125
	lateRefusalShare = 0.75
)

// worthShare is the worth earned of that possible.
type worthShare struct{ Earned, Possible float64 }

func (s worthShare) value() float64 {
	if s.Possible == 0 {
		return 1
	}
	return s.Earned / s.Possible
}

// Outcome is the result of one simulated day.
type Outcome struct {
	// Value is the score of the day by the scenario's weights.
	Value float64 `json:"value"`
	// Day, WorstWindows, WorstClass and WorstZone are shares of the possible worth earned over the
	// whole day and in the worst windows, class and zone.
	Day          float64 `json:"day"`
	WorstWindows float64 `json:"worst-windows"`
	WorstClass   float64 `json:"worst-class"`
	WorstZone    float64 `json:"worst-zone"`
	// Requests counts all requests, OnTime, Late, Refused and Failed those that ended so.
	Requests int `json:"asked"`
	OnTime   int `json:"on-time"`
	Late     int `json:"late"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// LateFirst counts answers that started late, LatePause those with too long a pause.
	LateFirst int `json:"late-first"`
	LatePause int `json:"late-pause"`
	// Reasons counts refused and failed requests by reason.
	Reasons map[string]int `json:"reasons"`
	// Retries counts retries by callers, Preempted preemptions of running answers.
	Retries    int `json:"retries"`
	Preempted  int `json:"preempted"`
	Orders     int `json:"orders"`
	Loads      int `json:"loads"`
	StoreLoads int `json:"store-loads"`
	// Overcommitted counts orders that exceed the memory or adapter slots of an engine. It must be
	// 0.
	Overcommitted int `json:"overcommitted"`
	// Crashes counts engines that requests have crashed. LateRepeats is the largest number of times
	// that one of these requests was sent to engines later than the contact time after its third
	// crash.
	Crashes     int `json:"crashes,omitempty"`
	LateRepeats int `json:"late-repeats,omitempty"`
	// Falls counts how often brittle engines fell over.
	Falls int `json:"falls,omitempty"`
	// InRest is the largest number of requests that an engine got from one gateway while that should leave it in peace.
	InRest int `json:"in-rest,omitempty"`
	// Mixed counts the times that a stream went on at another software version.
	Mixed int `json:"mixed,omitempty"`
	// OverLimit is the largest number of requests beyond those allowed by its limit that an engine got
	// in one window.
	OverLimit int `json:"over-limit,omitempty"`
	// LateRefusals is the penalty for late refusals as a share of the possible worth.
	LateRefusals float64 `json:"late-refusals"`
	// Windows holds the share of worth earned by window of arrival; windows without requests are
	// left out.
	Windows []float64 `json:"windows"`
}

// tally accumulates the outcome of a day.
type tally struct {
	scenario         Scenario
	total            worthShare
	windows          []worthShare
	classes          map[string]worthShare
	zones            []worthShare
	lateRefusalWorth float64
	Outcome
	orders, loads, storeLoads, preempted, retries, overcommitted int
}

func newTally(s Scenario) *tally {
	return &tally{
		scenario: s, windows: make([]worthShare, int(time.Duration(s.Length)/windowLength)+1), classes: map[string]worthShare{},
		zones: make([]worthShare, len(s.Zones)), Outcome: Outcome{Reasons: map[string]int{}},
	}
}

func (t *tally) add(q *request, earned float64) {
	possible := q.worth()
	t.Requests++
	add := func(s worthShare) worthShare {
		return worthShare{Earned: s.Earned + earned, Possible: s.Possible + possible}
	}
	t.total = add(t.total)
	w := int(q.createdAt.Sub(q.sim.startedAt) / windowLength)
	t.windows[w] = add(t.windows[w])
	t.classes[q.class.Name] = add(t.classes[q.class.Name])
	t.zones[q.zone] = add(t.zones[q.zone])
}

// recordServed records a request with a complete answer.
func (t *tally) recordServed(q *request, a *attempt) {
	first, pause := a.firstAt.Sub(q.createdAt), a.pause
	switch {
	case first > time.Duration(q.class.Target):
		t.Late++
		t.LateFirst++
	case pause > time.Duration(q.class.PauseTarget):
		t.Late++
		t.LatePause++
	default:
		t.OnTime++
		t.add(q, q.worth())
		return
	}
	t.add(q, q.worth()*q.class.LateWorth/q.class.Worth)
}

// recordUnserved records a request without a complete answer.
func (t *tally) recordUnserved(q *request, a *attempt, why string, refused bool) {
	t.Reasons[why]++
	t.add(q, 0)
	if !refused {
		t.Failed++
		return
	}
	t.Refused++
	waited := a.sim().now().Sub(a.arrived)
	free := time.Duration(freeRefusalShare * float64(q.class.Target))
	limit := time.Duration(lateRefusalShare * float64(q.class.Timeout))
	if waited > free {
		t.lateRefusalWorth += q.worth() * min(1, float64(waited-free)/float64(limit-free))
	}
}

// result returns the outcome of the day.
func (t *tally) result() Outcome {
	o := t.Outcome
	o.Orders, o.Loads, o.StoreLoads, o.Preempted, o.Retries, o.Overcommitted = t.orders, t.loads, t.storeLoads, t.preempted, t.retries, t.overcommitted
	o.Day = t.total.value()
	for _, w := range t.windows {
		if w.Possible > 0 {
			o.Windows = append(o.Windows, w.value())
		}
	}
	sorted := slices.Sorted(slices.Values(o.Windows))
	n := min(worstWindows, len(sorted))
	for _, w := range sorted[:n] {
		o.WorstWindows += w / float64(n)
	}
	o.WorstClass, o.WorstZone = 1, 1
	for _, c := range t.classes {
		o.WorstClass = min(o.WorstClass, c.value())
	}
	for _, z := range t.zones {
		o.WorstZone = min(o.WorstZone, z.value())
	}
	if t.total.Possible > 0 {
		o.LateRefusals = t.lateRefusalWorth / t.total.Possible
	}
	v := t.scenario.Value
	o.Value = v.Day*o.Day + v.WorstWindows*o.WorstWindows + v.WorstClass*o.WorstClass + v.WorstZone*o.WorstZone -
		v.LateRefusal*o.LateRefusals - v.Load*float64(o.Loads)/max(1, float64(o.Requests))*1000
	return o
}
