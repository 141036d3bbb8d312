package laburnumquarantine_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumquarantine"
)

const (
	partsBorne      = 5 // crashes under a part
	partSendsBorne  = 3 // later than contactTime after them
	partTraceLength = 40 * time.Second
	trialLength     = time.Second // from a crash to the end of its trial
)

// partDecider decides which parts are refused.
type partDecider interface {
	Add(r laburnumquarantine.Report, now time.Time)
	Changes(now time.Time) []laburnumquarantine.Entry
	TrialIn(part laburnumquarantine.Part, now time.Time) time.Duration
}

// endsCounter refuses a part for good after three crashes and, with answers, forgets those from before an answer.
type endsCounter struct {
	answers bool
	crashes map[laburnumquarantine.Part]map[laburnumquarantine.Crash]time.Time
	refused map[laburnumquarantine.Part]bool
}

func newEndsCounter(answers bool) *endsCounter {
	return &endsCounter{answers: answers, crashes: map[laburnumquarantine.Part]map[laburnumquarantine.Crash]time.Time{}, refused: map[laburnumquarantine.Part]bool{}}
}

func (c *endsCounter) Add(r laburnumquarantine.Report, _ time.Time) {
	for _, s := range r.Parts {
		if c.crashes[s.Part] == nil {
			c.crashes[s.Part] = map[laburnumquarantine.Crash]time.Time{}
		}
		c.crashes[s.Part][s.Crash] = s.CrashedAt
		c.answered(s.Part, s.AnsweredAt)
	}
	for _, a := range r.Answers {
		c.answered(a.Part, a.AnsweredAt)
	}
}

func (c *endsCounter) answered(part laburnumquarantine.Part, at time.Time) {
	for crash, crashed := range c.crashes[part] {
		if c.answers && !crashed.After(at) {
			delete(c.crashes[part], crash)
		}
	}
}

func (c *endsCounter) Changes(time.Time) []laburnumquarantine.Entry {
	var changed []laburnumquarantine.Entry
	for part, crashes := range c.crashes {
		if refused := len(crashes) >= 3; refused != c.refused[part] {
			c.refused[part] = refused
			e := laburnumquarantine.Entry{Digest: part.Digest(), Part: &part, State: laburnumquarantine.Cleared}
			if refused {
				e.State = laburnumquarantine.Quarantined
			}
			changed = append(changed, e)
		}
	}
	return changed
}

func (*endsCounter) TrialIn(laburnumquarantine.Part, time.Time) time.Duration { return time.Hour }

// partFleet is a model of engines, gateways and callers around a decider.
type partFleet struct {
	random   *rand.Rand
	now      time.Time
	events   []modelEvent
	engines  []*partEngine
	starts   int
	decider  partDecider
	refused  map[laburnumquarantine.Part]bool
	trials   map[laburnumquarantine.Part]bool
	answers  []*laburnumquarantine.PartAnswers // of each gateway
	deadly   map[laburnumquarantine.Part]*partTrace
	heldFrom map[laburnumquarantine.Part]time.Time
	listed   map[laburnumquarantine.Part]bool
	// sent and begun count sound requests; soundHeld is the longest time for which an innocent part was refused.
	sent, begun int
	soundHeld   time.Duration
}

// partTrace is what happened under a part that crashes engines.
type partTrace struct{ ends, sends []time.Time }

func (p *partTrace) late() int {
	if len(p.ends) < partsBorne {
		return 0
	}
	n := 0
	for _, at := range p.sends {
		if at.Sub(p.ends[partsBorne-1]) > contactTime {
			n++
		}
	}
	return n
}

type partEngine struct {
	id      int
	up      bool
	running map[*partRequest]bool // set once it has been answered for long enough to count as sound
}

type partRequest struct {
	parts   []laburnumquarantine.Part
	gateway int
	begun   time.Time
	trial   bool
}

func newPartFleet(seed uint64, gateways, engines int, decider partDecider) *partFleet {
	f := &partFleet{
		random: rand.New(rand.NewPCG(seed, 11)), now: start, decider: decider, refused: map[laburnumquarantine.Part]bool{},
		trials: map[laburnumquarantine.Part]bool{}, deadly: map[laburnumquarantine.Part]*partTrace{}, heldFrom: map[laburnumquarantine.Part]time.Time{},
		listed: map[laburnumquarantine.Part]bool{},
	}
	for range engines {
		e := &partEngine{}
		f.engines = append(f.engines, e)
		f.restart(e)
	}
	for range gateways {
		f.answers = append(f.answers, laburnumquarantine.NewPartAnswers())
	}
	return f
}

func (f *partFleet) after(d time.Duration, do func()) {
	e := modelEvent{at: f.now.Add(d), do: do}
	at, _ := slices.BinarySearchFunc(f.events, e, func(a, b modelEvent) int { return cmp.Or(a.at.Compare(b.at), -1) })
	f.events = slices.Insert(f.events, at, e)
}

