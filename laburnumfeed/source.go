package laburnumfeed

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
)

const (
	// holdTime is how long a question waits when there is no news: short enough
	// that demand flows and a dead link shows, long enough to cost little.
	holdTime = time.Second
	// gatewayMemory is how long a gateway counts after its last question.
	gatewayMemory = 30 * time.Second
	// controlMemory is the same for a control VM: longer than a restart, so that
	// nobody forgets the address of one that is only down for a moment.
	controlMemory = 20 * time.Second
)

// NewsFunc takes what a gateway tells.
type NewsFunc func(vm laburnumlever.VMID, news laburnumlever.GatewayNews)

// Source answers the questions on a control VM. It may be used from any goroutine.
type Source struct {
	timers laburnumlever.Timers
	self   laburnumlever.VM
	boot   uint64
	onNews NewsFunc

	mu       sync.Mutex
	cursor   uint64
	changed  chan struct{} // closed at the next change
	records  map[laburnumlever.BackendID]stamped
	overlays map[laburnumlever.BackendID]stampedOverlay
	routes   *laburnumlever.RouteTable
	// encoded is the table as gateways get it; nil until the first asks.
	encoded  laburnumlever.RawMessage
	director laburnumlever.VMID
	asked    map[laburnumlever.VMID]asker
	// controlsAt is the cursor of the last change of the control VMs, metaAt that of
	// the routes or the director.
	controlsAt uint64
	metaAt     uint64
}

type stamped struct {
	record laburnumregistry.Record
	at     uint64
}

type stampedOverlay struct {
	overlay laburnumregistry.Overlay
	at      uint64
}

type asker struct {
	vm laburnumlever.VM
	at time.Time
}

// NewSource makes a source and registers its handlers with peers. Boot must differ
// from that of the last start.
func NewSource(peers laburnumlever.Peers, timers laburnumlever.Timers, self laburnumlever.VM) *Source {
	s := &Source{
		timers: timers, self: self, boot: self.Incarnation, changed: make(chan struct{}),
		records: map[laburnumlever.BackendID]stamped{}, overlays: map[laburnumlever.BackendID]stampedOverlay{}, asked: map[laburnumlever.VMID]asker{},
		onNews: func(laburnumlever.VMID, laburnumlever.GatewayNews) {}, cursor: 1, controlsAt: 1, metaAt: 1,
	}
	peers.Handle(methodNext, s.handleNext)
	peers.Handle(methodRoutes, s.handleRoutes)
	return s
}

// OnNews sets the function that takes the gateways' news; set it before serving.
func (s *Source) OnNews(fn NewsFunc) { s.onNews = fn }

// SetRecord offers a backend server's record to all who ask.
func (s *Source) SetRecord(r laburnumregistry.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bump()
	s.records[r.Heartbeat.Backend] = stamped{record: r, at: s.cursor}
}

// SetOverlay offers what the VM that gives the orders, this one, knows of an engine.
func (s *Source) SetOverlay(o laburnumregistry.Overlay) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bump()
	s.overlays[o.Backend] = stampedOverlay{overlay: o, at: s.cursor}
}

// ClearOverlays drops all, when another VM gives the orders.
func (s *Source) ClearOverlays() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.overlays)
}

// Forget drops a backend server that nobody needs to hear of any more.
func (s *Source) Forget(id laburnumlever.BackendID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, id)
	delete(s.overlays, id)
}

// SetRoutes offers a route table.
func (s *Source) SetRoutes(t laburnumlever.RouteTable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes != nil && s.routes.Version >= t.Version {
		return
	}
	s.bump()
	s.metaAt = s.cursor
	s.routes, s.encoded = &t, nil
}

// SetDirector tells who gives the orders.
func (s *Source) SetDirector(vm laburnumlever.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.director == vm {
		return
	}
	s.bump()
	s.metaAt = s.cursor
	s.director = vm
}

// NoteControl notes a control VM that was heard of.
func (s *Source) NoteControl(vm laburnumlever.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(vm)
}

// Controls are the other control VMs heard of lately.
func (s *Source) Controls() []laburnumlever.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.others(s.timers.Now())
}

func (s *Source) bump() {
	s.cursor++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Source) note(vm laburnumlever.VM) {
	known, ok := s.asked[vm.ID]
	if vm.ID == s.self.ID || (ok && known.vm.Incarnation > vm.Incarnation) {
		return
	}
	s.asked[vm.ID] = asker{vm: vm, at: s.timers.Now()}
	if !ok || known.vm.PeerAddress != vm.PeerAddress {
		s.bump()
		s.controlsAt = s.cursor
	}
}

func (s *Source) others(now time.Time) []laburnumlever.VM {
	var out []laburnumlever.VM
	for _, a := range s.asked {
		if a.vm.HasDisk && now.Sub(a.at) < controlMemory {
			out = append(out, a.vm)
		}
	}
	return out
}

func (s *Source) gateways(now time.Time) int {
	n := 0
	for id, a := range s.asked {
		if a.vm.HasDisk {
			continue
		}
		if now.Sub(a.at) > gatewayMemory {
			delete(s.asked, id)
			continue
		}
		n++
	}
	return n
}

func (s *Source) handleNext(ctx context.Context, params laburnumlever.RawMessage) (any, error) {
	var q request
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, &MessageError{Method: methodNext, Cause: err}
	}
	if !q.News.IsZero() {
		s.onNews(q.From.ID, q.News)
	}
	s.NoteControl(q.From)
	held := s.after(holdTime)
	for {
		answer, news, changed := s.answer(q)
		if news {
			return answer, nil
		}
		select {
		case <-changed:
		case <-held:
			return answer, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// after returns a channel that is closed once the time has passed.
func (s *Source) after(d time.Duration) <-chan struct{} {
	done := make(chan struct{})
	s.timers.After(d, func(time.Time) { close(done) })
	return done
}

// answer tells what is newer than the question knows, and whether anything is.
func (s *Source) answer(q request) (Answer, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := q.Since
	if q.Boot != s.boot {
		since = 0
	}
	now := s.timers.Now()
	a := Answer{Boot: s.boot, Cursor: s.cursor, Director: s.director, Gateways: s.gateways(now)}
	if s.routes != nil {
		a.RoutesVersion = s.routes.Version
	}
	for _, r := range s.records {
		if r.at > since {
			a.Backends = append(a.Backends, r.record)
		}
	}
	for _, o := range s.overlays {
		if o.at > since {
			a.Overlays = append(a.Overlays, o.overlay)
		}
	}
	if s.controlsAt > since {
		a.Controls = append(s.others(now), s.self)
	}
	news := len(a.Backends)+len(a.Overlays) > 0 || s.controlsAt > since || s.metaAt > since
	return a, news, s.changed
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
