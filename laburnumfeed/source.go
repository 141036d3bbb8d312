package laburnumfeed

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumconcurrency"
	"laburnumlever/laburnumlimit"
	"laburnumlever/laburnumquarantine"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumroom"
	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// longPollTimeout is how long a poll without changes waits for its answer. It is short because
	// polls carry gateways' reports, and an unanswered poll reveals a dead link.
	longPollTimeout = time.Second
	// batchTimePerPoller times the number of polling VMs is the minimum interval between two
	// publications. This bounds the CPU time spent on answers: a change takes 10 ms to reach nine
	// gateways and 300 ms to reach three hundred, of the two seconds within which every VM must know
	// that a backend server is leaving.
	batchTimePerPoller = time.Millisecond
)

// GatewayReportFunc receives a gateway's report.
type GatewayReportFunc func(vm laburnumlever.VMID, report laburnumlever.GatewayReport)

// Source answers polls on a control VM. It is safe for concurrent use.
type Source struct {
	timers          laburnumlever.Timers
	logger          log.Logger
	self            laburnumlever.VM
	boot            uint64
	onGatewayReport GatewayReportFunc
	complete        func() bool
	batcher         *laburnumtimer.Coalescer

	mu     sync.Mutex
	cursor uint64 // of the newest change
	// published is the cursor up to which polls are answered.
	published uint64
	changed   chan struct{} // closed at the next publication
	records   *itemLog
	overlays  *itemLog
	// quarantine holds the entries of requests by digest.
	quarantine *itemLog
	// limits holds the limits of the backend servers whose slots this VM grants.
	limits *itemLog
	// brittle holds the brittle backend servers whose places this VM leases.
	brittle *itemLog
	// room holds the levels of services while this VM is the director.
	room   *itemLog
	routes *laburnumlever.RouteTable
	// packedRoutes is the route table as sent to gateways, packedDocument as sent to control VMs, encodedRoutes as sent to VMs of
	// earlier builds; nil until it is first fetched.
	packedRoutes, packedDocument packedTable
	encodedRoutes                laburnumlever.RawMessage
	routesNoted                  chan struct{} // closed at the next routesNotice
	director                     laburnumlever.VMID
	pollers                      pollers
	// controlsCursor is the cursor of the last change of the control VMs, metaCursor that of
	// the routes or the director.
	controlsCursor uint64
	metaCursor     uint64
	// answers caches encoded answers until the next publication, at most for countTTL: VMs at the same
	// cursor share one.
	answers   map[answerKey]laburnumlever.RawMessage
	answersAt time.Time
	// remembered are backend servers from before this start, sent until rememberedUntil to VMs that start.
	remembered      map[laburnumlever.BackendID]json.RawMessage
	rememberedUntil time.Time
}

// answerKey identifies a cached answer between two publications.
type answerKey struct {
	since   uint64
	records bool
}

// SourceOption configures a new source.
type SourceOption func(*Source)

// WithSourceLogger sets the logger; the default discards all lines.
func WithSourceLogger(logger log.Logger) SourceOption { return func(s *Source) { s.logger = logger } }

// WithCompleteness sets whether the VM has all endpoint state of the last minutes; by default it never has.
func WithCompleteness(complete func() bool) SourceOption {
	return func(s *Source) { s.complete = complete }
}

// NewSource returns a source whose handlers are registered with peers. The incarnation of self must
// differ from that of earlier starts, so that followers discard cursors from those.
func NewSource(peers laburnumlever.Peers, timers laburnumlever.Timers, self laburnumlever.VM, opts ...SourceOption) *Source {
	s := &Source{
		timers: timers, logger: log.NewNopLogger(), self: self, boot: self.Incarnation, changed: make(chan struct{}), routesNoted: make(chan struct{}),
		records: newItemLog(), overlays: newItemLog(), quarantine: newItemLog(), limits: newItemLog(), brittle: newItemLog(), room: newItemLog(), pollers: newPollers(),
		onGatewayReport: func(laburnumlever.VMID, laburnumlever.GatewayReport) {}, complete: func() bool { return false },
		cursor: 1, published: 1, controlsCursor: 1, metaCursor: 1, answers: map[answerKey]laburnumlever.RawMessage{},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.batcher = laburnumtimer.NewCoalescer(timers, s.batchInterval, s.publish)
	peers.Handle(methodPoll, s.handlePoll)
	peers.Handle(methodRoutes, s.handleRoutes)
	peers.Handle(methodRoutesPart, s.handleRoutesPart)
	peers.Handle(methodRoutesInEffect, s.handleRoutesNotice)
	return s
}

// OnGatewayReport sets the function that receives gateways' reports; call it before serving.
func (s *Source) OnGatewayReport(fn GatewayReportFunc) { s.onGatewayReport = fn }

// SetRecord publishes a backend server's record.
func (s *Source) SetRecord(r laburnumregistry.Record) {
	s.put(s.records, string(r.Heartbeat.Backend), r)
}

// SetRemembered sets backend servers from before this start, which VMs that poll for the first time get until a time, unless the
// servers have been published. Call it before serving.
func (s *Source) SetRemembered(records []laburnumregistry.Record, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remembered, s.rememberedUntil = map[laburnumlever.BackendID]json.RawMessage{}, until
	for _, r := range records {
		encoded, err := json.Marshal(r)
		if err != nil {
			_ = level.Error(s.logger).Log("event", laburnumlever.EventBackendStateNotEncoded, "backend", r.Heartbeat.Backend, "cause", err)
			continue
		}
		s.remembered[r.Heartbeat.Backend] = encoded
	}
}

// rememberedNow returns the remembered backend servers that have not been published. The caller holds mu.
func (s *Source) rememberedNow(now time.Time) []json.RawMessage {
	if !now.Before(s.rememberedUntil) {
		s.remembered = nil
		return nil
	}
	var records []json.RawMessage
	for _, id := range slices.Sorted(maps.Keys(s.remembered)) {
		if _, published := s.records.cursors[string(id)]; !published {
			records = append(records, s.remembered[id])
		}
	}
	return records
}

// SetOverlay publishes an engine's overlay. Only the director does so.
func (s *Source) SetOverlay(o laburnumregistry.Overlay) {
	s.put(s.overlays, string(o.Backend), o)
}

// SetQuarantine publishes the entry of a request.
func (s *Source) SetQuarantine(e laburnumquarantine.Entry) {
	s.put(s.quarantine, e.Digest.String(), e)
}

// SetLimit publishes the limit of a backend server.
func (s *Source) SetLimit(l laburnumlimit.Limit) {
	s.put(s.limits, string(l.Backend), l)
}

// SetBrittle publishes whether a backend server is brittle.
func (s *Source) SetBrittle(l laburnumconcurrency.Limit) {
	s.put(s.brittle, string(l.Backend), l)
}

// SetRoom publishes the level of a service. Only the director does so.
func (s *Source) SetRoom(l laburnumroom.Level) {
	s.put(s.room, string(l.Service), l)
}

// ClearRoom drops all levels, for use when another VM becomes the director. Gateways drop them when they are not renewed.
func (s *Source) ClearRoom() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room.clear()
}

// ForgetBrittle drops what was published of a backend server without publishing a change.
func (s *Source) ForgetBrittle(id laburnumlever.BackendID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brittle.remove(string(id))
}

// ForgetLimit drops the limit of a backend server without publishing a change.
func (s *Source) ForgetLimit(id laburnumlever.BackendID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.remove(string(id))
}

// ForgetQuarantine drops the entry of a request without publishing a change.
func (s *Source) ForgetQuarantine(digest laburnumlever.RequestDigest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.remove(digest.String())
}

func (s *Source) put(l *itemLog, key string, item any) {
	encoded, err := json.Marshal(item)
	if err != nil {
		_ = level.Error(s.logger).Log("event", laburnumlever.EventBackendStateNotEncoded, "backend", key, "cause", err)
		return
	}
	s.mu.Lock()
	l.put(key, s.nextCursor(), encoded)
	s.mu.Unlock()
	s.batcher.Trigger()
}

// ClearOverlays drops all overlays, for use when another VM becomes the director.
func (s *Source) ClearOverlays() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overlays.clear()
}

// Forget drops a backend server's record and overlay without publishing a change.
func (s *Source) Forget(id laburnumlever.BackendID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records.remove(string(id))
	s.overlays.remove(string(id))
}

// SetRoutes publishes a route table if it is newer than the published one.
func (s *Source) SetRoutes(t laburnumlever.RouteTable) {
	s.mu.Lock()
	newer := s.routes == nil || t.Version > s.routes.Version
	if newer {
		s.metaCursor = s.nextCursor()
		s.routes, s.packedRoutes, s.packedDocument, s.encodedRoutes = &t, packedTable{}, packedTable{}, nil
	}
	s.mu.Unlock()
	if newer {
		s.batcher.Trigger()
	}
}

