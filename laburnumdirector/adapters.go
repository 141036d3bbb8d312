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
	adapterLoadTime       = 12 * time.Millisecond  // expected duration of an adapter's load
	adapterRequestTimeout = 400 * time.Millisecond // timeout of a gateway's need
	adapterEvictAge       = 400 * time.Millisecond // unused, before an adapter may be evicted
	adapterUseWindow      = 3 * time.Second        // since the last use, for the planner
	maxAdapterLoads       = 4                      // concurrent loads of adapters at an engine
)

// adapterRequest is a gateway's request for an adapter.
type adapterRequest struct {
	service laburnumlever.ServiceName
	key     adapterKey
	except  []laburnumlever.BackendID
	since   time.Time
	reply   NeedFunc
}

// NeedFunc receives the engines that hold an adapter. Errors: *NotDirectorError,
// *NoAdapterPlaceError.
type NeedFunc func(backends []laburnumlever.BackendID, err error)

type adapterAnswer struct {
	backends []laburnumlever.BackendID
	err      error
}

// Ask requests an adapter; reply is called once, on the control thread.
func (d *Director) Ask(asked laburnumlever.AdapterNeed, reply NeedFunc) {
	d.loop.Post(d, adapterRequested{request: &adapterRequest{
		service: asked.Service, key: adapterKey{model: asked.Model, adapter: asked.Adapter}, except: asked.Except,
		since: d.timers.Now(), reply: reply,
	}})
}

