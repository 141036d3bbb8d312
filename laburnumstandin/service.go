package laburnumstandin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumlever"
	"laburnumlever/laburnumtimer"
)

const (
	headerKey           = "Idempotency-Key"
	headerRequest       = "X-Request-Id"
	headerAuthorization = "Authorization"

	ledgerPath = "/ledger"
)

// LedgerEntry is one call that a plain service ran. It is recorded when the call
// starts to run, before the response is sent, so that a call whose response is lost
// is recorded too.
type LedgerEntry struct {
	// Number counts the calls that ran, from 1.
	Number int    `json:"number"`
	Key    string `json:"key,omitempty"`
	// Caller is the hash of the Authorization header, empty without one.
	Caller  string    `json:"caller,omitempty"`
	Request string    `json:"request-id,omitempty"`
	Method  string    `json:"method"`
	Path    string    `json:"path"`
	At      time.Time `json:"at"`
}

// ServiceAnswer is a plain service's response to a call that it ran.
type ServiceAnswer struct {
	// Number is the call's number in the ledger.
	Number int    `json:"number"`
	Key    string `json:"key,omitempty"`
	Path   string `json:"path"`
	// Echo is the body of the request.
	Echo string `json:"echo"`
}

// Service is a stand-in plain service: it runs every call that it accepts, even if
// the caller disconnects, and keeps a ledger of them, against which the responses
// that callers got can be checked. It is safe for use by many goroutines.
type Service struct {
	cfg          config
	ownTimers    *laburnumtimer.Timers
	announcer    *announcer
	announcement laburnumlever.Announcement
	slots        chan struct{}

	mu       sync.Mutex
	closed   bool
	inFlight int
	queued   int
	sequence uint64
	ledger   []LedgerEntry
}

// NewService makes a plain service with an empty ledger. The announcement must set
// the id, zone, address, incarnation, service and slots. WithLoadTime sets how long
// each call takes.
func NewService(announcement laburnumlever.Announcement, opts ...Option) *Service {
	announcement.Kind = laburnumlever.PlainService
	announcement.Slots = max(1, announcement.Slots)
	s := &Service{
		cfg:          newConfig(opts),
		announcement: announcement,
		slots:        make(chan struct{}, announcement.Slots),
	}
	if s.cfg.timers == nil {
		s.ownTimers = laburnumtimer.New()
		s.cfg.timers = s.ownTimers
	}
	s.announcer = newAnnouncer(s.cfg, s.Announcement, s.Report)
	return s
}

// Start starts the periodic announcements and load reports.
func (s *Service) Start() { s.announcer.start() }

// Close stops the announcements without telling the registries.
func (s *Service) Close() {
	s.mu.Lock()
	closed := s.closed
	s.closed = true
	s.mu.Unlock()
	if closed {
		return
	}
	s.announcer.stop()
	if s.ownTimers != nil {
		s.ownTimers.Close()
	}
}

// Leave tells the registries that the service leaves; calls in flight continue.
func (s *Service) Leave() { s.announcer.leave() }

// Announcement returns the service's announcement.
func (s *Service) Announcement() laburnumlever.Announcement { return s.announcement }

// Report returns the service's current load; each call uses the next sequence number.
func (s *Service) Report() laburnumlever.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return laburnumlever.LoadReport{
		Backend:     s.announcement.Backend,
		Incarnation: s.announcement.Incarnation,
		Sequence:    s.sequence,
		InFlight:    s.inFlight,
		Queued:      s.queued,
	}
}

// Ledger lists the calls that ran, oldest first.
func (s *Service) Ledger() []LedgerEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]LedgerEntry{}, s.ledger...)
}

// ServeHTTP runs a call, or returns the ledger at GET /ledger.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == ledgerPath {
		writeJSON(w, http.StatusOK, s.Ledger())
		return
	}
	if id := r.Header.Get(headerAttempt); id != "" {
		w.Header().Set(headerAttempt, id)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.Header().Set(headerOutcome, outcomeNotRun)
		writeJSON(w, http.StatusBadRequest, errorBody{Error: errorDetail{Type: errorBadRequest, Message: err.Error(), Outcome: outcomeNotRun}})
		return
	}
	if !s.acquire(r.Context()) {
		writeNotRun(w, "the queue is full")
		return
	}
	defer s.release()
	entry := s.record(r)
	s.waitCallTime()
	writeJSON(w, http.StatusOK, ServiceAnswer{Number: entry.Number, Key: entry.Key, Path: entry.Path, Echo: string(body)})
}

// acquire waits for a slot. It returns false if the queue is full or the call is
// cancelled first; the call has then not run.
func (s *Service) acquire(ctx context.Context) bool {
	s.mu.Lock()
	if s.queued >= s.cfg.queue {
		s.mu.Unlock()
		return false
	}
	s.queued++
	s.mu.Unlock()
	entered := false
	select {
	case s.slots <- struct{}{}:
		entered = true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued--
	if entered {
		s.inFlight++
	}
	return entered
}

func (s *Service) release() {
	s.mu.Lock()
	s.inFlight--
	s.mu.Unlock()
	<-s.slots
}

func (s *Service) record(r *http.Request) LedgerEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := LedgerEntry{
		Number:  len(s.ledger) + 1,
		Key:     r.Header.Get(headerKey),
		Request: r.Header.Get(headerRequest),
		Method:  r.Method,
		Path:    r.URL.Path,
		At:      s.cfg.timers.Now(),
	}
	if authorization := r.Header.Get(headerAuthorization); authorization != "" {
		entry.Caller = fmt.Sprintf("%016x", xxhash.Sum64String(authorization))
	}
	s.ledger = append(s.ledger, entry)
	return entry
}

// waitCallTime waits for the duration of one call. It does not stop when the caller
// disconnects, as a booking that has started would not.
func (s *Service) waitCallTime() {
	if s.cfg.loadTime <= 0 {
		return
	}
	laburnumtimer.Wait(nil, s.cfg.timers, s.cfg.loadTime)
}