// SetDirector publishes the director; empty for none.
func (s *Source) SetDirector(vm laburnumlever.VMID) {
	s.mu.Lock()
	changed := s.director != vm
	if changed {
		s.metaCursor = s.nextCursor()
		s.director = vm
	}
	s.mu.Unlock()
	if changed {
		s.batcher.Trigger()
	}
}

// Director returns the published director; empty for none.
func (s *Source) Director() laburnumlever.VMID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.director
}

// Gateways returns the number of gateways that polled within the last 30 seconds.
func (s *Source) Gateways() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pollers.gateways(s.timers.Now())
}

// EarlierGateways returns the number of those that use an even part of backend servers' connection limits without a lease.
func (s *Source) EarlierGateways() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.pollers.gateways(s.timers.Now()) // counts them
	return s.pollers.earlierCount
}

// Isolated reports whether this VM can't reach a majority of the control VMs.
func (s *Source) Isolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pollers.isolated(s.timers.Now())
}

// NoteControl records another control VM and publishes it if it is new or its address changed.
func (s *Source) NoteControl(vm laburnumlever.VM) {
	s.mu.Lock()
	changed := vm.ID != s.self.ID && s.pollers.noteControl(vm, s.timers.Now())
	if changed {
		s.controlsCursor = s.nextCursor()
	}
	s.mu.Unlock()
	if changed {
		s.batcher.Trigger()
	}
}

// Controls returns the other control VMs named within the last 20 seconds.
func (s *Source) Controls() []laburnumlever.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pollers.others(s.timers.Now())
}

// ControlInZone returns the peer address of a reachable control VM in an availability zone, possibly
// this one, chosen by a rendezvous hash of the key. It is empty if the zone has none or this VM is
// isolated.
func (s *Source) ControlInZone(zone laburnumlever.ZoneName, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timers.Now()
	if s.pollers.isolated(now) {
		return ""
	}
	return pickInZone(append(s.pollers.reachable(now), s.self), zone, key)
}

// IsFirstFor reports whether this VM is the first to serve a key of an availability zone, among the
// control VMs named recently, whether or not they are reachable.
func (s *Source) IsFirstFor(zone laburnumlever.ZoneName, key string) bool {
	return s.FirstFor(zone, key) == s.self.PeerAddress
}

// FirstFor returns the peer address of the control VM that IsFirstFor holds for.
func (s *Source) FirstFor(zone laburnumlever.ZoneName, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	compare := compareFor(zone, key)
	first := controlState{address: s.self.PeerAddress, zone: s.self.Zone}
	for _, vm := range s.pollers.others(s.timers.Now()) {
		if other := (controlState{address: vm.PeerAddress, zone: vm.Zone}); compare(other, first) < 0 {
			first = other
		}
	}
	return first.address
}

// Rank returns how many of the control VMs named recently, this one included, come before it for a key, and their
// number.
func (s *Source) Rank(key string) (rank, controls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	others := s.pollers.others(s.timers.Now())
	compare := compareFor("", key)
	self := controlState{address: s.self.PeerAddress, zone: s.self.Zone}
	for _, vm := range others {
		if compare(controlState{address: vm.PeerAddress, zone: vm.Zone}, self) < 0 {
			rank++
		}
	}
	return rank, len(others) + 1
}

// nextCursor returns the cursor of the next change. The caller holds mu.
func (s *Source) nextCursor() uint64 {
	s.cursor++
	return s.cursor
}

// batchInterval returns the minimum time between two publications.
func (s *Source) batchInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.pollers.count()) * batchTimePerPoller
}

