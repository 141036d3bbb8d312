package laburnumdemand

import (
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

const (
	// adapterReportInterval is how often the use of adapters is told.
	adapterReportInterval = 250 * time.Millisecond
	// adapterRetention is how long an adapter is told of after its last use.
	adapterRetention = 4 * time.Second
)

// AdapterUses follows which adapters this VM's requests use, so that the control VM that
// makes room for one does not choose one at work: its unload would wait for the
// requests and hold up all others at the engine.
type AdapterUses struct {
	uses       map[adapterKey]*adapterUse
	reportedAt time.Time
}

type adapterKey struct {
	model   laburnumlever.ModelName
	adapter laburnumlever.AdapterName
}

type adapterUse struct {
	running int
	endedAt time.Time
}

// Begun notes that a request that uses an adapter has a slot; no adapter is none.
func (a *AdapterUses) Begun(model laburnumlever.ModelName, adapter laburnumlever.AdapterName) {
	if adapter == "" {
		return
	}
	if a.uses == nil {
		a.uses = map[adapterKey]*adapterUse{}
	}
	key := adapterKey{model: model, adapter: adapter}
	if a.uses[key] == nil {
		a.uses[key] = &adapterUse{}
	}
	a.uses[key].running++
}

// Ended notes that it has ended.
func (a *AdapterUses) Ended(model laburnumlever.ModelName, adapter laburnumlever.AdapterName, now time.Time) {
	if u := a.uses[adapterKey{model: model, adapter: adapter}]; u != nil {
		u.running--
		u.endedAt = now
	}
}

// Take lists the uses, none sooner than a period after the last time.
func (a *AdapterUses) Take(now time.Time) []laburnumlever.AdapterUse {
	if now.Sub(a.reportedAt) < adapterReportInterval {
		return nil
	}
	a.reportedAt = now
	var list []laburnumlever.AdapterUse
	for key, u := range a.uses {
		idle := time.Duration(0)
		if u.running <= 0 {
			idle = now.Sub(u.endedAt)
		}
		if idle > adapterRetention {
			delete(a.uses, key)
			continue
		}
		list = append(list, laburnumlever.AdapterUse{Model: key.model, Adapter: key.adapter, Idle: laburnumlever.Duration(idle)})
	}
	slices.SortFunc(list, func(x, y laburnumlever.AdapterUse) int {
		return strings.Compare(string(x.Model)+"/"+string(x.Adapter), string(y.Model)+"/"+string(y.Adapter))
	})
	return list
}
