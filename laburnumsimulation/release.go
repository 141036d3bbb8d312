package laburnumsimulation

import (
	"time"

	"laburnumlever"
)

// releasedSoftware is the software version of released engines.
const releasedSoftware laburnumlever.SoftwareVersion = "v2"

// release restarts the engine with other software after a time.
func (e *engine) release(span time.Duration) {
	e.crash(false)
	e.software = releasedSoftware
	e.sim.after(span, e.restart)
}

// countMixed counts an answer that an engine goes on with and another software version began.
func (a *attempt) countMixed(e *engine) {
	if a.started && e.software != a.software {
		a.sim().outcome.Mixed++
	}
}

// boundTo returns the software version that alone may go on with the answer; empty for any.
func (a *attempt) boundTo() laburnumlever.SoftwareVersion {
	if a.sim().policy.joinsVersions {
		return ""
	}
	return a.software
}