func (f *partFleet) run(length time.Duration) {
	for end := start.Add(length); len(f.events) > 0 && f.events[0].at.Before(end); {
		e := f.events[0]
		f.events = f.events[1:]
		f.now = e.at
		e.do()
	}
	for _, from := range f.heldFrom {
		f.soundHeld = max(f.soundHeld, f.now.Sub(from))
	}
}

func (f *partFleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d)))
}

func (f *partFleet) restart(e *partEngine) {
	f.starts++
	e.id, e.up, e.running = f.starts, true, map[*partRequest]bool{}
}

// repeat calls do for good, at random times that are a period apart in the mean.
func (f *partFleet) repeat(from, period time.Duration, do func()) {
	var next func()
	next = func() {
		do()
		f.after(f.upTo(2*period), next)
	}
	f.after(from, next)
}

func modelPart(id int) laburnumquarantine.Part {
	return laburnumquarantine.Part{Service: "devis", ID: laburnumlever.PartID(id)}
}

// send sends a request with some parts, unless one of them is refused.
func (f *partFleet) send(parts ...laburnumquarantine.Part) bool {
	q := &partRequest{parts: parts, gateway: f.random.IntN(len(f.answers))}
	for _, p := range parts {
		if !f.refused[p] {
			continue
		}
		if f.trials[p] || f.decider.TrialIn(p, f.now) > 0 {
			return false
		}
		f.trials[p], q.trial = true, true
	}
	for range f.engines {
		e := f.engines[f.random.IntN(len(f.engines))]
		if e.up {
			f.begin(q, e)
			return true
		}
	}
	f.endTrial(q)
	return false
}

func (f *partFleet) endTrial(q *partRequest) {
	if q.trial {
		for _, p := range q.parts {
			delete(f.trials, p)
		}
	}
}

func (f *partFleet) begin(q *partRequest, e *partEngine) {
	id := e.id
	e.running[q] = false
	var crashes []*partTrace
	for _, p := range q.parts {
		if trace := f.deadly[p]; trace != nil {
			trace.sends = append(trace.sends, f.now)
			crashes = append(crashes, trace)
		}
	}
	f.after(f.upTo(queueTime), func() {
		if !e.up || e.id != id {
			return
		}
		q.begun = f.now
		if len(crashes) > 0 {
			f.after(crashTime, func() {
				if e.up && e.id == id {
					for _, trace := range crashes {
						trace.ends = append(trace.ends, f.now)
					}
					f.crash(e)
				}
			})
			return
		}
		f.after(300*time.Millisecond+time.Duration(f.random.ExpFloat64()*float64(answerTime)), func() {
			if _, running := e.running[q]; running && e.id == id {
				delete(e.running, q)
				f.answered(q)
			}
		})
	})
}

func (f *partFleet) answered(q *partRequest) {
	f.endTrial(q)
	var report laburnumquarantine.Report
	for _, p := range q.parts {
		f.answers[q.gateway].Add(p, q.begun, f.now)
		if f.listed[p] {
			report.Answers = append(report.Answers, laburnumquarantine.PartAnswer{Part: p, AnsweredAt: q.begun})
		}
	}
	if len(report.Answers) > 0 {
		f.report(report)
	}
}

// crash ends an engine; each gateway with requests on it reports their parts.
func (f *partFleet) crash(e *partEngine) {
	e.up = false
	counts := map[int]map[laburnumquarantine.Part]int{}
	for q := range e.running {
		f.after(trialLength, func() { f.endTrial(q) })
		if counts[q.gateway] == nil {
			counts[q.gateway] = map[laburnumquarantine.Part]int{}
		}
		for _, p := range q.parts {
			counts[q.gateway][p]++
		}
	}
	for gateway, parts := range counts {
		var r laburnumquarantine.Report
		for p, n := range parts {
			r.Parts = append(r.Parts, laburnumquarantine.PartSighting{
				Crash: laburnumquarantine.Crash{Backend: laburnumlever.BackendID(fmt.Sprint("i-", e.id))}, Part: p, Requests: n,
				CrashedAt: f.now, AnsweredAt: f.answers[gateway].Last(p),
			})
		}
		f.report(r)
	}
	f.after(downTime, func() { f.restart(e) })
}

func (f *partFleet) report(r laburnumquarantine.Report) {
	f.after(f.upTo(reportDelay), func() {
		f.decider.Add(r, f.now)
		f.publish()
		if len(r.Parts) > 0 {
			f.after(laburnumquarantine.KnownPartDelay, f.publish)
		}
	})
}

func (f *partFleet) publish() {
	for _, e := range f.decider.Changes(f.now) {
		f.after(feedDelay, func() { f.apply(e) })
	}
}

// apply puts an entry in effect at all gateways; those that have answered a suspected part say so.
func (f *partFleet) apply(e laburnumquarantine.Entry) {
	part := *e.Part
	f.refused[part], f.listed[part] = e.State.Refused(), e.State != laburnumquarantine.Cleared
	from, held := f.heldFrom[part]
	switch {
	case f.deadly[part] != nil:
	case e.State.Refused() && !held:
		f.heldFrom[part] = f.now
	case !e.State.Refused() && held:
		f.soundHeld = max(f.soundHeld, f.now.Sub(from))
		delete(f.heldFrom, part)
	default:
	}
	if e.State == laburnumquarantine.Cleared {
		return
	}
	var last time.Time
	for _, a := range f.answers {
		if at := a.Last(part); at.After(last) {
			last = at
		}
	}
	if !last.IsZero() {
		f.report(laburnumquarantine.Report{Answers: []laburnumquarantine.PartAnswer{{Part: part, AnsweredAt: last}}})
	}
}

