package laburnumstandin

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	loadHeader = "X-Laburnumlever-Server-Load"
	// paceTime is how long a machine has one pace.
	paceTime  = 250 * time.Millisecond
	usualPace = 100
)

// pace returns how long work takes on the server's machine now; usualPace if it shares it with nobody.
func (s *PlatformServer) pace(now time.Time) int {
	more := s.behaviour.MaxPace - usualPace
	if more <= 0 {
		return usualPace
	}
	text := s.id + strconv.FormatInt(now.UnixNano()/int64(paceTime), 10)
	return usualPace + int(xxhash.Sum64String(text)%uint64(more+1)) //nolint:gosec // both are small
}

// work returns how long some work takes now.
func (s *PlatformServer) work(usual time.Duration) time.Duration {
	return usual * time.Duration(s.pace(time.Now())) / usualPace
}

// tellLoad has an answer name the load and the pace, if the machine is shared.
func (s *PlatformServer) tellLoad(header http.Header) {
	if s.behaviour.MaxPace <= 0 {
		return
	}
	running, waiting, slots := int(s.running.Load()), 0, defaultSlots
	if s.room != nil {
		running, waiting, slots = s.room.load()
	}
	header.Set(loadHeader, fmt.Sprintf("%d,%d,%d,%d", running, waiting, slots, s.pace(time.Now())))
}

// load returns how many requests run and wait, and the number of slots.
func (r *room) load() (running, waiting, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running, r.waiting, r.slots
}
