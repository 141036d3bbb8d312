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
	adapterLoadTime       = 12 * time.Millisecond  // an accepted adapter load counts as complete after it
	adapterRequestTimeout = 400 * time.Millisecond // time after which a pending adapter request fails
	adapterUnloadAge      = 400 * time.Millisecond // time without use after which an adapter may be unloaded
	adapterUseWindow      = 3 * time.Second        // time since its last use in which an adapter is in use
	maxAdapterLoads       = 4                      // concurrent adapter loads on an engine
)

// adapterRequest is a gateway's request for an adapter on engines other than those in except.
type adapterRequest struct {
	service laburnumlever.ServiceName
	key     adapterKey
	except  []laburnumlever.BackendID
	since   time.Time
	reply   AdapterFunc
}

// AdapterFunc receives the engines that hold an adapter. Errors: *NotDirectorError,
// *NoAdapterPlaceError.
type AdapterFunc func(backends []laburnumlever.BackendID, err error)

type adapterAnswer struct {
	backends []laburnumlever.BackendID
	err      error
}

// EnsureAdapterAsync requests an adapter, which is loaded if no engine holds it. It calls reply
// once, on the control thread (the goroutine of the event loop).
func (d *Director) EnsureAdapterAsync(request laburnumlever.AdapterRequest, reply AdapterFunc) {
	d.loop.Post(d, adapterRequested{request: &adapterRequest{
		service: request.Service, key: adapterKey{model: request.Model, adapter: request.Adapter}, except: request.Except,
		since: d.timers.Now(), reply: reply,
	}})
}