// partCase is a kind of load.
type partCase struct {
	name string
	// deadly is the number of parts that crash engines, first is set if they take the place of the common first part.
	deadly int
	first  bool
	// companion is set if an innocent part always comes with the first of them, common if nine in ten requests share a second
	// innocent part, power if a third of the engines loses power now and then, turns if the common part becomes one
	// that crashes engines after it was answered.
	companion, common, power, turns bool
	gateways                        int
}

func (c partCase) play(seed uint64, decider partDecider) *partFleet {
	const firstPart, commonPart, companionPart, rareParts = 1, 2, 3, 40
	f := newPartFleet(seed, c.gateways, 18, decider)
	f.repeat(0, 10*time.Millisecond, func() {
		parts := []laburnumquarantine.Part{modelPart(firstPart)}
		if c.common && f.random.IntN(10) > 0 {
			parts = append(parts, modelPart(commonPart))
		}
		parts = append(parts, modelPart(100+f.random.IntN(rareParts)))
		if f.deadly[parts[0]] != nil {
			f.send(parts...)
			return
		}
		served := f.send(parts...)
		if f.now.Sub(start) > 20*time.Second {
			f.sent++
			if served {
				f.begun++
			}
		}
	})
	if c.turns {
		f.after(5*time.Second, func() { f.deadly[modelPart(firstPart)] = &partTrace{} })
	}
	for i := range c.deadly {
		part := modelPart(1000 + i)
		f.deadly[part] = &partTrace{}
		f.repeat(5*time.Second+f.upTo(time.Second), 125*time.Millisecond, func() {
			parts := []laburnumquarantine.Part{modelPart(firstPart), part}
			if c.first {
				parts = []laburnumquarantine.Part{part, modelPart(100 + f.random.IntN(rareParts))}
			}
			if c.common && f.random.IntN(10) > 0 {
				parts = append(parts, modelPart(commonPart))
			}
			if c.companion && i == 0 {
				parts = append(parts, modelPart(companionPart))
			}
			f.send(parts...)
		})
	}
	if c.power {
		f.repeat(6*time.Second, 5*time.Second, func() {
			for i, e := range f.engines {
				if i%3 == 0 && e.up {
					f.crash(e)
				}
			}
		})
	}
	f.run(partTraceLength)
	return f
}

func partCases() []partCase {
	cases := []partCase{
		{name: "one", deadly: 1, gateways: 6},
		{name: "two", deadly: 2, gateways: 6},
		{name: "five", deadly: 5, gateways: 6},
		{name: "one of 57 gateways", deadly: 1, gateways: 57},
		{name: "five of 780 gateways", deadly: 5, gateways: 780},
		{name: "first part", deadly: 1, first: true, gateways: 6},
		{name: "two first parts", deadly: 2, first: true, gateways: 6},
		{name: "companion", deadly: 1, companion: true, gateways: 6},
		{name: "part in nine of ten", deadly: 1, common: true, gateways: 6},
		{name: "beside losses of power", deadly: 2, common: true, power: true, gateways: 57},
		{name: "losses of power alone", power: true, gateways: 6},
		{name: "common part turns", turns: true, gateways: 6},
	}
	return cases
}

// Guards against parts that crash engines without end, and against refusing the parts that ride along with them.
func TestPartsThatCrashEnginesAreTold(t *testing.T) {
	seeds := 20
	if testing.Short() {
		seeds = 4
	}
	for _, c := range partCases() {
		t.Run(c.name, func(t *testing.T) {
			for _, way := range []struct {
				name string
				new  func() partDecider
			}{
				{"ends alone", func() partDecider { return newEndsCounter(false) }},
				{"ends since an answer", func() partDecider { return newEndsCounter(true) }},
				{"fewest parts", func() partDecider { return laburnumquarantine.NewPartDetector() }},
			} {
				ends, late, sent, begun := 0, 0, 0, 0
				var held time.Duration
				for seed := range uint64(seeds) {
					f := c.play(seed, way.new())
					for _, trace := range f.deadly {
						ends, late = max(ends, len(trace.ends)), max(late, trace.late())
					}
					sent, begun, held = sent+f.sent, begun+f.begun, max(held, f.soundHeld)
				}
				share := float64(begun) / float64(max(1, sent))
				t.Logf("%-20s: %3d ends under a part at most, %3d late, sound served %.3f, an innocent part refused for %s at most", way.name, ends, late, share, held.Round(time.Millisecond))
				if way.name != "fewest parts" {
					continue
				}
				require.LessOrEqual(t, late, partSendsBorne)
				require.GreaterOrEqual(t, share, map[bool]float64{true: 0, false: 0.9}[c.turns])
			}
		})
	}
}
