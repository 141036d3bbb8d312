package laburnumdirector

import (
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumresidency"

	"github.com/go-kit/log/level"
)

const (
	planPeriod = 250 * time.Millisecond
	// settlePeriods is the number of heartbeat periods from the start to the first round. Until all
	// engines are known, their models seem to be missing and others would be evicted for them.
	settlePeriods = 3
)

// round is the input of a planning round: an immutable snapshot of a service's engines.
type round struct {
	service laburnumlever.ServiceName
	class   *laburnumlever.EngineClass
	engines []laburnumresidency.Engine
	// sources are the engines of the snapshot, revisions theirs and removals that of the engine
	// table at that time.
	sources   []*engine
	revisions []uint64
	removals  uint64
}

// plan starts a planning round for a service. The round runs off the control thread, which has to
// renew the lease and advance the log meanwhile.
func (d *Director) plan(name laburnumlever.ServiceName, class *laburnumlever.EngineClass, now time.Time) {
	if d.planning[name] || now.Sub(d.startedAt) < time.Duration(settlePeriods*float64(d.cfg.heartbeat)) {
		return
	}
	r := round{service: name, class: class, removals: d.engines.removals}
	for _, id := range d.engines.ids() {
		e := d.engines.get(id)
		if e.heartbeat.Service != name || e.unreachable(now, d.cfg.heartbeat) {
			continue
		}
		if !e.acceptedKnown {
			d.requestState(e, now)
		}
		r.engines = append(r.engines, e.snapshot(now))
		r.sources, r.revisions = append(r.sources, e), append(r.revisions, e.revision)
	}
	d.logLayout(name, class, r.engines, now)
	work, requests := d.demand.loads(now, class.Slots)
	adapters, quiet := d.adaptersInUse(r.sources, now), d.demand.quietModels(class, r.engines, now)
	d.planning[name] = true
	opts := append(slices.Clone(d.cfg.plannerOptions), laburnumresidency.WithRequests(requests), laburnumresidency.WithQuiet(quiet))
	d.cfg.compute(func() {
		steps := d.cfg.planner(class, r.engines, work, adapters, opts...)
		d.loop.Post(d, roundPlanned{round: r, steps: steps})
	})
}

// onRoundPlanned executes the steps for engines that have not changed since the snapshot.
func (d *Director) onRoundPlanned(ev roundPlanned) {
	delete(d.planning, ev.round.service)
	if !d.lease.valid(d.clock()) || d.engineClasses[ev.round.service] != ev.round.class {
		return
	}
	now := d.timers.Now()
	revisions := map[laburnumlever.BackendID]uint64{}
	for i, e := range ev.round.sources {
		if d.engines.get(e.heartbeat.Backend) == e {
			revisions[e.heartbeat.Backend] = ev.round.revisions[i]
		}
	}
	for _, step := range ev.steps {
		e := d.engines.get(step.Engine)
		if e == nil || revisions[step.Engine] != e.revision || !e.readyForOrder(now) {
			continue
		}
		if step.Kind == laburnumlever.Unload && ev.round.removals != d.engines.removals {
			continue // the model's other copy may be gone
		}
		d.execute(e, ev.round.class, step, now)
	}
}

// adaptersInUse counts the recently used and the requested adapters of each model.
func (d *Director) adaptersInUse(engines []*engine, now time.Time) map[laburnumlever.ModelName]int {
	used := map[adapterKey]bool{}
	for _, e := range engines {
		for model, h := range e.held {
			for name, a := range h.adapters {
				if now.Sub(a.usedAt) < adapterUseWindow {
					used[adapterKey{model: model, adapter: name}] = true
				}
			}
		}
	}
	for _, request := range d.adapterRequests {
		used[request.key] = true
	}
	counts := map[laburnumlever.ModelName]int{}
	for key := range used {
		counts[key.model]++
	}
	return counts
}

// execute orders a load, or withdraws a model from the gateways. Its unload is ordered
// withdrawDelay later.
func (d *Director) execute(e *engine, class *laburnumlever.EngineClass, step laburnumresidency.Step, now time.Time) {
	if step.Kind == laburnumlever.Unload {
		h := e.held[step.Model]
		if h == nil || h.withdrawn {
			return
		}
		h.withdrawn, h.withdrawnAt = true, now
		e.markChanged()
		_ = level.Info(d.cfg.logger).Log("event", laburnumlever.EventModelWithdrawn, "backend", e.heartbeat.Backend, "model", step.Model, "cause", step.Reason)
		return
	}
	if step.FromStore && !d.takeStoreToken(e, class) {
		return
	}
	_ = level.Info(d.cfg.logger).Log("event", laburnumlever.EventLoadDecided, "backend", e.heartbeat.Backend, "model", step.Model,
		"from-store", step.FromStore, "cause", step.Reason)
	d.send(e, laburnumlever.EngineOrder{Kind: step.Kind, Model: step.Model})
}
