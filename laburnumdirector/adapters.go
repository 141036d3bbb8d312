package laburnumdirector

import (
	"cmp"
	"context"
	"slices"
	"time"

	"laburnumlever"

	"github.com/go-kit/log/level"
)

const (
	adapterLoad  = 12 * time.Millisecond  // expected duration of an adapter's load
	needLimit    = 400 * time.Millisecond // timeout of a gateway's need
	adapterQuiet = 400 * time.Millisecond // unused, before an adapter may be evicted
	adapterInUse = 3 * time.Second        // since the last use, for the planner
	comingLimit  = 4                      // concurrent loads of adapters at an engine
)

// need is a gateway's request for an adapter.
type need struct {
	service laburnumlever.ServiceName
	key     adapterKey
	except  []laburnumlever.BackendID
	since   time.Time
	reply   NeedFunc
}

// NeedFunc receives the engines that hold an adapter. Errors: *NotDirectorError,
// *NoAdapterPlaceError.
type NeedFunc func(backends []laburnumlever.BackendID, err error)

type needAnswer struct {
	backends []laburnumlever.BackendID
	err      error
}

// Ask requests an adapter; reply is called once, on the control thread.
func (d *Director) Ask(asked laburnumlever.AdapterNeed, reply NeedFunc) {
	d.loop.Post(d, needed{need: &need{
		service: asked.Service, key: adapterKey{model: asked.Model, adapter: asked.Adapter}, except: asked.Except,
		since: d.timers.Now(), reply: reply,
	}})
}

// Need requests an adapter and waits for the engines that hold it. Errors: those of NeedFunc,
// *ClosedError.
func (d *Director) Need(ctx context.Context, asked laburnumlever.AdapterNeed) ([]laburnumlever.BackendID, error) {
	answer := make(chan needAnswer, 1)
	d.Ask(asked, func(backends []laburnumlever.BackendID, err error) {
		answer <- needAnswer{backends: backends, err: err}
	})
	select {
	case a := <-answer:
		return a.backends, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-d.done:
		return nil, &ClosedError{}
	}
}

func (d *Director) onNeed(n *need) {
	if !d.lease.valid(d.clock()) {
		n.reply(nil, &NotDirectorError{VM: d.self.ID})
		return
	}
	if !d.serve(n) {
		d.needs = append(d.needs, n)
	}
}

// tendNeeds retries pending needs.
func (d *Director) tendNeeds(now time.Time) {
	var left []*need
	for _, n := range d.needs {
		if d.serve(n) {
			continue
		}
		if now.Sub(n.since) > needLimit {
			n.reply(nil, &NoAdapterPlaceError{Model: n.key.model, Adapter: n.key.adapter, Detail: "none had a place in time"})
			continue
		}
		left = append(left, n)
	}
	d.needs = left
}

func (d *Director) failNeeds() {
	for _, n := range d.needs {
		n.reply(nil, &NotDirectorError{VM: d.self.ID})
	}
	d.needs = nil
}

// serve replies to a need whose adapter is loaded, or orders its load.
func (d *Director) serve(n *need) bool {
	now := d.timers.Now()
	var there []laburnumlever.BackendID
	coming := false
	for _, e := range d.engines.holding(n.key.model) {
		a := e.adapter(n.key)
		if a == nil || slices.Contains(n.except, e.heartbeat.Backend) {
			continue
		}
		coming = true
		if a.ready {
			a.usedAt = now
			there = append(there, e.heartbeat.Backend)
		}
	}
	if len(there) > 0 {
		n.reply(there, nil)
		return true
	}
	if !coming {
		d.bring(n, now)
	}
	return false
}

// used updates the time of an adapter's last use at all engines.
func (d *Director) used(key adapterKey, at time.Time) {
	for _, e := range d.engines.holding(key.model) {
		if a := e.adapter(key); a != nil && at.After(a.usedAt) {
			a.usedAt = at
		}
	}
}

