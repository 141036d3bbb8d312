package laburnumgateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumquarantine"
)

// A gateway tells a restarted control VM of the refused requests after a random time: by then the
// control VM usually knows them from another gateway.
const (
	minRestartDelay = 500 * time.Millisecond
	maxRestartDelay = 2500 * time.Millisecond
)

// QuarantineReporter sends a gateway's reports on crashing requests. It does not block.
type QuarantineReporter interface {
	// ReportToAll sends a report to all control VMs.
	ReportToAll(r laburnumquarantine.Report)
	// ReportTo sends a report to the control VM at the address.
	ReportTo(address string, r laburnumquarantine.Report)
}

// WithQuarantineReporter sets the reporter; by default nothing is reported.
func WithQuarantineReporter(reporter QuarantineReporter) FleetOption {
	return func(f *Fleet) { f.reporter = reporter }
}

// silentReporter reports nothing.
type silentReporter struct{}

func (silentReporter) ReportToAll(laburnumquarantine.Report)      {}
func (silentReporter) ReportTo(string, laburnumquarantine.Report) {}

// applyQuarantine applies the entries of a control VM. The caller must hold mu.
func (f *Fleet) applyQuarantine(address string, boot uint64, entries []laburnumquarantine.Entry, now time.Time) {
	applied := f.quarantine.Apply(address, boot, entries, now)
	f.clearAnswered(entries, now)
	f.quarantineListed.Store(!f.quarantine.Empty())
	if applied.Added {
		f.wakeQueue()
	}
	if applied.Started && !f.quarantine.Empty() {
		delay := minRestartDelay + rand.N(maxRestartDelay-minRestartDelay)
		f.timers.After(delay, func(time.Time) { f.teachQuarantine(address) })
	}
}

// clearAnswered reports listed requests that were answered recently: another gateway, which saw them
// on crashed servers, need not have seen an answer. The caller must hold mu.
func (f *Fleet) clearAnswered(entries []laburnumquarantine.Entry, now time.Time) {
	var completed []laburnumlever.RequestDigest
	for _, e := range entries {
		if e.State != laburnumquarantine.Cleared && f.answered.Contains(e.Digest, now) {
			completed = append(completed, e.Digest)
		}
	}
	if len(completed) > 0 {
		f.reporter.ReportToAll(laburnumquarantine.Report{Completed: completed})
	}
}

// teachQuarantine tells a control VM of the refused requests that it does not list.
func (f *Fleet) teachQuarantine(address string) {
	f.mu.Lock()
	missing := f.quarantine.Missing(address, f.timers.Now())
	f.mu.Unlock()
	if len(missing) > 0 {
		f.reporter.ReportTo(address, laburnumquarantine.Report{Listed: missing})
	}
}

// quarantineState returns what the list of crashing requests says of a request.
func (f *Fleet) quarantineState(q *request) laburnumquarantine.State {
	if !f.quarantineListed.Load() {
		return laburnumquarantine.Cleared
	}
	digest := q.digest()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.State(digest, f.timers.Now())
}

// refuseQuarantined returns a refusal if the request is held or in quarantine, else nil.
func (f *Fleet) refuseQuarantined(q *request) error {
	state := f.quarantineState(q)
	if !state.Refused() {
		return nil
	}
	f.mu.Lock()
	report := f.quarantine.Refuse(q.digest(), f.timers.Now())
	f.mu.Unlock()
	if report {
		f.reporter.ReportToAll(laburnumquarantine.Report{Refused: []laburnumlever.RequestDigest{q.digest()}})
	}
	return newRefusal(laburnumlever.RefusedQuarantined, state.RefusalTime(),
		"several backend servers crashed while they ran the request; it is refused until it has not been sent for "+state.RefusalTime().String())
}

// reportCrash reports requests that were on a backend server when it crashed, except for those that
// were answered recently.
func (f *Fleet) reportCrash(sightings []laburnumquarantine.Sighting) {
	f.mu.Lock()
	now := f.timers.Now()
	sightings = slices.DeleteFunc(sightings, func(s laburnumquarantine.Sighting) bool { return f.answered.Contains(s.Digest, now) })
	f.mu.Unlock()
	if len(sightings) > 0 {
		f.reporter.ReportToAll(laburnumquarantine.Report{Sightings: sightings})
	}
}

// avoidCrashed has the balancer avoid a backend server that has crashed.
func (f *Fleet) avoidCrashed(id laburnumquarantine.Crash) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.registry.Record(id.Backend); ok && r.Heartbeat.Incarnation == id.Incarnation {
		f.balance.Observe(id.Backend, laburnumbalance.AttemptResult{Failed: true, Unreachable: true}, f.timers.Now())
	}
}

// cancelSlot frees a slot that no attempt was made with; a nil ticket is ignored.
func (f *Fleet) cancelSlot(ticket *laburnumbalance.Ticket) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balance.End(ticket, laburnumbalance.AttemptResult{}, f.timers.Now())
	f.serveQueue()
}

// recordAnswered records a complete answer, and reports it if the request is listed.
func (f *Fleet) recordAnswered(q *request) {
	digest := q.digest()
	f.mu.Lock()
	f.answered.Add(digest, f.timers.Now())
	f.mu.Unlock()
	if f.quarantineState(q) != laburnumquarantine.Cleared {
		f.reporter.ReportToAll(laburnumquarantine.Report{Completed: []laburnumlever.RequestDigest{digest}})
	}
}

// leaving reports whether a backend server is known to leave or to be gone.
func (f *Fleet) leaving(id laburnumlever.BackendID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.registry.Record(id)
	return !ok || !r.AcceptsRequests()
}
