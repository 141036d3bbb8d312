package laburnumdemand

import (
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

const (
	// adapterReportInterval is how often the use of adapters is reported.
	adapterReportInterval = 250 * time.Millisecond
	// adapterRetention is how long an adapter is reported after its last use.
	adapterRetention = 4 * time.Second
)

// AdapterUses tracks which adapters this VM's requests use. The placement leader evicts adapters
// to load others and must not choose one in use: its unload would wait for the running requests
// and delay all other requests at the engine. The zero value is ready to use.
type AdapterUses struct {
	uses       map[adapterKey]*adapterUse
	reportedAt time.Time
}

type adapterKey struct {
	model   laburnumlever.ModelName
	adapter laburnumlever.AdapterName
}

type adapterUse struct {
	running int // requests
	endedAt time.Time
}

// RequestStarted records that a request that uses the adapter has got a slot. An empty adapter is
// ignored.
func (a *AdapterUses) RequestStarted(model laburnumlever.ModelName, adapter laburnumlever.AdapterName) {
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

// RequestEnded records that such a request has ended.
func (a *AdapterUses) RequestEnded(model laburnumlever.ModelName, adapter laburnumlever.AdapterName, now time.Time) {
	if u := a.uses[adapterKey{model: model, adapter: adapter}]; u != nil {
		u.running--
		u.endedAt = now
	}
}

// Take returns the adapters in use or used lately, sorted by model and adapter. It returns nil
// within adapterReportInterval of the last report.
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
