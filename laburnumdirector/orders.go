package laburnumdirector

import (
	"context"
	"maps"
	"slices"
	"time"

	"laburnumlever"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
)

// send sends an order. It checks the lease again, as the VM may have been suspended since the last
// tick.
func (d *Director) send(e *engine, order laburnumlever.EngineOrder) {
	if !d.lease.valid(d.clock()) || e.sending != nil || !e.known {
		return
	}
	order.Expect, order.Holder, order.Fence = e.accepted, d.self.ID, d.lease.fence
	e.sending, e.sentAfter = &order, e.heartbeat.Sequence
	e.note(order, d.timers.Now())
	d.cfg.scope.Counter("orders-sent").Inc(1)
	to, until := e.heartbeat, d.lease.until
	d.cfg.spawn(func() {
		left := until - d.clock()
		if left <= 0 {
			d.loop.Post(d, ordered{backend: to.Backend, order: order, err: &laburnumlever.NotSentError{Cause: &NotDirectorError{VM: d.self.ID}}})
			return
		}
		// A slow connection must not deliver the order after the lease.
		ctx, cancel := context.WithTimeout(context.Background(), min(orderTimeout, left))
		defer cancel()
		verdict, err := d.calls.Order(ctx, to, order)
		d.loop.Post(d, ordered{backend: to.Backend, order: order, verdict: verdict, err: err})
	})
}

// note counts a model as held from the moment that its load is sent.
func (e *engine) note(order laburnumlever.EngineOrder, now time.Time) {
	if order.Kind != laburnumlever.Load {
		return
	}
	m := laburnumlever.HeldModel{Name: order.Model}
	if was := e.held[order.Model]; was != nil {
		m.Version = was.version
	}
	if order.Adapter != "" {
		m.Adapters = []laburnumlever.AdapterName{order.Adapter}
	}
	h := e.add(m, false)
	if h.since.IsZero() {
		h.since = now
	}
	if order.Adapter != "" {
		h.adapters[order.Adapter].since, h.adapters[order.Adapter].listed = now, false
	}
}

// undo reverts note, once the order can't take effect.
func (e *engine) undo(order laburnumlever.EngineOrder) {
	h := e.held[order.Model]
	if order.Kind != laburnumlever.Load || h == nil {
		return
	}
	if order.Adapter == "" {
		if !e.heartbeat.Holds(order.Model, "") {
			e.lose(order.Model)
		}
		return
	}
	if a := h.adapters[order.Adapter]; a != nil && !a.ready {
		delete(h.adapters, order.Adapter)
	}
}

func (d *Director) onOrdered(ev ordered) {
	e := d.engines.get(ev.backend)
	if e == nil || e.sending == nil || *e.sending != ev.order {
		return
	}
	e.sending = nil
	d.logOrder(ev)
	now := d.timers.Now()
	if ev.err != nil {
		d.onOrderLost(e, ev, now)
		return
	}
	e.unsure = nil
	switch ev.verdict {
	case laburnumlever.VerdictAccepted:
		e.accepted++
		d.begun(e, ev.order, now)
	case laburnumlever.VerdictHeld:
		d.heldAlready(e, ev.order)
	case laburnumlever.VerdictStaleFence:
		e.undo(ev.order)
		d.loseLease("an engine has seen a higher fencing number")
	case laburnumlever.VerdictOther:
		d.engines.remove(ev.backend)
		delete(d.records, ev.backend)
		d.onGone(ev.backend)
	default:
		// The engine has accepted an order of another owner.
		e.undo(ev.order)
		e.known, e.tryAt = false, now.Add(stateRetry)
	}
}

func (d *Director) onOrderLost(e *engine, ev ordered, now time.Time) {
	var notSent *laburnumlever.NotSentError
	if errors.As(ev.err, &notSent) {
		if e.unsure == nil {
			e.undo(ev.order)
		}
		e.tryAt, e.unreachableAt = now.Add(stateRetry), now
		return
	}
	unsure := ev.order
	e.unsure = &unsure
	e.tryAt = now.Add(unsureRetry)
	d.cfg.scope.Counter("orders-unsure").Inc(1)
}

// begun records an accepted order.
func (d *Director) begun(e *engine, order laburnumlever.EngineOrder, now time.Time) {
	if order.Adapter != "" {
		d.adapterBegun(e, order)
		return
	}
	e.working, e.workingKind, e.workingSince, e.workingTime = order.Model, order.Kind, now, 0
	if m, ok := d.model(e, order.Model); ok && order.Kind == laburnumlever.Load {
		p := e.planned(now)
		e.workingTime = time.Duration(p.LoadSeconds(m) * float64(time.Second))
	}
	e.workingAfter = e.sentAfter
	if e.workEnded(e.heartbeat) {
		// The heartbeat with the end has overtaken the answer, and later ones bring no change.
		e.working = ""
	}
	e.touch()
}

