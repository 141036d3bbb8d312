package laburnumdispatch_test

import (
	"strconv"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumadmission"
	"laburnumlever/laburnumdispatch"
	"laburnumlever/laburnumretry"
	"laburnumlever/laburnumrouter"

	"github.com/cockroachdb/errors"
)

// dispatcherPolicy uses the Dispatcher in the same way as the proxy.
type dispatcherPolicy struct {
	sim *simulation
	d   *laburnumdispatch.Dispatcher
}

func (v *dispatcherPolicy) arrive(c *call) {
	t := &laburnumdispatch.Ticket{Request: laburnumdispatch.Request{
		Owner: "o", Key: c.key, Model: "m", Class: c.class, PromptTokens: c.prompt, AnswerTokens: c.answer, Received: c.arrivedAt,
	}}
	c.ticket = t
	t.Wake = func() {
		if t.Refusal != nil {
			v.refused(c, t.Refusal)
			return
		}
		v.send(c, t)
	}
	var refusal *laburnumlever.RefusalError
	if errors.As(v.d.Submit(t, v.sim.now), &refusal) {
		v.refused(c, refusal)
	} else if t.Assigned() {
		v.send(c, t)
	}
}

func (v *dispatcherPolicy) refused(c *call, refusal *laburnumlever.RefusalError) {
	c.abandoned = true
	v.sim.refused[refusal.Reason.String()]++
}

func (v *dispatcherPolicy) send(c *call, t *laburnumdispatch.Ticket) {
	i, _ := strconv.Atoi(string(t.Backend.Backend))
	// deferred until after this event, because Wake runs within the dispatcher
	v.sim.after(0, func() { v.sim.send(c, v.sim.engines[i]) })
}

func (v *dispatcherPolicy) ended(c *call, _ *engine) {
	t := c.ticket.(*laburnumdispatch.Ticket)
	duration := v.sim.now.Sub(c.firstTokenAt) + time.Duration(float64(c.prompt)/4000*float64(time.Second))
	v.d.EndAttempt(t, laburnumrouter.Sample{Duration: duration, PromptTokens: c.prompt, AnswerTokens: c.answer}, v.sim.now)
	v.d.Finish(t, c.prompt+c.answer, v.sim.now)
}

func (v *dispatcherPolicy) busy(c *call, _ *engine) {
	t := c.ticket.(*laburnumdispatch.Ticket)
	v.d.EndAttempt(t, laburnumrouter.Sample{Busy: true}, v.sim.now)
	_, decision := v.d.Retry(t, laburnumretry.FailedRequest{Reason: laburnumlever.RefusedBackendBusy}, v.sim.now)
	if decision == laburnumretry.Retry {
		v.send(c, t)
		return
	}
	v.d.Finish(t, 0, v.sim.now)
	v.refused(c, &laburnumlever.RefusalError{Reason: laburnumlever.RefusedBackendBusy})
}

func (v *dispatcherPolicy) callerGone(c *call) {
	t := c.ticket.(*laburnumdispatch.Ticket)
	v.d.EndAttempt(t, laburnumrouter.Sample{Skipped: true}, v.sim.now)
	v.d.Finish(t, 0, v.sim.now)
}

func (v *dispatcherPolicy) report(view *laburnumlever.View) {
	v.d.Update(laburnumrouter.NewIndex(view), laburnumadmission.Share{}, v.sim.now)
}

func (v *dispatcherPolicy) tick() { v.d.Tick(v.sim.now) }

// baseline sends each call at once, like a plain load balancer.
type baseline struct {
	sim      *simulation
	next     int
	least    bool // least in flight by its own count, otherwise round robin
	retries  bool // retries without limit when an engine is full
	inFlight map[*engine]int
	assigned map[*call]*engine
}

func (v *baseline) arrive(c *call) { v.send(c) }

func (v *baseline) send(c *call) {
	if c.abandoned {
		return
	}
	v.next++
	e := v.sim.engines[v.next%len(v.sim.engines)]
	if v.least {
		for i := range v.sim.engines {
			other := v.sim.engines[(v.next+i)%len(v.sim.engines)]
			if v.inFlight[other] < v.inFlight[e] {
				e = other
			}
		}
	}
	v.inFlight[e]++
	v.assigned[c] = e
	v.sim.send(c, e)
}

func (v *baseline) ended(_ *call, e *engine) { v.inFlight[e]-- }

func (v *baseline) busy(c *call, e *engine) {
	v.inFlight[e]--
	const backoff = 250 * time.Millisecond
	v.sim.after(backoff, func() { v.send(c) })
}

func (v *baseline) callerGone(c *call) {
	v.sim.refused["caller-gone"]++
	if !v.retries {
		v.inFlight[v.assigned[c]]--
	}
}

func (v *baseline) report(*laburnumlever.View) {}
func (v *baseline) tick()                      {}

// namedPolicy is a policy and its engines' queue size.
type namedPolicy struct {
	name     string
	maxQueue int
	make     func(s *simulation, seed uint64) policy
}

func newBaseline(s *simulation, least, retries bool) policy {
	return &baseline{sim: s, least: least, retries: retries, inFlight: map[*engine]int{}, assigned: map[*call]*engine{}}
}

var namedPolicies = []namedPolicy{
	{"laburnumlever", engineQueueSize, func(s *simulation, seed uint64) policy {
		return &dispatcherPolicy{sim: s, d: laburnumdispatch.New("", seed)}
	}},
	{"round robin, no admission", -1, func(s *simulation, _ uint64) policy { return newBaseline(s, false, false) }},
	{"least in flight, no admission", -1, func(s *simulation, _ uint64) policy { return newBaseline(s, true, false) }},
	{"least in flight, unlimited retry", engineQueueSize, func(s *simulation, _ uint64) policy { return newBaseline(s, true, true) }},
}
