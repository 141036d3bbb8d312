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

// send sends an order to an engine, unless an order awaits its answer or the number of accepted orders
// is unknown. It checks the lease again, as the VM may have been suspended since the last tick.
func (d *Director) send(e *engine, order laburnumlever.EngineOrder) {
	if !d.lease.valid(d.clock()) || e.inFlight != nil || !e.acceptedKnown {
		return
	}
	order.Expect, order.Holder, order.Fence = e.accepted, d.self.ID, d.lease.fence
	e.inFlight, e.sentAfterSequence = &order, e.heartbeat.Sequence
	e.recordLoad(order, d.timers.Now())
	d.cfg.scope.Counter("orders-sent").Inc(1)
	to, until := e.heartbeat, d.lease.validUntil
	d.cfg.spawn(func() {
		left := until - d.clock()
		if left <= 0 {
			d.loop.Post(d, orderAnswered{backend: to.Backend, order: order, err: &laburnumlever.NotSentError{Cause: &NotDirectorError{VM: d.self.ID}}})
			return
		}
		// The timeout keeps a slow connection from delivering the order after the lease has ended.
		ctx, cancel := context.WithTimeout(context.Background(), min(orderTimeout, left))
		defer cancel()
		verdict, err := d.calls.Order(ctx, to, order)
		d.loop.Post(d, orderAnswered{backend: to.Backend, order: order, verdict: verdict, err: err})
	})
}

// recordLoad counts a model or adapter as held as soon as the order to load it is sent.
func (e *engine) recordLoad(order laburnumlever.EngineOrder, now time.Time) {
	if order.Kind != laburnumlever.Load {
		return
	}
	m := laburnumlever.EngineModel{Name: order.Model}
	if held := e.held[order.Model]; held != nil {
		m.Version = held.version
	}
	if order.Adapter != "" {
		m.Adapters = []laburnumlever.AdapterName{order.Adapter}
	}
	h := e.addModel(m, false)
	if h.since.IsZero() {
		h.since = now
	}
	if order.Adapter != "" {
		h.adapters[order.Adapter].since, h.adapters[order.Adapter].listed = now, false
	}
}

// revertLoad reverts recordLoad for an order that can no longer take effect.
func (e *engine) revertLoad(order laburnumlever.EngineOrder) {
	h := e.held[order.Model]
	if order.Kind != laburnumlever.Load || h == nil {
		return
	}
	if order.Adapter == "" {
		if !e.heartbeat.Holds(order.Model, "") {
			e.removeModel(order.Model)
		}
		return
	}
	if a := h.adapters[order.Adapter]; a != nil && !a.ready {
		delete(h.adapters, order.Adapter)
	}
}

func (d *Director) onOrderAnswered(ev orderAnswered) {
	e := d.engines.get(ev.backend)
	if e == nil || e.inFlight == nil || *e.inFlight != ev.order {
		return
	}
	e.inFlight = nil
	d.logOrder(ev)
	now := d.timers.Now()
	if ev.err != nil {
		d.onOrderError(e, ev, now)
		return
	}
	e.unresolved = nil
	switch ev.verdict {
	case laburnumlever.VerdictAccepted:
		e.accepted++
		d.onOrderAccepted(e, ev.order, now)
	case laburnumlever.VerdictHeld:
		d.onOrderWithoutEffect(e, ev.order)
	case laburnumlever.VerdictStaleFence:
		e.revertLoad(ev.order)
		d.loseLease("an engine has seen a higher fencing number")
	case laburnumlever.VerdictOther:
		d.engines.remove(ev.backend)
		delete(d.records, ev.backend)
		d.onReplaced(laburnumlever.BackendStart{Backend: ev.backend, Incarnation: e.heartbeat.Incarnation})
	default:
		// The engine may have accepted an order of another director, so the count is requested again.
		e.revertLoad(ev.order)
		e.acceptedKnown, e.retryAt = false, now.Add(stateRetryDelay)
	}
}

func (d *Director) onOrderError(e *engine, ev orderAnswered, now time.Time) {
	var notSent *laburnumlever.NotSentError
	if errors.As(ev.err, &notSent) {
		if e.unresolved == nil {
			e.revertLoad(ev.order)
		}
		e.retryAt, e.unreachableAt = now.Add(stateRetryDelay), now
		return
	}
	unsure := ev.order
	e.unresolved = &unsure
	e.retryAt = now.Add(resendDelay)
	d.cfg.scope.Counter("orders-unsure").Inc(1)
}

// onOrderAccepted records an accepted order for a model as the one in progress, and leaves an order for
// an adapter to onAdapterAccepted.
func (d *Director) onOrderAccepted(e *engine, order laburnumlever.EngineOrder, now time.Time) {
	if order.Adapter != "" {
		d.onAdapterAccepted(e, order)
		return
	}
	e.activeModel, e.activeKind, e.activeSince, e.activeDuration = order.Model, order.Kind, now, 0
	if m, ok := d.model(e, order.Model); ok && order.Kind == laburnumlever.Load {
		p := e.snapshot(now)
		e.activeDuration = time.Duration(p.LoadSeconds(m) * float64(time.Second))
	}
	e.activeAfterSequence = e.sentAfterSequence
	if e.orderEnded(e.heartbeat) {
		// A heartbeat that shows the end has arrived before the answer; later ones may show no change.
		e.activeModel = ""
	}
	e.markChanged()
}