// heldAlready handles an order without effect. An unused adapter is unloaded at once, which counts
// as an accepted order.
func (d *Director) heldAlready(e *engine, order laburnumlever.EngineOrder) {
	switch {
	case order.Kind == laburnumlever.Load && order.Adapter != "":
		d.adapterBegun(e, order)
	case order.Kind == laburnumlever.Unload && order.Adapter != "":
		e.drop(adapterKey{model: order.Model, adapter: order.Adapter}, d.timers.Now())
		e.accepted++
	case order.Kind == laburnumlever.Unload:
		e.lose(order.Model)
		e.touch()
	default:
	}
}

// tendEngine retries orders of unknown outcome, requests the state of overdue engines and sends
// due unloads.
func (d *Director) tendEngine(e *engine, now time.Time) {
	if e.sending != nil || now.Before(e.tryAt) {
		return
	}
	if e.unsure != nil {
		d.resend(e)
		return
	}
	if e.working != "" && now.Sub(e.workingSince) > d.expected(e) {
		e.workingSince, e.overdue = now, true
		d.ask(e, now)
		return
	}
	if !e.idle(now) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(e.held)) {
		if h := e.held[name]; h.withdrawn && now.Sub(h.withdrawnAt) >= withdrawTime {
			d.send(e, laburnumlever.EngineOrder{Kind: laburnumlever.Unload, Model: name})
			return
		}
	}
}

// resend retries an order of unknown outcome under its number, so that it can't take effect twice.
func (d *Director) resend(e *engine) {
	order := *e.unsure
	class := d.services[e.heartbeat.Service]
	if order.Kind == laburnumlever.Load && order.Adapter == "" && class != nil && !d.payStore(e, class) {
		return
	}
	d.send(e, laburnumlever.EngineOrder{Kind: order.Kind, Model: order.Model, Adapter: order.Adapter})
}

// expected is the duration after which an order is overdue.
func (d *Director) expected(e *engine) time.Duration {
	if m, ok := d.model(e, e.working); ok {
		return workStretch*time.Duration(m.StoreLoad) + workSlack
	}
	return workSlack
}

// model returns a model of the engine's service.
func (d *Director) model(e *engine, name laburnumlever.ModelName) (laburnumlever.ResidentClass, bool) {
	class := d.services[e.heartbeat.Service]
	if class == nil {
		return laburnumlever.ResidentClass{}, false
	}
	return class.Model(name)
}

// ask requests an engine's state, unless too many requests are in flight.
func (d *Director) ask(e *engine, now time.Time) {
	if e.asking || e.sending != nil || now.Before(e.tryAt) || d.asking >= maxAsking {
		return
	}
	e.asking = true
	d.asking++
	to := e.heartbeat
	d.cfg.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
		defer cancel()
		state, err := d.calls.State(ctx, to)
		d.loop.Post(d, stated{backend: to.Backend, state: state, err: err})
	})
}

func (d *Director) onStated(ev stated) {
	d.asking--
	e := d.engines.get(ev.backend)
	if e == nil {
		return
	}
	e.asking = false
	if ev.err != nil {
		e.tryAt = d.timers.Now().Add(stateRetry)
		_ = level.Info(d.cfg.logger).Log("event", laburnumlever.EventEngineNotAsked, "backend", ev.backend, "cause", ev.err)
		return
	}
	if ev.state.Born != 0 && ev.state.Born != e.heartbeat.Born {
		// The engine has restarted, or the state is from before; a heartbeat will tell.
		e.known, e.tryAt = false, d.timers.Now().Add(stateRetry)
		return
	}
	if e.sending != nil || (e.known && ev.state.Accepted < e.accepted) {
		return // outdated
	}
	e.takeState(ev.state, d.timers.Now())
}

func (d *Director) logOrder(ev ordered) {
	_ = level.Info(d.cfg.logger).Log("event", laburnumlever.EventOrderAnswered, "backend", ev.backend, "kind", ev.order.Kind, "model", ev.order.Model,
		"adapter", ev.order.Adapter, "expect", ev.order.Expect, "fence", ev.order.Fence, "verdict", ev.verdict, "cause", ev.err)
}
