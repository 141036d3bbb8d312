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
	p *simulation
	d *laburnumdispatch.Dispatcher
}

func (v *dispatcherPolicy) arrive(c *call) {
	t := &laburnumdispatch.Ticket{Request: laburnumdispatch.Request{
		Owner: "o", Key: c.key, Model: "m", Class: c.class, PromptTokens: c.prompt, AnswerTokens: c.answer, Received: c.at,
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
	if errors.As(v.d.Submit(t, v.p.now), &refusal) {
		v.refused(c, refusal)
	} else if t.Assigned() {
		v.send(c, t)
	}
}

func (v *dispatcherPolicy) refused(c *call, refusal *laburnumlever.RefusalError) {
	c.abandoned = true
	v.p.refused[refusal.Reason.String()]++
}

func (v *dispatcherPolicy) send(c *call, t *laburnumdispatch.Ticket) {
	i, _ := strconv.Atoi(string(t.Backend.Backend))
	// deferred until after this event, because Wake runs within the dispatcher
	v.p.after(0, func() { v.p.send(c, v.p.engines[i]) })
}

func (v *dispatcherPolicy) ended(c *call, _ *engine) {
	t := c.ticket.(*laburnumdispatch.Ticket)
	duration := v.p.now.Sub(c.first) + time.Duration(float64(c.prompt)/4000*float64(time.Second))
	v.d.EndAttempt(t, laburnumrouter.Sample{Duration: duration, PromptTokens: c.prompt, AnswerTokens: c.answer}, v.p.now)
	v.d.Finish(t, c.prompt+c.answer, v.p.now)
}

func (v *dispatcherPolicy) busy(c *call, _ *engine) {
	t := c.ticket.(*laburnumdispatch.Ticket)
	v.d.EndAttempt(t, laburnumrouter.Sample{Busy: true}, v.p.now)
	_, decision := v.d.Retry(t, laburnumretry.FailedRequest{Reason: laburnumlever.RefusedBackendBusy}, v.p.now)
	if decision == laburnumretry.Retry {
		v.send(c, t)
		return
	}
	v.d.Finish(t, 0, v.p.now)
	v.refused(c, &laburnumlever.RefusalError{Reason: laburnumlever.RefusedBackendBusy})
}

func (v *dispatcherPolicy) callerGone(c *call) {
	t := c.ticket.(*laburnumdispatch.Ticket)
	v.d.EndAttempt(t, laburnumrouter.Sample{Skipped: true}, v.p.now)
	v.d.Finish(t, 0, v.p.now)
}

func (v *dispatcherPolicy) report(view *laburnumlever.View) {
	v.d.Update(laburnumrouter.NewIndex(view), laburnumadmission.Share{}, v.p.now)
}

func (v *dispatcherPolicy) tick() { v.d.Tick(v.p.now) }

// baseline sends each call at once, like a plain load balancer.
type baseline struct {
	p        *simulation
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
	e := v.p.engines[v.next%len(v.p.engines)]
	if v.least {
		for i := range v.p.engines {
			other := v.p.engines[(v.next+i)%len(v.p.engines)]
			if v.inFlight[other] < v.inFlight[e] {
				e = other
			}
		}
	}
	v.inFlight[e]++
	v.assigned[c] = e
	v.p.send(c, e)
}

func (v *baseline) ended(_ *call, e *engine) { v.inFlight[e]-- }

func (v *baseline) busy(c *call, e *engine) {
	v.inFlight[e]--
	const backoff = 250 * time.Millisecond
	v.p.after(backoff, func() { v.send(c) })
}

func (v *baseline) callerGone(c *call) {
	v.p.refused["caller-gone"]++
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
	make     func(p *simulation, seed uint64) policy
}

func newBaseline(p *simulation, least, retries bool) policy {
	return &baseline{p: p, least: least, retries: retries, inFlight: map[*engine]int{}, assigned: map[*call]*engine{}}
}

var namedPolicies = []namedPolicy{
	{"laburnumlever", engineQueueSize, func(p *simulation, seed uint64) policy {
		return &dispatcherPolicy{p: p, d: laburnumdispatch.New("", seed)}
	}},
	{"round robin, no admission", -1, func(p *simulation, _ uint64) policy { return newBaseline(p, false, false) }},
	{"least in flight, no admission", -1, func(p *simulation, _ uint64) policy { return newBaseline(p, true, false) }},
	{"least in flight, unlimited retry", engineQueueSize, func(p *simulation, _ uint64) policy { return newBaseline(p, true, true) }},
}
