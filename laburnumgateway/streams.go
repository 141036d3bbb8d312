package laburnumgateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumstream"
	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log/level"
)

const (
	// recordTimeout bounds how long the first event of a stream waits until its record is kept: a few round trips
	// between availability zones.
	recordTimeout = 100 * time.Millisecond
	// lookupPause is the time between two lookups of a stream whose version is undecided.
	lookupPause = 100 * time.Millisecond
	// settleTime is how long at least no stream that can be resumed begins at a software version that is new to the service, so
	// that the control VMs which know of it have saved it.
	settleTime = 500 * time.Millisecond
	// settleTimeout bounds the question whether control VMs know a version.
	settleTimeout = 200 * time.Millisecond
	// undecidedRetryAfter is the least Retry-After if a control VM that did not answer may know a stream's version.
	undecidedRetryAfter = time.Second
)

// StreamKeepers are the control VMs that keep which software versions began streams.
type StreamKeepers interface {
	// Keep has records kept by as many control VMs as can be lost, and one more. It returns how many keep them.
	Keep(ctx context.Context, records []laburnumstream.Record) int
	// KeepAt has records kept by the control VM at the address.
	KeepAt(ctx context.Context, address string, records []laburnumstream.Record) bool
	// Ask returns the opinions of the control VMs that answer.
	Ask(ctx context.Context, stream string, service laburnumlever.ServiceName) []laburnumstream.Opinion
}

// WithStreamKeepers sets the control VMs that keep the versions of streams; by default there are none.
func WithStreamKeepers(keepers StreamKeepers) FleetOption {
	return func(f *Fleet) { f.streams.keepers = keepers }
}

// WithFirstStart tells that the whole system starts for the first time, so that there are no streams from before.
func WithFirstStart(first bool) FleetOption {
	return func(f *Fleet) { f.streams.caughtUp = first }
}

// noStreamKeepers are no control VMs.
type noStreamKeepers struct{}

func (noStreamKeepers) Keep(context.Context, []laburnumstream.Record) int { return 0 }

func (noStreamKeepers) KeepAt(context.Context, string, []laburnumstream.Record) bool { return false }

func (noStreamKeepers) Ask(context.Context, string, laburnumlever.ServiceName) []laburnumstream.Opinion {
	return nil
}

// streams are the resumable streams that this gateway has begun or taken up.
type streams struct {
	keepers   StreamKeepers
	startedAt time.Time

	mu sync.Mutex
	// begun are the versions of all of them, inFlight those that have not ended, by request.
	begun    *laburnumstream.Keeper
	inFlight map[*request]laburnumstream.Record
	// caughtUp is set once this VM has all endpoint state of a control VM that is complete.
	caughtUp bool
	// boots are the last known starts of the control VMs.
	boots map[string]uint64
	// settling are the versions that are new to their services, cutOff is set if the last answer was that of an isolated control
	// VM. The fleet's mu guards both.
	settling map[settlingVersion]struct{}
	cutOff   bool
}

// settlingVersion is a software version that is new to a service.
type settlingVersion struct {
	service  laburnumlever.ServiceName
	software laburnumlever.SoftwareVersion
}

func newStreams(now time.Time) *streams {
	return &streams{
		keepers: noStreamKeepers{}, startedAt: now, begun: laburnumstream.NewKeeper(),
		inFlight: map[*request]laburnumstream.Record{}, boots: map[string]uint64{}, settling: map[settlingVersion]struct{}{},
	}
}

// complete reports whether this VM has known all backend servers for as long as streams last.
func (s *streams) complete(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.caughtUp || now.Sub(s.startedAt) >= laburnumstream.Life
}

func (s *streams) known(stream string, now time.Time) laburnumstream.Known {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun.Get(stream, now)
}

// add records that a request has brought the first event of a stream here.
func (s *streams) add(q *request, r laburnumstream.Record, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun.Put(r, now)
	s.inFlight[q] = r
}

func (s *streams) remove(q *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, q)
}

