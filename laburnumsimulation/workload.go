package laburnumsimulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"laburnumlever"
	"laburnumlever/laburnumslotqueue"
)

// request is what one caller wants, over all of its tries.
type request struct {
	sim          *simulation
	class        *Class
	zone         int
	model        int
	adapter      laburnumlever.AdapterName
	prompt       []laburnumlever.PromptPart
	promptTokens int
	answerTokens int
	answerHint   int
	createdAt    time.Time
	deadline     time.Time
	tries        int
	finished     bool
}

// worth is that of an answer, larger for larger requests.
func (q *request) worth() float64 {
	const least, answerWeight = 0.3, 10
	mean := q.class.Prompt.Mean + q.class.sharedTokens() + answerWeight*q.class.Answer.Mean
	size := float64(q.promptTokens) + answerWeight*float64(q.answerTokens)
	return q.class.Worth * min(4, least+(1-least)*size/mean)
}

func (c *Class) sharedTokens() float64 {
	total := 0
	for _, t := range c.SharedTokens {
		total += t
	}
	return float64(total)
}

// submit sends the request to a gateway of its zone.
func (q *request) submit() {
	q.tries++
	gateways := q.sim.byZone[q.zone]
	g := gateways[q.sim.workload.random.IntN(len(gateways))]
	q.sim.after(q.sim.callerLink(), func() {
		a := &attempt{request: q, gateway: g, arrived: q.sim.now(), backoff: laburnumslotqueue.AdapterBackoff()}
		g.countArrival(q)
		a.findSlot()
		q.sim.after(a.caller().Patience(), func() {
			if !a.started {
				a.cancel()
			}
		})
		q.sim.after(q.deadline.Sub(q.sim.now()), a.cancel)
	})
}

func (q *request) onServed(a *attempt) {
	if q.finished {
		return
	}
	q.finished = true
	q.sim.outcome.recordServed(q, a)
}

// onRefused comes back once it was told to, if it may.
func (q *request) onRefused(a *attempt, after time.Duration, why string) {
	if q.tries > q.class.Retries || !q.sim.now().Add(after).Before(q.deadline) {
		q.finishUnserved(a, why, true)
		return
	}
	q.sim.outcome.retries++
	q.sim.after(2*q.sim.callerLink()+after, q.submit)
}

// onFailed comes back at once where it may be repeated.
func (q *request) onFailed(a *attempt, why string) {
	if q.class.Resumable && q.tries <= q.class.Retries && why != "left" && q.sim.now().Before(q.deadline) {
		q.submit()
		return
	}
	q.finishUnserved(a, why, false)
}

func (q *request) finishUnserved(a *attempt, why string, refused bool) {
	if q.finished {
		return
	}
	q.finished = true
	q.sim.outcome.recordUnserved(q, a, why, refused)
}

// workload make the requests of a day.
type workload struct {
	sim    *simulation
	random *rand.Rand
	// modelsByRank is the list of models that each class's demand goes by: it moves on with shifts.
	modelsByRank [][]int
	shifts       []shift
	bursts       []burst
}

type shift struct {
	at, length time.Duration
	ranks      int
}

type burst struct {
	from, until time.Duration
	class       string
	factor      float64
}

func newWorkload(sim *simulation, seed uint64) *workload {
	c := &workload{sim: sim, random: rand.New(rand.NewPCG(seed, 3))} //nolint:gosec // repeatable
	for i := range sim.scenario.Classes {
		class := &sim.scenario.Classes[i]
		list := make([]int, 0, class.To-class.From+1)
		for m := class.From; m <= class.To; m++ {
			list = append(list, m)
		}
		c.modelsByRank = append(c.modelsByRank, list)
	}
	return c
}

// start makes the first arrival of each class.
func (c *workload) start() {
	for i := range c.sim.scenario.Classes {
		c.scheduleArrival(i, c.maxRate(i))
	}
}

// maxRate bounds a class's rate, for a process that is thinned out to what it is at a time.
func (c *workload) maxRate(class int) float64 {
	rate := c.sim.scenario.Classes[class].PerSecond
	most := rate
	for _, b := range c.bursts {
		most = max(most, rate*b.factor*2)
	}
	return most
}