// EnsureAdapter requests an adapter, which is loaded if no engine holds it, and returns the engines
// that hold it. Errors: those of AdapterFunc, *ClosedError, and that of ctx.
func (d *Director) EnsureAdapter(ctx context.Context, request laburnumlever.AdapterRequest) ([]laburnumlever.BackendID, error) {
	answer := make(chan adapterAnswer, 1)
	d.EnsureAdapterAsync(request, func(backends []laburnumlever.BackendID, err error) {
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

func (d *Director) onAdapterRequest(request *adapterRequest) {
	if !d.lease.valid(d.clock()) {
		request.reply(nil, &NotDirectorError{VM: d.self.ID})
		return
	}
	if !d.tryAnswer(request) {
		d.adapterRequests = append(d.adapterRequests, request)
	}
}

// retryAdapterRequests retries the pending requests and fails those that have timed out.
func (d *Director) retryAdapterRequests(now time.Time) {
	var pending []*adapterRequest
	for _, request := range d.adapterRequests {
		if d.tryAnswer(request) {
			continue
		}
		if now.Sub(request.since) > adapterRequestTimeout {
			request.reply(nil, &NoAdapterPlaceError{Model: request.key.model, Adapter: request.key.adapter, Detail: "no engine loaded the adapter in time"})
			continue
		}
		pending = append(pending, request)
	}
	d.adapterRequests = pending
}

// failAdapterRequests fails the pending requests when this VM is no longer the director.
func (d *Director) failAdapterRequests() {
	for _, request := range d.adapterRequests {
		request.reply(nil, &NotDirectorError{VM: d.self.ID})
	}
	d.adapterRequests = nil
}

// tryAnswer replies to a request whose adapter is loaded, and tells whether it did. Otherwise it
// orders the load, unless a load of the adapter is in progress.
func (d *Director) tryAnswer(request *adapterRequest) bool {
	now := d.timers.Now()
	var ready []laburnumlever.BackendID
	found := false
	for _, e := range d.engines.holdersOf(request.key.model) {
		a := e.adapter(request.key)
		if a == nil || slices.Contains(request.except, e.heartbeat.Backend) {
			continue
		}
		found = true
		if a.ready {
			a.usedAt = now
			ready = append(ready, e.heartbeat.Backend)
		}
	}
	if len(ready) > 0 {
		request.reply(ready, nil)
		return true
	}
	if !found {
		d.orderAdapter(request, now)
	}
	return false
}

// recordAdapterUse updates the time of an adapter's last use on all engines that hold it.
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

// orderAdapter orders the load of an adapter on the engine with the fewest adapters. If that engine
// has no free slot or memory, it orders the unload of the least recently used adapter there.
func (d *Director) orderAdapter(request *adapterRequest, now time.Time) {
	class := d.engineClasses[request.service]
	if class == nil {
		return
	}
	var best *engine
	for _, e := range d.engines.holdersOf(request.key.model) {
		if slices.Contains(request.except, e.heartbeat.Backend) || !e.acceptsAdapterOrderFor(request.key.model, now) || e.holdsUnlisted(class) {
			continue
		}
		if best == nil || e.adapterCount() < best.adapterCount() {
			best = e
		}
	}
	if best == nil {
		return
	}
	if best.adapterCount() < class.AdapterSlots && best.hasMemoryFor(class, request.key.model) {
		d.send(best, laburnumlever.EngineOrder{Kind: laburnumlever.Load, Model: request.key.model, Adapter: request.key.adapter})
		return
	}
	if oldest, ok := best.leastRecentlyUsed(now); ok {
		d.send(best, laburnumlever.EngineOrder{Kind: laburnumlever.Unload, Model: oldest.model, Adapter: oldest.adapter})
	}
}

// acceptsAdapterOrderFor tells whether the engine holds the model and accepts an order for one of the
// model's adapters.
func (e *engine) acceptsAdapterOrderFor(model laburnumlever.ModelName, now time.Time) bool {
	h := e.held[model]
	return h != nil && !h.withdrawn && e.acceptsAdapterOrders(now)
}

// acceptsAdapterOrders tells whether the engine accepts an order for an adapter: it is ready for an
// order, which an engine that is loading a model is not, and loads fewer than maxAdapterLoads adapters.
func (e *engine) acceptsAdapterOrders(now time.Time) bool {
	loading := 0
	for _, h := range e.held {
		for _, a := range h.adapters {
			if !a.ready {
				loading++
			}
		}
	}
	return e.readyForOrder(now) && loading < maxAdapterLoads
}

// holdsUnlisted tells whether the engine holds a model that the class does not list. The size of such a
// model is unknown, so not even the unload of an adapter makes room beside it.
func (e *engine) holdsUnlisted(class *laburnumlever.EngineClass) bool {
	for name := range e.held {
		if _, ok := class.Model(name); !ok {
			return true
		}
	}
	return false
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

// leastRecentlyUsed returns the least recently used loaded adapter, or false if all have been used
// within adapterUnloadAge.
func (e *engine) leastRecentlyUsed(now time.Time) (adapterKey, bool) {
	var oldest *heldAdapter
	var key adapterKey
	for model, h := range e.held {
		for name, a := range h.adapters {
			k := adapterKey{model: model, adapter: name}
			if !a.ready || now.Sub(a.usedAt) < adapterUnloadAge || (oldest != nil && !usedEarlier(a, k, oldest, key)) {
				continue
			}
			oldest, key = a, k
		}
	}
	return key, oldest != nil
}

// usedEarlier tells whether adapter a sorts before b, by last use, then by name.
func usedEarlier(a *heldAdapter, ak adapterKey, b *heldAdapter, bk adapterKey) bool {
	return cmp.Or(a.usedAt.Compare(b.usedAt), compareNames(ak.model, bk.model), cmp.Compare(ak.adapter, bk.adapter)) < 0
}

// onAdapterAccepted records an accepted order for an adapter. A load counts as complete after
// adapterLoadTime, before a heartbeat shows it.
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
	_ = level.Debug(d.cfg.logger).Log("event", laburnumlever.EventAdapterLoaded, "backend", ev.backend, "model", ev.key.model, "adapter", ev.key.adapter)
	d.retryAdapterRequests(d.timers.Now())
}
