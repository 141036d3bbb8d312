package laburnumstandin

import (
	"net/http"
	"slices"
	"sync"

	"laburnumlever"
	"laburnumlever/laburnumtimer"
)

// Engine is a stand-in model engine: it takes claims, orders and requests, batches
// continuously over its slots, and announces itself. It is safe for use by many
// goroutines.
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

// NewEngine makes an engine that holds nothing. Fields of the announcement that
// are needed: the id, zone, address, incarnation, accelerators, slots and token
// rates.
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

// Start begins to announce the engine and to report its load.
func (e *Engine) Start() { e.announcer.start() }

// Close stops the announcements, as a killed engine would: nobody is told.
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

// Leave tells the registries that the engine leaves; what is in flight goes on.
func (e *Engine) Leave() { e.announcer.leave() }

// Announcement is what the engine says of itself now.
func (e *Engine) Announcement() laburnumlever.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.announcement
	a.Accelerators = e.memory.accelerators
	return a
}

// Report is the engine's load now; each call takes the next sequence.
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

// Violations are the orders that asked for more memory than there is.
func (e *Engine) Violations() []Violation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.violations)
}

// LoseAccelerator takes an accelerator away, as a hardware fault would.
func (e *Engine) LoseAccelerator(id laburnumlever.AcceleratorID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory.failAccelerator(id)
}

// Claim raises the fencing number, if the engine checks it, and reads the
// inventory in the same step.
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

// ServeHTTP answers requests, claims, orders and GET /violations.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }
