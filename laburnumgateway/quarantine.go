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

// lastingTime is how long a backend server answers a request until it can't be one that crashes servers as it begins to run.
const lastingTime = 500 * time.Millisecond

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

// clearAnswered reports listed requests and parts that were answered recently: another gateway, which saw them
// on crashed servers, need not have seen an answer. The caller must hold mu.
func (f *Fleet) clearAnswered(entries []laburnumquarantine.Entry, now time.Time) {
	var r laburnumquarantine.Report
	for _, e := range entries {
		switch {
		case e.State == laburnumquarantine.Cleared:
		case e.Part != nil:
			if at := f.partAnswers.Last(*e.Part); !at.IsZero() {
				r.Answers = append(r.Answers, laburnumquarantine.PartAnswer{Part: *e.Part, AnsweredAt: at})
			}
		case f.answered.Contains(e.Digest, now):
			r.Completed = append(r.Completed, e.Digest)
		default:
		}
	}
	if !r.IsZero() {
		f.reporter.ReportToAll(r)
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

// quarantineState returns what the list says of a request and of the parts of its prompt.
func (f *Fleet) quarantineState(q *request) laburnumquarantine.State {
	if !f.quarantineListed.Load() {
		return laburnumquarantine.Cleared
	}
	digest, parts := q.digest(), q.digestsOfParts()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	state := f.quarantine.State(digest, now)
	for _, d := range parts {
		state = max(state, f.quarantine.State(d, now))
	}
	return state
}

// refuseQuarantined returns a refusal if the request or a part of its prompt is refused, else nil. A request that may be the next
// trial of a part is not refused.
func (f *Fleet) refuseQuarantined(q *request) error {
	if !f.quarantineState(q).Refused() {
		return nil
	}
	f.mu.Lock()
	now := f.timers.Now()
	state := f.quarantine.State(q.digest(), now)
	part, after := f.refusedPart(q, now)
	var refused laburnumlever.RequestDigest
	switch {
	case state.Refused():
		refused = q.digest()
	case part != nil:
		refused = part.Digest()
	default:
		f.mu.Unlock()
		return nil
	}
	report := f.quarantine.Refuse(refused, now)
	f.mu.Unlock()
	if report {
		f.reporter.ReportToAll(laburnumquarantine.Report{Refused: []laburnumlever.RequestDigest{refused}})
	}
	if !state.Refused() {
		return partRefusal(part.ID, after)
	}
	return newRefusal(laburnumlever.RefusedQuarantined, state.RefusalTime(),
		"several backend servers crashed while they ran the request; it is refused until it has not been sent for "+state.RefusalTime().String())
}

// refusesContent reports whether the request or a part of its prompt is refused, and it may not be the next trial of the part.
func (f *Fleet) refusesContent(q *request) bool {
	if !f.quarantineState(q).Refused() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	part, _ := f.refusedPart(q, now)
	return part != nil || f.quarantine.State(q.digest(), now).Refused()
}

// refusedPart returns the refused part whose next trial is last, and the time until then; nil if all may be tried now. The caller
// must hold mu.
func (f *Fleet) refusedPart(q *request, now time.Time) (*laburnumquarantine.Part, time.Duration) {
	var part *laburnumquarantine.Part
	var after time.Duration
	for i, digest := range q.digestsOfParts() {
		if !f.quarantine.State(digest, now).Refused() {
			continue
		}
		in, _ := f.quarantine.TrialIn(digest, now)
		if _, running := f.trials[digest]; running && q.trial == nil {
			in = max(in, laburnumquarantine.TrialRetry)
		}
		if in > after {
			part, after = &q.parts[i], in
		}
	}
	return part, after
}

func partRefusal(part laburnumlever.PartID, after time.Duration) error {
	return newRefusal(laburnumlever.RefusedPartQuarantined, after,
		"several backend servers crashed while they ran requests with part "+part.String()+" of the prompt; it is tried again in "+after.Round(time.Millisecond).String())
}

// reportCrash reports the requests that were on a backend server when it crashed, except for those that were answered recently,
// and the parts of their prompts.
func (f *Fleet) reportCrash(id laburnumquarantine.Crash, s *brokenServer) {
	f.mu.Lock()
	now := f.timers.Now()
	r := laburnumquarantine.Report{
		Sightings: slices.DeleteFunc(s.sightings, func(s laburnumquarantine.Sighting) bool { return f.answered.Contains(s.Digest, now) }),
	}
	for part, n := range s.parts {
		r.Parts = append(r.Parts, laburnumquarantine.PartSighting{
			Crash: id, Part: part, Requests: n, CrashedAt: s.brokenAt, AnsweredAt: f.partAnswers.Last(part),
		})
	}
	f.mu.Unlock()
	if !r.IsZero() {
		f.reporter.ReportToAll(r)
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

// recordAnswered records a complete answer, and reports it if the request or a part of its prompt is listed.
func (f *Fleet) recordAnswered(q *request) {
	if !q.sound {
		f.recordLasting(q)
		return
	}
	digest := q.digest()
	f.mu.Lock()
	f.answered.Add(digest, f.timers.Now())
	f.mu.Unlock()
	if f.quarantineState(q) != laburnumquarantine.Cleared {
		f.reporter.ReportToAll(laburnumquarantine.Report{Completed: []laburnumlever.RequestDigest{digest}})
	}
	f.recordParts(q)
}

// recordLasting records an answer that ended, by a break or with its connection, after so long that its request can't have crashed
// the server.
func (f *Fleet) recordLasting(q *request) {
	if !q.begunAt.IsZero() && f.timers.Now().Sub(q.begunAt) >= lastingTime {
		f.recordParts(q)
	}
}

// recordParts records that the parts of a request's prompt don't crash servers, and reports it if one is listed.
func (f *Fleet) recordParts(q *request) {
	parts := q.sharedParts()
	if len(parts) == 0 {
		return
	}
	var digests []laburnumlever.RequestDigest
	if f.quarantineListed.Load() {
		digests = q.digestsOfParts()
	}
	var r laburnumquarantine.Report
	f.mu.Lock()
	now := f.timers.Now()
	for _, part := range parts {
		f.partAnswers.Add(part, q.begunAt, now)
	}
	for i, digest := range digests {
		if f.quarantine.Listed(digest) {
			r.Answers = append(r.Answers, laburnumquarantine.PartAnswer{Part: parts[i], AnsweredAt: q.begunAt})
		}
		if f.quarantine.State(digest, now).Refused() {
			r.Completed = append(r.Completed, digest) // a control VM of an earlier build may refuse it as a request
		}
	}
	f.mu.Unlock()
	if !r.IsZero() {
		f.reporter.ReportToAll(r)
	}
}

// serversAt returns the backend servers known at an address.
func (f *Fleet) serversAt(address string) []laburnumlever.BackendStart {
	f.mu.Lock()
	defer f.mu.Unlock()
	var servers []laburnumlever.BackendStart
	for _, r := range f.registry.Records() {
		if r.Heartbeat.Address == address {
			servers = append(servers, laburnumlever.BackendStart{Backend: r.Heartbeat.Backend, Incarnation: r.Heartbeat.Incarnation})
		}
	}
	return servers
}

// hasSuccessor reports whether another backend server than those from before is known at an address.
func (f *Fleet) hasSuccessor(address string, before []laburnumlever.BackendStart) bool {
	return slices.ContainsFunc(f.serversAt(address), func(s laburnumlever.BackendStart) bool { return !slices.Contains(before, s) })
}

// leaving reports whether a backend server is known to leave or to be gone.
func (f *Fleet) leaving(id laburnumlever.BackendID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.registry.Record(id)
	return !ok || !r.AcceptsRequests()
}
