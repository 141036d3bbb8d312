package laburnumfeed

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// holdTime is how long a question waits when there is no news: short enough
	// that demand flows and a dead link shows, long enough to cost little.
	holdTime = time.Second
	// gatherTime for each VM that asks lies between two publications at least: at some
	// 0.1 ms of a control VM for an answer (taken, not measured) a tenth of a core at most
	// goes to news however many VMs there are and however often backend servers change.
	// Nine gateways hear of a change within 10 ms, three hundred within 300 ms; a backend
	// server that leaves has two seconds.
	gatherTime = time.Millisecond
)

// NewsFunc takes what a gateway tells.
type NewsFunc func(vm laburnumlever.VMID, news laburnumlever.GatewayNews)

// Source answers the questions on a control VM. It may be used from any goroutine.
type Source struct {
	timers laburnumlever.Timers
	logger log.Logger
	self   laburnumlever.VM
	boot   uint64
	onNews NewsFunc
	gather *laburnumtimer.Gatherer

	mu     sync.Mutex
	cursor uint64 // of the newest news
	// published is the cursor up to which questions are answered.
	published uint64
	changed   chan struct{} // closed at the next publication
	records   *newsLog
	overlays  *newsLog
	routes    *laburnumlever.RouteTable
	// encoded is the table as gateways get it; nil until the first asks.
	encoded  laburnumlever.RawMessage
	director laburnumlever.VMID
	askers   askers
	// controlsAt is the cursor of the last change of the control VMs, metaAt that of
	// the routes or the director.
	controlsAt uint64
	metaAt     uint64
	// answers are those encoded since the last publication: VMs that follow along ask
	// from the same cursor, and share one.
	answers   map[answerKey]laburnumlever.RawMessage
	answersAt time.Time
}

// answerKey is what an answer depends on beside the state of its source.
type answerKey struct {
	since   uint64
	records bool
}

// SourceOption changes a new source.
type SourceOption func(*Source)

// WithSourceLogger sets the log; without it nothing is logged.
func WithSourceLogger(logger log.Logger) SourceOption { return func(s *Source) { s.logger = logger } }

// NewSource makes a source and registers its handlers with peers. The incarnation of
// self must differ from that of the last start.
func NewSource(peers laburnumlever.Peers, timers laburnumlever.Timers, self laburnumlever.VM, opts ...SourceOption) *Source {
	s := &Source{
		timers: timers, logger: log.NewNopLogger(), self: self, boot: self.Incarnation, changed: make(chan struct{}),
		records: newNewsLog(), overlays: newNewsLog(), askers: newAskers(),
		onNews: func(laburnumlever.VMID, laburnumlever.GatewayNews) {},
		cursor: 1, published: 1, controlsAt: 1, metaAt: 1, answers: map[answerKey]laburnumlever.RawMessage{},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.gather = laburnumtimer.NewGatherer(timers, s.gatherPeriod, s.publish)
	peers.Handle(methodNext, s.handleNext)
	peers.Handle(methodRoutes, s.handleRoutes)
	return s
}

// OnNews sets the function that takes the gateways' news; set it before serving.
func (s *Source) OnNews(fn NewsFunc) { s.onNews = fn }

// SetRecord offers a backend server's record to all who ask.
func (s *Source) SetRecord(r laburnumregistry.Record) {
	s.put(s.records, r.Heartbeat.Backend, r)
}

// SetOverlay offers what the VM that gives the orders, this one, knows of an engine.
func (s *Source) SetOverlay(o laburnumregistry.Overlay) {
	s.put(s.overlays, o.Backend, o)
}

func (s *Source) put(l *newsLog, id laburnumlever.BackendID, item any) {
	encoded, err := json.Marshal(item)
	if err != nil {
		_ = level.Error(s.logger).Log("event", laburnumlever.EventNewsNotEncoded, "backend", id, "cause", err)
		return
	}
	s.mu.Lock()
	l.put(id, s.bump(), encoded)
	s.mu.Unlock()
	s.gather.Poke()
}

// ClearOverlays drops all, when another VM gives the orders.
func (s *Source) ClearOverlays() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overlays.clear()
}

// Forget drops a backend server that nobody needs to hear of any more.
func (s *Source) Forget(id laburnumlever.BackendID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records.remove(id)
	s.overlays.remove(id)
}

// SetRoutes offers a route table.
func (s *Source) SetRoutes(t laburnumlever.RouteTable) {
	s.mu.Lock()
	newer := s.routes == nil || t.Version > s.routes.Version
	if newer {
		s.metaAt = s.bump()
		s.routes, s.encoded = &t, nil
	}
	s.mu.Unlock()
	if newer {
		s.gather.Poke()
	}
}

// SetDirector tells who gives the orders.
func (s *Source) SetDirector(vm laburnumlever.VMID) {
	s.mu.Lock()
	other := s.director != vm
	if other {
		s.metaAt = s.bump()
		s.director = vm
	}
	s.mu.Unlock()
	if other {
		s.gather.Poke()
	}
}

