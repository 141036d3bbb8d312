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

// request is one request of a caller over all of its attempts.
type request struct {
	sim          *simulation
	id           uint64 // by content
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
	// crashing is set if the request crashes the engines that run it.
	crashing *crashingCaller
}

// worth returns the value of an answer on time. It grows with the size of the request.
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

// submit sends the request to a random gateway of its zone.
func (q *request) submit() {
	q.tries++
	gateways := readyOf(q.sim.byZone[q.zone])
	g := gateways[q.sim.workload.random.IntN(len(gateways))]
	q.sim.after(q.sim.callerLink(), func() {
		a := &attempt{request: q, gateway: g, arrived: q.sim.now(), backoff: laburnumslotqueue.AdapterBackoff()}
		g.countArrival(q)
		a.acquire()
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
	if q.crashing != nil {
		q.crashing.attemptEnded()
		return
	}
	q.sim.outcome.recordServed(q, a)
}

// onRefused retries after the Retry-After if the class allows a retry and the deadline permits it.
func (q *request) onRefused(a *attempt, after time.Duration, why string) {
	if q.tries > q.class.Retries || !q.sim.now().Add(after).Before(q.deadline) {
		q.finishUnserved(a, why, true)
		return
	}
	q.sim.outcome.retries++
	q.sim.after(2*q.sim.callerLink()+after, q.submit)
}

// onFailed retries at once if the class allows it.
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
	if q.crashing != nil {
		q.crashing.attemptEnded()
		return
	}
	q.sim.outcome.recordUnserved(q, a, why, refused)
}

// workload generates the requests of a simulated day.
type workload struct {
	sim    *simulation
	random *rand.Rand
	// modelsByRank lists the models of each class by demand at the start of the day; shifts move
	// the ranks on.
	modelsByRank [][]int
	shifts       []shift
	bursts       []burst
	crashing     []*crashingCaller
	lastID       uint64
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

// start schedules the first arrival of each class.
func (c *workload) start() {
	for i := range c.sim.scenario.Classes {
		c.scheduleArrival(i, c.maxRate(i))
	}
}

// maxRate returns an upper bound of the rate of a class: arrivals are generated at this rate and
// thinned out to the current one.
func (c *workload) maxRate(class int) float64 {
	rate := c.sim.scenario.Classes[class].PerSecond
	bound := rate
	for _, b := range c.bursts {
		bound = max(bound, rate*b.factor*2)
	}
	return bound
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

func (c *workload) scheduleArrival(class int, maxRate float64) {
	wait := time.Duration(c.random.ExpFloat64() / maxRate * float64(time.Second))
	c.sim.after(wait, func() {
		at := c.sim.elapsed()
		if at >= time.Duration(c.sim.scenario.Length) {
			return
		}
		if c.random.Float64() < c.rate(class, at)/maxRate {
			c.newRequest(class).submit()
		}
		c.scheduleArrival(class, maxRate)
	})
}

func (c *workload) newRequest(class int) *request {
	cl := &c.sim.scenario.Classes[class]
	q := &request{sim: c.sim, id: c.nextID(), class: cl, zone: c.sampleZone(), createdAt: c.sim.now(), model: c.sampleModel(class)}
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

// sampleModel draws the model of a new request of a class, at the ranks before or after the current
// shifts.
func (c *workload) sampleModel(class int) int {
	cl := c.sim.scenario.Classes[class]
	list := c.modelsByRank[class]
	rank := c.sampleRank(cl, len(list))
	offset := c.rankOffset()
	return list[(rank+offset)%len(list)]
}

// rankOffset returns by how many ranks demand has shifted. During a shift, requests draw the old or
// the new offset, the new one with growing probability.
func (c *workload) rankOffset() int {
	at := c.sim.elapsed()
	offset := 0
	for _, s := range c.shifts {
		switch {
		case at >= s.at+s.length:
			offset += s.ranks
		case at >= s.at && c.random.Float64() < float64(at-s.at)/float64(max(1, s.length)):
			offset += s.ranks
		}
	}
	return offset
}

// sampleRank draws a rank in the list of models of a class.
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
