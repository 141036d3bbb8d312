package laburnumstandin

import (
	"net/http"
	"slices"
	"sync"

	"laburnumlever"
	"laburnumlever/laburnumtimer"
)

// Engine is a stand-in model engine: it serves claims, orders and requests, simulates
// continuous batching over its slots, and announces itself. It is safe for use by
// many goroutines.
type Engine struct {
	cfg       config
	ownTimers *laburnumtimer.Timers
	mux       *http.ServeMux
	announcer *announcer

	mu           sync.Mutex
	announcement laburnumlever.Announcement
	memory       memory
	fence        uint64
	sequence     uint64
	violations   []Violation
	slots        slots
	prefixes     prefixCache
	closed       bool
}

// NewEngine makes an engine with no models loaded. The announcement must set the id,
// zone, address, incarnation, accelerators, slots and token rates.
func NewEngine(announcement laburnumlever.Announcement, opts ...Option) *Engine {
	announcement.Kind = laburnumlever.Engine
	e := &Engine{
		cfg:          newConfig(opts),
		announcement: announcement,
		memory:       memory{accelerators: announcement.Accelerators},
	}
	if e.cfg.timers == nil {
		e.ownTimers = laburnumtimer.New()
		e.cfg.timers = e.ownTimers
	}
	e.slots = slots{size: max(1, announcement.Slots), queue: e.cfg.queue}
	e.announcer = newAnnouncer(e.cfg, e.Announcement, e.Report)
	e.mux = e.routes()
	return e
}

// Start starts the periodic announcements and load reports.
func (e *Engine) Start() { e.announcer.start() }

// Close stops the announcements without telling the registries, as a killed engine would.
func (e *Engine) Close() {
	e.mu.Lock()
	closed := e.closed
	e.closed = true
	e.mu.Unlock()
	if closed {
		return
	}
	e.announcer.stop()
	if e.ownTimers != nil {
		e.ownTimers.Close()
	}
}

// Leave tells the registries that the engine leaves; requests in flight continue.
func (e *Engine) Leave() { e.announcer.leave() }

// Announcement returns the engine's current announcement.
func (e *Engine) Announcement() laburnumlever.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.announcement
	a.Accelerators = e.memory.accelerators
	return a
}

// Report returns the engine's current load; each call uses the next sequence number.
func (e *Engine) Report() laburnumlever.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return laburnumlever.LoadReport{
		Backend:     e.announcement.Backend,
		Incarnation: e.announcement.Incarnation,
		Sequence:    e.sequence,
		InFlight:    e.slots.busy,
		Queued:      e.slots.waiting(),
		Fence:       e.fence,
		Loaded:      e.memory.inventory(),
		Prefixes:    e.prefixes.list(),
	}
}

// Violations lists the orders that asked for more memory than an accelerator has.
func (e *Engine) Violations() []Violation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.violations)
}

// FailAccelerator removes an accelerator and the copies on it, as a hardware fault would.
func (e *Engine) FailAccelerator(id laburnumlever.AcceleratorID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory.failAccelerator(id)
}

// Claim raises the fencing number, if the engine checks it, and returns the
// inventory; both happen atomically.
func (e *Engine) Claim(fence uint64) laburnumlever.Inventory {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.announcement.ChecksFencing {
		e.fence = max(e.fence, fence)
	}
	return laburnumlever.Inventory{
		Backend:      e.announcement.Backend,
		Incarnation:  e.announcement.Incarnation,
		Fence:        e.fence,
		Loaded:       e.memory.inventory(),
		Accelerators: e.memory.accelerators,
	}
}

// ServeHTTP serves completion requests, claims, orders and GET /violations.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }
