package laburnumstandin

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"laburnumlever"

	"github.com/go-kit/log/level"
)

const (
	// weightStoreTries is the number of fetches from the weight store before a load fails.
	weightStoreTries = 3
	// weightStoreTimeout bounds one fetch, including its time in the store's queue.
	weightStoreTimeout = 2 * time.Minute
)

// Order applies one order and answers at once: a load is accepted, and its memory
// committed, before the weights have been fetched; an unloaded copy stays until its
// requests have finished. An engine that does not check fencing numbers accepts
// stale and overcommitting orders. Order ids are not deduplicated, so an order that
// arrives twice takes effect twice.
func (e *Engine) Order(order laburnumlever.Order) laburnumlever.OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	outcome, detail := e.applyOrder(order)
	return laburnumlever.OrderAnswer{
		ID:      order.ID,
		Outcome: outcome,
		Detail:  detail,
		Fence:   e.fence,
		Loaded:  e.memory.inventory(),
	}
}

func (e *Engine) applyOrder(order laburnumlever.Order) (laburnumlever.OrderOutcome, string) {
	if e.announcement.ChecksFencing {
		if order.Fence < e.fence {
			return laburnumlever.OrderStaleFence, ""
		}
		e.fence = order.Fence
	}
	if order.Kind == laburnumlever.Unload {
		return e.unload(order.Copy)
	}
	return e.load(order)
}

func (e *Engine) load(order laburnumlever.Order) (laburnumlever.OrderOutcome, string) {
	if !e.memory.hasAccelerators(order.Copy.Accelerators) {
		return laburnumlever.OrderFailed, "no such accelerator"
	}
	if a, after, over := e.memory.overcommit(order.Copy); over {
		taken := !e.announcement.ChecksFencing
		e.violations = append(e.violations, Violation{
			At: e.cfg.timers.Now(), Backend: e.announcement.Backend, Accelerator: a.ID,
			CommittedMiB: after, MemoryMiB: a.MemoryMiB, Order: order.ID, Accepted: taken,
		})
		if !taken {
			return laburnumlever.OrderNoMemory, string(a.ID)
		}
	}
	h := e.memory.find(order.Copy)
	if h == nil {
		h = e.memory.add(order.Copy)
	}
	h.draining = false
	next := order.Copy
	h.next = &next
	e.startLoad(h, &next)
	return laburnumlever.OrderDone, ""
}

func (e *Engine) unload(l laburnumlever.ModelCopy) (laburnumlever.OrderOutcome, string) {
	h := e.memory.find(l)
	if h == nil {
		return laburnumlever.OrderUnknownModel, ""
	}
	h.draining = true
	h.next = nil
	e.removeIfDrained(h)
	return laburnumlever.OrderDone, ""
}

// removeIfDrained removes a draining copy that has no requests in flight.
func (e *Engine) removeIfDrained(h *modelCopy) {
	if h.draining && h.inFlight == 0 {
		e.memory.remove(h)
	}
}

// startLoad fetches the weights from the weight store, if there is one, and marks the
// copy ready after the load time. next identifies this load, since a later one of the
// same copy replaces it.
func (e *Engine) startLoad(h *modelCopy, next *laburnumlever.ModelCopy) {
	finish := func() {
		e.cfg.timers.After(e.cfg.loadTime, func(time.Time) { e.finishLoad(h, next) })
	}
	if e.cfg.weightStore == "" {
		finish()
		return
	}
	go func() {
		if err := e.fetchWeights(*next); err != nil {
			_ = level.Warn(e.cfg.logger).Log("event", laburnumlever.EventLoadFailed, "model", next.Model, "err", err)
			e.failLoad(h, next)
			return
		}
		finish()
	}()
}

func (e *Engine) finishLoad(h *modelCopy, next *laburnumlever.ModelCopy) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if h.next != next {
		return
	}
	h.current = *next
	h.current.Ready = true
	h.next = nil
}

func (e *Engine) failLoad(h *modelCopy, next *laburnumlever.ModelCopy) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if h.next != next {
		return
	}
	h.next = nil
	if !h.current.Ready {
		e.memory.remove(h)
	}
}

func (e *Engine) fetchWeights(l laburnumlever.ModelCopy) error {
	var err error
	for range weightStoreTries {
		if err = e.fetchOnce(l); err == nil {
			return nil
		}
	}
	return err
}

func (e *Engine) fetchOnce(l laburnumlever.ModelCopy) error {
	ctx, cancel := context.WithTimeout(context.Background(), weightStoreTimeout)
	defer cancel()
	query := url.Values{}
	query.Set("model", string(l.Model))
	query.Set("version", string(l.Version))
	query.Set("mib", strconv.Itoa(l.PartMiB*len(l.Accelerators)))
	target := "http://" + e.cfg.weightStore + "/weights?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return &WeightStoreError{Address: e.cfg.weightStore, Cause: err}
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return &WeightStoreError{Address: e.cfg.weightStore, Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return &WeightStoreError{Address: e.cfg.weightStore, Status: res.StatusCode}
	}
	return nil
}
