package laburnumroles

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumintake"

	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

// intakePeriod is the interval between reports on the intake: a crowd of clients is one line.
const intakePeriod = 5 * time.Second

// intakeReport logs and counts what the intake does.
type intakeReport struct {
	process *process
	last    laburnumintake.Stats

	held, connections                tally.Gauge
	refused, evicted, closed, turned tally.Counter
}

// reportIntake starts the periodic reports on the intake.
func (p *process) reportIntake() {
	scope := p.metrics.Scope()
	ended := func(what string) tally.Counter {
		return scope.Tagged(map[string]string{"what": what}).Counter("intake_ended")
	}
	r := &intakeReport{
		process: p, held: scope.Gauge("intake_bytes"), connections: scope.Gauge("intake_connections"),
		refused: ended("refused"), evicted: ended("evicted"), closed: ended("idle-closed"), turned: ended("turned-away"),
	}
	p.timers.Every(intakePeriod, func(time.Time) { r.report() })
}

func (r *intakeReport) report() {
	now, last := r.process.intake.Stats(), r.last
	r.last = now
	r.held.Update(float64(now.Held))
	r.connections.Update(float64(now.Connections))
	refused, evicted, closed, turned := now.Refused-last.Refused, now.Evicted-last.Evicted, now.Closed-last.Closed, now.Turned-last.Turned
	if refused+evicted+closed+turned == 0 {
		return
	}
	r.refused.Inc(int64(refused))
	r.evicted.Inc(int64(evicted))
	r.closed.Inc(int64(closed))
	r.turned.Inc(int64(turned))
	limits := r.process.intake.Limits()
	_ = level.Warn(r.process.logger).Log("event", laburnumlever.EventIntakeShort, "refused", refused, "evicted", evicted, "idle-closed", closed,
		"turned-away", turned, "held-bytes", now.Held, "most-bytes", limits.Bytes(), "connections", now.Connections, "most-connections", limits.Connections())
}
