package laburnumstandin

import (
	"net/http"
	"sync"
	"time"
)

const (
	brittleHeader = "Server-Brittle"
	// rejectionWindow is the time in which a brittle server bears the number of rejections that it names.
	rejectionWindow = time.Second
	// BrittlePath is the path of a PUT that sets the brittleness, as SetBrittle does. It is not part of the platform's
	// protocol.
	BrittlePath = "/stand-in/brittle"
)

// room is what a PlatformServer has for requests: slots, and places in its queue.
type room struct {
	slots, queue int
	// freed wakes the oldest of the waiting requests.
	freed chan struct{}

	mu               sync.Mutex
	running, waiting int
	// brittle is the number of rejections in a rejectionWindow that the server bears; less than 0 for any number.
	brittle    int
	rejections []time.Time
}

func newRoom(slots, queue int) *room {
	return &room{slots: slots, queue: queue, freed: make(chan struct{}, 1), brittle: -1}
}

// enter waits for a slot; it returns false if there is no room, or the request ends.
func (r *room) enter(done <-chan struct{}) bool {
	r.mu.Lock()
	if r.running+r.waiting >= r.slots+r.queue {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	for r.running >= r.slots {
		r.mu.Unlock()
		select {
		case <-r.freed:
		case <-done:
			r.mu.Lock()
			r.waiting--
			r.mu.Unlock()
			return false
		}
		r.mu.Lock()
	}
	r.waiting--
	r.running++
	r.mu.Unlock()
	return true
}

func (r *room) leave() {
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
	select {
	case r.freed <- struct{}{}:
	default:
	}
}

// reject records a rejection and reports whether the server falls over by it.
func (r *room) reject(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejections = append(r.rejections, now)
	for now.Sub(r.rejections[0]) >= rejectionWindow {
		r.rejections = r.rejections[1:]
	}
	return r.brittle >= 0 && len(r.rejections) > r.brittle
}

// SetBrittle has the backend server name how many rejections in a second it bears, and fall over at more; less than 0 for
// none. It needs Slots and Crash in its behaviour.
func (s *PlatformServer) SetBrittle(rejections int) {
	if s.room == nil {
		return
	}
	s.room.mu.Lock()
	defer s.room.mu.Unlock()
	s.room.brittle, s.room.rejections = rejections, nil
}

// brittleness returns how many rejections in a second the server names, and whether it names any.
func (s *PlatformServer) brittleness() (int, bool) {
	if s.room == nil {
		return 0, false
	}
	s.room.mu.Lock()
	defer s.room.mu.Unlock()
	return s.room.brittle, s.room.brittle >= 0
}

// rejected answers a request for which there is no room.
func (s *PlatformServer) rejected(w http.ResponseWriter) {
	if s.room.reject(time.Now()) {
		s.behaviour.Crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Laburnumlever-Not-Run", "full")
	w.WriteHeader(http.StatusServiceUnavailable)
}
