package laburnumgateway

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumregistry"

	"github.com/go-kit/log/level"
)

// confirmPeriods is the number of heartbeat periods after this VM's start within which remembered backend servers must announce
// themselves, and until which they are taken: one heartbeat may be late.
const confirmPeriods = 2

// remembered are backend servers that control VMs knew before they started, and that haven't announced themselves since.
type remembered struct {
	until time.Time
	ids   map[laburnumlever.BackendID]struct{}
}

func newRemembered(now time.Time, period time.Duration) remembered {
	return remembered{until: now.Add(confirmPeriods * period), ids: map[laburnumlever.BackendID]struct{}{}}
}

// applyRemembered uses backend servers that a control VM remembers while nobody else has told of them. They count as silent until
// they announce themselves. The caller must hold mu.
func (f *Fleet) applyRemembered(records []laburnumregistry.Record, now time.Time) {
	if len(records) == 0 || !now.Before(f.remembered.until) {
		return
	}
	if len(f.remembered.ids) == 0 {
		f.timers.After(f.remembered.until.Sub(now), func(time.Time) { f.forgetRemembered() })
	}
	used := 0
	for _, r := range records {
		_, known := f.registry.Record(r.Heartbeat.Backend)
		if known || !r.AcceptsRequests() || f.registry.HasAddress(r.Heartbeat.Address) {
			continue
		}
		r.Silent = true
		f.registry.Merge(r, now)
		f.updateBackend(r)
		f.remembered.ids[r.Heartbeat.Backend] = struct{}{}
		used++
	}
	_ = level.Info(f.logger).Log("event", laburnumlever.EventBackendsRemembered, "used", used, "told", len(records))
}

// forgetRemembered drops the remembered backend servers that haven't announced themselves.
func (f *Fleet) forgetRemembered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.remembered.ids {
		f.registry.Forget(id)
		f.updateBackend(laburnumregistry.Record{Heartbeat: laburnumlever.Heartbeat{Backend: id}, Gone: true})
	}
	if n := len(f.remembered.ids); n > 0 {
		_ = level.Info(f.logger).Log("event", laburnumlever.EventRememberedForgotten, "backends", n)
	}
	clear(f.remembered.ids)
}