// running returns the records of the streams of some services that have not ended.
func (s *streams) running(of func(laburnumlever.ServiceName) bool) []laburnumstream.Record {
	s.mu.Lock()
	inFlight := maps.Clone(s.inFlight)
	s.mu.Unlock()
	var records []laburnumstream.Record
	for q, r := range inFlight {
		if of(q.service.Name) {
			records = append(records, r)
		}
	}
	return records
}

// noteAnswer notes an answer of a control VM's feed and reports whether the VM has restarted.
func (s *streams) noteAnswer(address string, boot uint64, complete bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.caughtUp = s.caughtUp || complete
	before := s.boots[address]
	s.boots[address] = boot
	return before != 0 && before != boot
}

// streamID returns the ID by which the request's stream is taken up.
func (q *request) streamID() string {
	if q.resumes() && q.caller.Resumes != "" {
		return q.caller.Resumes
	}
	return q.caller.ID
}

// resumes reports whether the request takes up a stream that another attempt began.
func (q *request) resumes() bool { return q.route.Resumable && q.caller.LastEvent != "" }

// recordsStreams reports whether streams of a service need records, as they can have been begun at several software
// versions. The caller must hold mu.
func (f *Fleet) recordsStreams(service laburnumlever.ServiceName) bool {
	return len(f.registry.Software(service)) > 1 || !f.streams.complete(f.timers.Now())
}