// onOrderWithoutEffect handles an order whose model or adapter already was in the ordered state. The
// unload of an unused adapter gets the same verdict, since it ends at once, but the engine counts it as
// an accepted order.
func (d *Director) onOrderWithoutEffect(e *engine, order laburnumlever.EngineOrder) {
	switch {
	case order.Kind == laburnumlever.Load && order.Adapter != "":
		d.onAdapterAccepted(e, order)
	case order.Kind == laburnumlever.Unload && order.Adapter != "":
		e.removeAdapter(adapterKey{model: order.Model, adapter: order.Adapter}, d.timers.Now())
		e.accepted++
	case order.Kind == laburnumlever.Unload:
		e.removeModel(order.Model)
		e.markChanged()
	default:
	}
}

// maintainEngine does the first of these that applies: it resends an order of unknown outcome, requests
// the state if the order in progress is overdue, or orders the unload of a withdrawn model whose
// withdrawDelay is over. It does nothing before retryAt, or while an order awaits its answer.
func (d *Director) maintainEngine(e *engine, now time.Time) {
	if e.inFlight != nil || now.Before(e.retryAt) {
		return
	}
	if e.unresolved != nil {
		d.resend(e)
		return
	}
	if e.activeModel != "" && now.Sub(e.activeSince) > d.overdueAfter(e) {
		e.activeSince, e.overdue = now, true
		d.requestState(e, now)
		return
	}
	if !e.readyForOrder(now) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(e.held)) {
		if h := e.held[name]; h.withdrawn && now.Sub(h.withdrawnAt) >= withdrawDelay {
			d.send(e, laburnumlever.EngineOrder{Kind: laburnumlever.Unload, Model: name})
			return
		}
	}
}

// resend sends an order of unknown outcome again with the same expected number of accepted orders, so
// that it can't take effect twice.
func (d *Director) resend(e *engine) {
	order := *e.unresolved
	class := d.engineClasses[e.heartbeat.Service]
	if order.Kind == laburnumlever.Load && order.Adapter == "" && class != nil && !d.takeStoreToken(e, class) {
		return
	}
	d.send(e, laburnumlever.EngineOrder{Kind: order.Kind, Model: order.Model, Adapter: order.Adapter})
}

// overdueAfter is the duration after which the order in progress is overdue.
func (d *Director) overdueAfter(e *engine) time.Duration {
	if m, ok := d.model(e, e.activeModel); ok {
		return overdueFactor*time.Duration(m.StoreLoad) + overdueSlack
	}
	return overdueSlack
}

// model returns a model of the engine's service; false if the service has none of that name.
func (d *Director) model(e *engine, name laburnumlever.ModelName) (laburnumlever.ModelClass, bool) {
	class := d.engineClasses[e.heartbeat.Service]
	if class == nil {
		return laburnumlever.ModelClass{}, false
	}
	return class.Model(name)
}

// requestState requests an engine's state, unless a request or an order to it is in flight, retryAt has
// not come, or maxStateRequests are in flight to all engines.
func (d *Director) requestState(e *engine, now time.Time) {
	if e.stateRequested || e.inFlight != nil || now.Before(e.retryAt) || d.stateRequests >= maxStateRequests {
		return
	}
	e.stateRequested = true
	d.stateRequests++
	to := e.heartbeat
	d.cfg.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
		defer cancel()
		state, err := d.calls.State(ctx, to)
		d.loop.Post(d, stateReceived{backend: to.Backend, state: state, err: err})
	})
}

func (d *Director) onStateReceived(ev stateReceived) {
	d.stateRequests--
	e := d.engines.get(ev.backend)
	if e == nil {
		return
	}
	e.stateRequested = false
	if ev.err != nil {
		e.retryAt = d.timers.Now().Add(stateRetryDelay)
		_ = level.Info(d.cfg.logger).Log("event", laburnumlever.EventEngineStateNotRead, "backend", ev.backend, "cause", ev.err)
		return
	}
	if ev.state.Incarnation != 0 && ev.state.Incarnation != e.heartbeat.Incarnation {
		// Either the engine has restarted or the state is older than its restart. The next heartbeat
		// shows which.
		e.acceptedKnown, e.retryAt = false, d.timers.Now().Add(stateRetryDelay)
		return
	}
	if e.inFlight != nil || (e.acceptedKnown && ev.state.Accepted < e.accepted) {
		return // the state may be older than an order
	}
	e.applyState(ev.state, d.timers.Now())
}

func (d *Director) logOrder(ev orderAnswered) {
	_ = level.Info(d.cfg.logger).Log("event", laburnumlever.EventOrderAnswered, "backend", ev.backend, "kind", ev.order.Kind, "model", ev.order.Model,
		"adapter", ev.order.Adapter, "expect", ev.order.Expect, "fence", ev.order.Fence, "verdict", ev.verdict, "cause", ev.err)
}