// Need requests an adapter and waits for the engines that hold it. Errors: those of NeedFunc,
// *ClosedError.
func (d *Director) Need(ctx context.Context, asked laburnumlever.AdapterNeed) ([]laburnumlever.BackendID, error) {
	answer := make(chan adapterAnswer, 1)
	d.Ask(asked, func(backends []laburnumlever.BackendID, err error) {
		answer <- adapterAnswer{backends: backends, err: err}
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

func (d *Director) onAdapterRequest(n *adapterRequest) {
	if !d.lease.valid(d.clock()) {
		n.reply(nil, &NotDirectorError{VM: d.self.ID})
		return
	}
	if !d.tryAnswer(n) {
		d.adapterRequests = append(d.adapterRequests, n)
	}
}

// retryAdapterRequests retries pending needs.
func (d *Director) retryAdapterRequests(now time.Time) {
	var pending []*adapterRequest
	for _, n := range d.adapterRequests {
		if d.tryAnswer(n) {
			continue
		}
		if now.Sub(n.since) > adapterRequestTimeout {
			n.reply(nil, &NoAdapterPlaceError{Model: n.key.model, Adapter: n.key.adapter, Detail: "none had a place in time"})
			continue
		}
		pending = append(pending, n)
	}
	d.adapterRequests = pending
}

func (d *Director) failAdapterRequests() {
	for _, n := range d.adapterRequests {
		n.reply(nil, &NotDirectorError{VM: d.self.ID})
	}
	d.adapterRequests = nil
}

// tryAnswer replies to a need whose adapter is loaded, or orders its load.
func (d *Director) tryAnswer(n *adapterRequest) bool {
	now := d.timers.Now()
	var ready []laburnumlever.BackendID
	found := false
	for _, e := range d.engines.holdersOf(n.key.model) {
		a := e.adapter(n.key)
		if a == nil || slices.Contains(n.except, e.heartbeat.Backend) {
			continue
		}
		found = true
		if a.ready {
			a.usedAt = now
			ready = append(ready, e.heartbeat.Backend)
		}
	}
	if len(ready) > 0 {
		n.reply(ready, nil)
		return true
	}
	if !found {
		d.orderAdapter(n, now)
	}
	return false
}

// recordAdapterUse updates the time of an adapter's last use at all engines.
func (d *Director) recordAdapterUse(key adapterKey, at time.Time) {
	for _, e := range d.engines.holdersOf(key.model) {
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

// orderAdapter loads the adapter at the engine with most free adapter slots, or evicts the least recently
// used one there.
func (d *Director) orderAdapter(n *adapterRequest, now time.Time) {
	class := d.services[n.service]
	if class == nil {
		return
	}
	var best *engine
	for _, e := range d.engines.holdersOf(n.key.model) {
		if slices.Contains(n.except, e.heartbeat.Backend) || !e.acceptsAdapterOf(n.key.model, now) {
			continue
		}
		if best == nil || e.adapterCount() < best.adapterCount() {
			best = e
		}
	}
	if best == nil {
		return
	}
	if best.adapterCount() < class.AdapterSlots && best.hasMemoryFor(class, n.key.model) {
		d.send(best, laburnumlever.EngineOrder{Kind: laburnumlever.Load, Model: n.key.model, Adapter: n.key.adapter})
		return
	}
	if victim, ok := best.leastRecentlyUsed(now); ok {
		d.send(best, laburnumlever.EngineOrder{Kind: laburnumlever.Unload, Model: victim.model, Adapter: victim.adapter})
	}
}

// acceptsAdapterOf tells whether an order for an adapter of the model can be sent.
func (e *engine) acceptsAdapterOf(model laburnumlever.ModelName, now time.Time) bool {
	h := e.held[model]
	return h != nil && !h.withdrawn && e.acceptsAdapterOrder(now)
}

// acceptsAdapterOrder tells whether the engine accepts an order for an adapter; one that is loading a
// model refuses it.
func (e *engine) acceptsAdapterOrder(now time.Time) bool {
	loading := 0
	for _, h := range e.held {
		for _, a := range h.adapters {
			if !a.ready {
				loading++
			}
		}
	}
	return e.idle(now) && loading < maxAdapterLoads
}

func (e *engine) hasMemoryFor(class *laburnumlever.EngineClass, model laburnumlever.ModelName) bool {
	used := 0.0
	for name, h := range e.held {
		m, _ := class.Model(name)
		used += m.WeightsMB + m.AdapterMB*float64(len(h.adapters))
	}
	m, _ := class.Model(model)
	return used+m.AdapterMB <= class.WeightsMB
}

// leastRecentlyUsed returns the least recently used adapter.
func (e *engine) leastRecentlyUsed(now time.Time) (adapterKey, bool) {
	var oldest *heldAdapter
	var key adapterKey
	for model, h := range e.held {
		for name, a := range h.adapters {
			k := adapterKey{model: model, adapter: name}
			if !a.ready || now.Sub(a.usedAt) < adapterEvictAge || (oldest != nil && !usedEarlier(a, k, oldest, key)) {
				continue
			}
			oldest, key = a, k
		}
	}
	return key, oldest != nil
}

// usedEarlier orders adapters by their last use, then by name.
func usedEarlier(a *heldAdapter, ak adapterKey, b *heldAdapter, bk adapterKey) bool {
	return cmp.Or(a.usedAt.Compare(b.usedAt), compareNames(ak.model, bk.model), cmp.Compare(ak.adapter, bk.adapter)) < 0
}

// onAdapterAccepted records an accepted order for an adapter.
func (d *Director) onAdapterAccepted(e *engine, order laburnumlever.EngineOrder) {
	key := adapterKey{model: order.Model, adapter: order.Adapter}
	if order.Kind == laburnumlever.Unload {
		e.removeAdapter(key, d.timers.Now())
		return
	}
	id := e.heartbeat.Backend
	d.timers.After(adapterLoadTime, func(time.Time) { d.loop.Post(d, adapterLoaded{backend: id, key: key}) })
}

func (d *Director) onAdapterLoaded(ev adapterLoaded) {
	e := d.engines.get(ev.backend)
	if e == nil {
		return
	}
	a := e.adapter(ev.key)
	if a == nil {
		return
	}
	a.ready, a.usedAt = true, d.timers.Now()
	e.markChanged()
	_ = level.Debug(d.cfg.logger).Log("event", laburnumlever.EventAdapterThere, "backend", ev.backend, "model", ev.key.model, "adapter", ev.key.adapter)
	d.retryAdapterRequests(d.timers.Now())
}