// NoteControl notes a control VM that was heard of.
func (s *Source) NoteControl(vm laburnumlever.VM) {
	s.mu.Lock()
	other := vm.ID != s.self.ID && s.askers.heardOf(vm, s.timers.Now())
	if other {
		s.controlsAt = s.bump()
	}
	s.mu.Unlock()
	if other {
		s.gather.Poke()
	}
}

// Controls are the other control VMs heard of lately.
func (s *Source) Controls() []laburnumlever.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.askers.others(s.timers.Now())
}

// Nearest is the peer address of a control VM in an availability zone, one of several by a
// hash of the key, this VM included; empty where none has asked lately, or this VM hears
// no majority and so can't tell who is there.
func (s *Source) Nearest(zone laburnumlever.ZoneName, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timers.Now()
	if s.askers.isolated(now) {
		return ""
	}
	return nearest(append(s.askers.near(now), s.self), zone, key)
}

// bump returns the cursor of what changes now; mu is held.
func (s *Source) bump() uint64 {
	s.cursor++
	return s.cursor
}

// gatherPeriod is the least time between two publications.
func (s *Source) gatherPeriod() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.askers.count()) * gatherTime
}

// publish answers the questions that wait.
func (s *Source) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published = s.cursor
	clear(s.answers)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Source) handleNext(ctx context.Context, params laburnumlever.RawMessage) (any, error) {
	var q request
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, &MessageError{Method: methodNext, Cause: err}
	}
	if !q.News.IsZero() {
		s.onNews(q.From.ID, q.News)
	}
	s.noteAsker(q.From)
	held, cancel := laburnumtimer.Passed(s.timers, holdTime)
	defer cancel()
	for {
		news, changed := s.newsFor(q)
		if news {
			return s.answer(q)
		}
		select {
		case <-changed:
		case <-held:
			return s.answer(q)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// noteAsker notes who asks; a gateway is only counted.
func (s *Source) noteAsker(vm laburnumlever.VM) {
	if vm.HasDisk {
		s.NoteControl(vm)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.askers.asked(vm, s.timers.Now())
}

// newsFor tells whether anything published is newer than the question knows, and what is
// closed at the next publication.
func (s *Source) newsFor(q request) (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.since(q)
	told := max(s.controlsAt, s.metaAt)
	news := (told > since && told <= s.published) || s.overlays.newer(since, s.published) ||
		(q.Records && s.records.newer(since, s.published))
	return news, s.changed
}

// since is the cursor that a question is answered from: that of another start counts for
// nothing.
func (s *Source) since(q request) uint64 {
	if q.Boot != s.boot {
		return 0
	}
	return q.Since
}

// page is the cursor up to which one answer reaches.
func (s *Source) page(since uint64, records bool) uint64 {
	end := s.overlays.page(since, s.published)
	if records {
		end = min(end, s.records.page(since, s.published))
	}
	return end
}

// answer returns the encoded answer, made once for all who ask the same.
func (s *Source) answer(q request) (laburnumlever.RawMessage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timers.Now()
	if now.Sub(s.answersAt) >= recountTime {
		s.answersAt = now
		clear(s.answers)
	}
	key := answerKey{since: s.since(q), records: q.Records}
	if encoded, ok := s.answers[key]; ok {
		return encoded, nil
	}
	encoded, err := s.collect(key, now).encode()
	if err != nil {
		return nil, &MessageError{Method: methodNext, Cause: err}
	}
	s.answers[key] = encoded
	return encoded, nil
}

// collect is what is newer than a cursor, a page at most; mu is held.
func (s *Source) collect(key answerKey, now time.Time) answerEncoded {
	end := s.page(key.since, key.records)
	a := answerEncoded{
		meta: meta{
			Boot: s.boot, Cursor: end, Director: s.director, Gateways: s.askers.gateways(now), Isolated: s.askers.isolated(now),
		},
		Overlays: s.overlays.after(key.since, end),
	}
	if s.routes != nil {
		a.RoutesVersion = s.routes.Version
	}
	if key.records {
		a.Backends = s.records.after(key.since, end)
	}
	if s.controlsAt > key.since {
		a.Controls = append(s.askers.others(now), s.self)
	}
	return a
}

// handleRoutes gives the table without the operators' own text, which only control
// VMs need. It is encoded once for all gateways.
func (s *Source) handleRoutes(context.Context, laburnumlever.RawMessage) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		return nil, &laburnumlever.NotFoundError{Kind: "route table", Name: "any"}
	}
	if s.encoded != nil {
		return s.encoded, nil
	}
	table := *s.routes
	table.Document = nil
	encoded, err := json.Marshal(table)
	if err != nil {
		return nil, &MessageError{Method: methodRoutes, Cause: err}
	}
	s.encoded = encoded
	return s.encoded, nil
}