func (e *engine) adapter(key adapterKey) *heldAdapter {
	h := e.held[key.model]
	if h == nil || h.withdrawn {
		return nil
	}
	return h.adapters[key.adapter]
}

// bring loads the adapter at the engine with most free adapter slots, or evicts the least recently
// used one there.
func (d *Director) bring(n *need, now time.Time) {
	class := d.services[n.service]
	if class == nil {
		return
	}
	var best *engine
	for _, e := range d.engines.holding(n.key.model) {
		if slices.Contains(n.except, e.heartbeat.Backend) || !e.takesAdapterOf(n.key.model, now) {
			continue
		}
		if best == nil || e.adapters() < best.adapters() {
			best = e
		}
	}
	if best == nil {
		return
	}
	if best.adapters() < class.AdapterSlots && best.roomFor(class, n.key.model) {
		d.send(best, laburnumlever.EngineOrder{Kind: laburnumlever.Load, Model: n.key.model, Adapter: n.key.adapter})
		return
	}
	if victim, ok := best.unused(now); ok {
		d.send(best, laburnumlever.EngineOrder{Kind: laburnumlever.Unload, Model: victim.model, Adapter: victim.adapter})
	}
}

// takesAdapterOf tells whether an order for an adapter of the model can be sent.
func (e *engine) takesAdapterOf(model laburnumlever.ModelName, now time.Time) bool {
	h := e.held[model]
	return h != nil && !h.withdrawn && e.takesAdapter(now)
}

// takesAdapter tells whether the engine accepts an order for an adapter; one that is loading a
// model refuses it.
func (e *engine) takesAdapter(now time.Time) bool {
	coming := 0
	for _, h := range e.held {
		for _, a := range h.adapters {
			if !a.ready {
				coming++
			}
		}
	}
	return e.idle(now) && coming < comingLimit
}

func (e *engine) roomFor(class *laburnumlever.EngineClass, model laburnumlever.ModelName) bool {
	used := 0.0
	for name, h := range e.held {
		m, _ := class.Model(name)
		used += m.WeightsMB + m.AdapterMB*float64(len(h.adapters))
	}
	m, _ := class.Model(model)
	return used+m.AdapterMB <= class.WeightsMB
}

// unused returns the least recently used adapter.
func (e *engine) unused(now time.Time) (adapterKey, bool) {
	var oldest *heldAdapter
	var key adapterKey
	for model, h := range e.held {
		for name, a := range h.adapters {
			k := adapterKey{model: model, adapter: name}
			if !a.ready || now.Sub(a.usedAt) < adapterQuiet || (oldest != nil && !olderUse(a, k, oldest, key)) {
				continue
			}
			oldest, key = a, k
		}
	}
	return key, oldest != nil
}

// olderUse orders adapters by their last use, then by name.
func olderUse(a *heldAdapter, ak adapterKey, b *heldAdapter, bk adapterKey) bool {
	return cmp.Or(a.usedAt.Compare(b.usedAt), compareNames(ak.model, bk.model), cmp.Compare(ak.adapter, bk.adapter)) < 0
}

// adapterBegun records an accepted order for an adapter.
func (d *Director) adapterBegun(e *engine, order laburnumlever.EngineOrder) {
	key := adapterKey{model: order.Model, adapter: order.Adapter}
	if order.Kind == laburnumlever.Unload {
		e.drop(key, d.timers.Now())
		return
	}
	id := e.heartbeat.Backend
	d.timers.After(adapterLoad, func(time.Time) { d.loop.Post(d, arrived{backend: id, key: key}) })
}

func (d *Director) onArrived(ev arrived) {
	e := d.engines.get(ev.backend)
	if e == nil {
		return
	}
	a := e.adapter(ev.key)
	if a == nil {
		return
	}
	a.ready, a.usedAt = true, d.timers.Now()
	e.touch()
	_ = level.Debug(d.cfg.logger).Log("event", laburnumlever.EventAdapterThere, "backend", ev.backend, "model", ev.key.model, "adapter", ev.key.adapter)
	d.tendNeeds(d.timers.Now())
}