func (c *workload) rate(class int, at time.Duration) float64 {
	cl := c.sim.scenario.Classes[class]
	rate := cl.PerSecond
	for _, b := range c.bursts {
		if (b.class == "" || b.class == cl.Name) && at >= b.from && at < b.until {
			rate *= b.factor
		}
	}
	return rate
}

func (c *workload) scheduleArrival(class int, most float64) {
	wait := time.Duration(c.random.ExpFloat64() / most * float64(time.Second))
	c.sim.after(wait, func() {
		at := c.sim.elapsed()
		if at >= time.Duration(c.sim.scenario.Length) {
			return
		}
		if c.random.Float64() < c.rate(class, at)/most {
			c.newRequest(class).submit()
		}
		c.scheduleArrival(class, most)
	})
}

func (c *workload) newRequest(class int) *request {
	cl := &c.sim.scenario.Classes[class]
	q := &request{sim: c.sim, class: cl, zone: c.sampleZone(), createdAt: c.sim.now(), model: c.sampleModel(class)}
	q.deadline = q.createdAt.Add(time.Duration(cl.Timeout))
	for i, tokens := range cl.SharedTokens {
		kind := c.random.IntN(max(1, cl.SharedKinds[i]))
		q.prompt = append(q.prompt, laburnumlever.PromptPart{ID: uint64(class)<<40 | uint64(i)<<32 | uint64(kind), Tokens: tokens})
		q.promptTokens += tokens
	}
	own := c.sampleTokens(cl.Prompt)
	q.prompt = append(q.prompt, laburnumlever.PromptPart{ID: c.random.Uint64() | 1<<63, Tokens: own})
	q.promptTokens += own
	q.answerTokens = c.sampleTokens(cl.Answer)
	q.answerHint = max(1, int(float64(q.answerTokens)*math.Exp(0.5*c.random.NormFloat64())))
	if adapters := c.sim.models[q.model].kind.Adapters; adapters > 0 && c.random.Float64() < cl.AdapterShare {
		q.adapter = laburnumlever.AdapterName(fmt.Sprintf("a%d", c.random.IntN(adapters)))
	}
	return q
}

// sampleTokens draws a number of tokens.
func (c *workload) sampleTokens(s Size) int {
	if s.Spread == 0 {
		return max(1, int(s.Mean))
	}
	d := distuv.LogNormal{Mu: math.Log(s.Mean) - s.Spread*s.Spread/2, Sigma: s.Spread, Src: c.random}
	value := d.Rand()
	if s.Most > 0 {
		value = min(value, s.Most)
	}
	return max(1, int(value))
}

func (c *workload) sampleZone() int {
	x := c.random.Float64() * c.sim.totalShare
	for i, z := range c.sim.scenario.Zones {
		if x -= z.Share; x < 0 {
			return i
		}
	}
	return len(c.sim.scenario.Zones) - 1
}

// sampleModel draws the sampleModel that a request of a class asks for now: by the list before a shift,
// or that after it, as far as the shift has come.
func (c *workload) sampleModel(class int) int {
	cl := c.sim.scenario.Classes[class]
	list := c.modelsByRank[class]
	rank := c.sampleRank(cl, len(list))
	moved := c.rankOffset()
	return list[(rank+moved)%len(list)]
}

// rankOffset is by how many places demand has rankOffset on; within a shift, the old and the new demand
// mix.
func (c *workload) rankOffset() int {
	at := c.sim.elapsed()
	moved := 0
	for _, s := range c.shifts {
		switch {
		case at >= s.at+s.length:
			moved += s.ranks
		case at >= s.at && c.random.Float64() < float64(at-s.at)/float64(max(1, s.length)):
			moved += s.ranks
		}
	}
	return moved
}

// sampleRank draws a place in the list of a class.
func (c *workload) sampleRank(cl Class, length int) int {
	active := cl.Active
	if active <= 0 || active > length {
		active = length
	}
	cumulated := c.sim.cumulativeWeights(active, cl.Skew)
	x := c.random.Float64() * cumulated[active-1]
	at, _ := slices.BinarySearch(cumulated, x)
	return min(at, active-1)
}