// beginStream has the record of a stream kept before its first event leaves, unless all streams of the service have one version.
func (g *Gateway) beginStream(ctx context.Context, q *request, ticket *laburnumbalance.Ticket) {
	if !q.route.Resumable {
		return
	}
	f := g.fleet
	q.software = ticket.Backend.Software
	if q.software == "" {
		return
	}
	record := laburnumstream.Record{Stream: q.streamID(), Software: q.software}
	f.streams.add(q, record, f.timers.Now())
	f.mu.Lock()
	needed := f.recordsStreams(q.service.Name)
	f.mu.Unlock()
	if !needed {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if f.streams.keepers.Keep(ctx, []laburnumstream.Record{record}) > 0 {
		g.counters.streamsRecorded.Inc(1)
	} else {
		g.counters.streamsUnrecorded.Inc(1)
	}
}

// findVersion finds the software version at which a request that takes up a stream may go on. The error is a
// *laburnumlever.RefusalError or a *CallerGoneError.
func (g *Gateway) findVersion(ctx context.Context, q *request) error {
	if !q.resumes() {
		return nil
	}
	until := waitPolicy.QueueDeadline(q.queueTimes())
	for {
		if err := g.checkCaller(ctx, q); err != nil {
			return err
		}
		software, verdict := g.fleet.streamVersion(ctx, q)
		if verdict == laburnumstream.Decided {
			q.software = software
			return nil
		}
		_ = level.Info(g.logger).Log("event", laburnumlever.EventStreamVersionUnknown, "request-id", q.caller.ID, "resumes", q.caller.Resumes, "verdict", verdict)
		if verdict == laburnumstream.Unknowable {
			return cannotGoOn(laburnumlever.RefusedStreamUnknown, "no VM knows which software version began the stream")
		}
		if !g.timers.Now().Add(lookupPause).Before(until) || !laburnumtimer.Wait(ctx.Done(), g.timers, lookupPause) {
			return newRefusal(laburnumlever.RefusedStreamUnknown, undecidedRetryAfter, "the control VMs that may know which software version began the stream do not answer")
		}
	}
}

// cannotGoOn refuses a request that takes up a stream which never can go on.
func cannotGoOn(reason laburnumlever.RefusalReason, detail string) error {
	return &laburnumlever.RefusalError{
		Reason: reason, Outcome: laburnumlever.OutcomeNotRun, Detail: detail, Advice: "request the stream anew, without Last-Event-Id",
	}
}

// streamVersion resolves the software version of the stream that a request takes up.
func (f *Fleet) streamVersion(ctx context.Context, q *request) (laburnumlever.SoftwareVersion, laburnumstream.Verdict) {
	now := f.timers.Now()
	f.mu.Lock()
	own := laburnumstream.Opinion{Versions: f.registry.Software(q.service.Name), Complete: f.streams.complete(now)}
	f.mu.Unlock()
	if q.caller.Resumes != "" {
		if own.Known = f.streams.known(q.caller.Resumes, now); own.Software != "" || own.Several {
			return laburnumstream.Resolve(own, nil)
		}
	}
	opinions := f.streams.keepers.Ask(ctx, q.caller.Resumes, q.service.Name)
	if q.caller.Resumes == "" {
		return laburnumstream.ResolveUnnamed(own, opinions)
	}
	return laburnumstream.Resolve(own, opinions)
}

// versionGone reports whether no backend server runs the software version that began the request's stream.
func (f *Fleet) versionGone(q *request) bool {
	if q.software == "" {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.balance.HasSoftware(q.service.Name, q.software)
}

// keepStreams has the streams in flight kept by control VMs, at one address or where each belongs. It does not block.
func (f *Fleet) keepStreams(address string, records []laburnumstream.Record) {
	if len(records) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if address != "" {
			f.streams.keepers.KeepAt(ctx, address, records)
			return
		}
		f.streams.keepers.Keep(ctx, records)
	}()
}

// noteVersions keeps the streams in flight of services that had one version before, and has new versions settle. before are the
// versions of the services that may have changed. The caller must hold mu.
func (f *Fleet) noteVersions(before map[laburnumlever.ServiceName][]laburnumlever.SoftwareVersion) {
	f.keepStreams("", f.streams.running(func(service laburnumlever.ServiceName) bool {
		return len(before[service]) == 1 && len(f.registry.Software(service)) > 1
	}))
	now := f.timers.Now()
	for service, known := range before {
		if len(known) == 0 || !f.streams.complete(now) {
			continue
		}
		for _, software := range f.registry.Software(service) {
			if !slices.Contains(known, software) {
				f.settle(settlingVersion{service: service, software: software})
			}
		}
	}
}

// settle has no stream that can be resumed begin at a version until a majority of the control VMs know it, for settleTime at least:
// those that do not know it would take another one for the only one. The caller must hold mu.
func (f *Fleet) settle(v settlingVersion) {
	f.streams.settling[v] = struct{}{}
	_ = level.Info(f.logger).Log("event", laburnumlever.EventSoftwareVersionNew, "service", v.service, "software", v.software)
	f.timers.After(settleTime, func(time.Time) { go f.settled(v) })
}

// settled ends the settling of a version, unless too few control VMs know it or that which this VM hears from is isolated itself.
func (f *Fleet) settled(v settlingVersion) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	established := laburnumstream.Established(v.software, f.streams.keepers.Ask(ctx, "", v.service))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.streams.cutOff || !established {
		f.timers.After(settleTime, func(time.Time) { go f.settled(v) })
		return
	}
	delete(f.streams.settling, v)
	f.serveQueue()
}

// settlingVersions returns the versions at which the request's stream must not begin yet. The caller must hold mu.
func (f *Fleet) settlingVersions(q *request) []laburnumlever.SoftwareVersion {
	if len(f.streams.settling) == 0 || !q.route.Resumable || q.software != "" {
		return nil
	}
	var versions []laburnumlever.SoftwareVersion
	for v := range f.streams.settling {
		if v.service == q.service.Name {
			versions = append(versions, v.software)
		}
	}
	return versions
}

// noteAnswer takes what a control VM's answer tells of the streams' records. The caller must hold mu.
func (f *Fleet) noteAnswer(address string, a laburnumfeed.Answer) {
	f.streams.cutOff = a.Isolated
	if f.streams.noteAnswer(address, a.Boot, a.Complete) {
		f.keepStreams(address, f.streams.running(f.recordsStreams)) // it has restarted and lost its records
	}
}