// publish makes all changes visible and wakes the waiting polls.
func (s *Source) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published = s.cursor
	clear(s.answers)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Source) handlePoll(ctx context.Context, params laburnumlever.RawMessage) (any, error) {
	var q pollRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, &MessageError{Method: methodPoll, Cause: err}
	}
	if !q.GatewayReport.IsZero() {
		s.onGatewayReport(q.From.ID, q.GatewayReport)
	}
	s.notePoller(q.From, q.Helper)
	s.noteLeases(q.From, q.LeasesConnections)
	expired, cancel := laburnumtimer.AfterChannel(s.timers, longPollTimeout)
	defer cancel()
	for {
		found, changed := s.hasChanges(q)
		if found {
			return s.answer(q)
		}
		select {
		case <-changed:
		case <-expired:
			return s.answer(q)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// noteLeases records whether a polling gateway leases connections to backend servers.
func (s *Source) noteLeases(vm laburnumlever.VM, leases bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pollers.noteLeases(vm.ID, leases)
}

// notePoller records the polling VM: a control VM is published, a gateway only counted.
func (s *Source) notePoller(vm laburnumlever.VM, helper string) {
	if vm.HasDisk {
		s.NoteControl(vm)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pollers.notePoll(vm, helper, s.timers.Now())
}

// hasChanges reports whether a published change follows the request's cursor. The channel is closed
// at the next publication.
func (s *Source) hasChanges(q pollRequest) (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.since(q)
	latest := max(s.controlsCursor, s.metaCursor)
	found := (latest > since && latest <= s.published) || s.overlays.hasNewer(since, s.published) || s.limits.hasNewer(since, s.published) ||
		s.brittle.hasNewer(since, s.published) || s.room.hasNewer(since, s.published) ||
		(q.Records && (s.records.hasNewer(since, s.published) || s.quarantine.hasNewer(since, s.published)))
	return found, s.changed
}

// since returns the cursor to answer from: 0 if the request's cursor is from another start of this
// VM.
func (s *Source) since(q pollRequest) uint64 {
	if q.Boot != s.boot {
		return 0
	}
	return q.Since
}

// pageEnd returns the last cursor of an answer.
func (s *Source) pageEnd(since uint64, records bool) uint64 {
	end := min(s.overlays.pageEnd(since, s.published), s.limits.pageEnd(since, s.published), s.brittle.pageEnd(since, s.published), s.room.pageEnd(since, s.published))
	if records {
		end = min(end, s.records.pageEnd(since, s.published), s.quarantine.pageEnd(since, s.published))
	}
	return end
}

// answer returns the encoded answer. VMs that poll from the same cursor share one.
func (s *Source) answer(q pollRequest) (laburnumlever.RawMessage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timers.Now()
	if now.Sub(s.answersAt) >= countTTL {
		s.answersAt = now
		clear(s.answers)
	}
	key := answerKey{since: s.since(q), records: q.Records}
	if encoded, ok := s.answers[key]; ok {
		return encoded, nil
	}
	encoded, err := s.collect(key, now).encode()
	if err != nil {
		return nil, &MessageError{Method: methodPoll, Cause: err}
	}
	s.answers[key] = encoded
	return encoded, nil
}

// collect returns the changes after a cursor, at most a page. The caller holds mu.
func (s *Source) collect(key answerKey, now time.Time) encodedAnswer {
	end := s.pageEnd(key.since, key.records)
	a := encodedAnswer{
		meta: meta{
			Boot: s.boot, Cursor: end, Director: s.director, Gateways: s.pollers.gateways(now), Isolated: s.pollers.isolated(now),
		},
		Overlays: s.overlays.itemsIn(key.since, end),
		Limits:   s.limits.itemsIn(key.since, end),
		Brittle:  s.brittle.itemsIn(key.since, end),
		Room:     s.room.itemsIn(key.since, end),
	}
	if s.routes != nil {
		a.RoutesVersion = s.routes.Version
	}
	if key.records {
		a.Backends = s.records.itemsIn(key.since, end)
		if key.since == 0 {
			a.Remembered = s.rememberedNow(now)
		}
		a.Quarantine = s.quarantine.itemsIn(key.since, end)
		a.Complete = end >= s.published && s.complete()
	}
	if s.controlsCursor > key.since {
		a.Controls = append(s.pollers.others(now), s.self)
	}
	return a
}

// handleRoutes is handleRoutesPart for VMs of earlier builds, which fetch the table in one message.
func (s *Source) handleRoutes(context.Context, laburnumlever.RawMessage) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		return nil, &laburnumlever.NotFoundError{Kind: "route table", Name: "any"}
	}
	if s.encodedRoutes != nil {
		return s.encodedRoutes, nil
	}
	encoded, err := json.Marshal(s.routes.WithoutDocument())
	if err != nil {
		return nil, &MessageError{Method: methodRoutes, Cause: err}
	}
	s.encodedRoutes = encoded
	return s.encodedRoutes, nil
}
