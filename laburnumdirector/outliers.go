package laburnumdirector

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumregistry"

	"github.com/go-kit/log/level"
)

// onOutcomes adds the outcomes that a gateway reports and publishes new outliers to all gateways.
func (d *Director) onOutcomes(outcomes []laburnumlever.BackendOutcome, now time.Time) {
	for _, id := range d.outliers.Add(outcomes, now) {
		r, ok := d.records[id]
		if !ok || !d.lease.held {
			continue
		}
		_ = level.Info(d.cfg.logger).Log("event", laburnumlever.EventOutlierDetected, "backend", id, "service", r.Heartbeat.Service)
		d.cfg.scope.Counter("outliers").Inc(1)
		if e := d.engines.get(id); e != nil {
			e.markChanged()
			continue
		}
		d.onOverlay(laburnumregistry.Overlay{
			Backend: id, Fence: d.lease.fence, Incarnation: r.Heartbeat.Incarnation, Sequence: r.Heartbeat.Sequence, Outliers: d.outliers.Detections(id, r.Heartbeat.Incarnation),
		})
	}
}
