package laburnumstandin

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	leavingHeader = "Server-Leaving"
	// RestPath is the path of a PUT that sets the time to rest, as SetRest does. It is not part of the platform's protocol.
	RestPath = "/stand-in/rest"
	// LeavePath is the path of a PUT that has the server say that it leaves, as SayLeaving does. It is not part of the
	// platform's protocol.
	LeavePath = "/stand-in/leave"
	// restNotice is the time after which a VM must keep a rest that it was asked for, restTolerance the number of requests of one
	// VM that may reach a resting server all the same.
	restNotice    = 500 * time.Millisecond
	restTolerance = 2
	// leaveNotice is the time after which a VM that was told must send a leaving server nothing.
	leaveNotice = 2 * time.Second
)

// rests is what a PlatformServer asks VMs for: that they send it nothing for a while, or nothing any more. It checks that they do.
type rests struct {
	mu sync.Mutex
	// text is the value of Retry-After in answers that turn requests away; empty while the server rests from nobody.
	text    string
	leaving bool
	asked   map[string]*askedRest
	told    map[string]time.Time
	// broken are the VMs that sent too much, and why; onBroken, unless nil, is called with each.
	broken   []string
	onBroken func(vm, text string)
}

// askedRest is a rest that one VM was asked for.
type askedRest struct {
	at, until time.Time
	arrivals  int
}

// SetRest has the server turn all requests away and ask for a time of rest in seconds; with an empty text it takes requests again.
func (s *PlatformServer) SetRest(text string) {
	s.rests.mu.Lock()
	defer s.rests.mu.Unlock()
	s.rests.text = text
}

// SayLeaving has the server say in its answers that it leaves, while it goes on to serve and to announce itself as ready.
func (s *PlatformServer) SayLeaving() {
	s.rests.mu.Lock()
	defer s.rests.mu.Unlock()
	s.rests.leaving = true
}

// Broken returns which VMs have sent requests while they should rest, or after the server had told them that it leaves.
func (s *PlatformServer) Broken() []string {
	s.rests.mu.Lock()
	defer s.rests.mu.Unlock()
	return append([]string(nil), s.rests.broken...)
}

// arrived records a request of a VM, and reports whether the server turns it away and what for.
func (r *rests) arrived(vm string, now time.Time) (turnedAway bool, after string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.asked == nil {
		r.asked, r.told = map[string]*askedRest{}, map[string]time.Time{}
	}
	if at, ok := r.told[vm]; ok && now.Sub(at) > leaveNotice {
		r.breaks(vm, "sent a request "+now.Sub(at).String()+" after it was told that the server leaves")
		r.told[vm] = now
	}
	if a := r.asked[vm]; a != nil && now.After(a.at.Add(restNotice)) && now.Before(a.until) {
		if a.arrivals++; a.arrivals == restTolerance+1 {
			r.breaks(vm, "sent more than "+strconv.Itoa(restTolerance)+" requests to a server that rests")
		}
	}
	if r.text == "" {
		return false, ""
	}
	seconds, _ := strconv.ParseFloat(r.text, 64) // an invalid text asks for no rest
	if a := r.asked[vm]; a == nil || now.After(a.until) {
		r.asked[vm] = &askedRest{at: now, until: now.Add(time.Duration(seconds * float64(time.Second)))}
	}
	return true, r.text
}

// breaks records that a VM sent too much; the caller holds mu.
func (r *rests) breaks(vm, text string) {
	r.broken = append(r.broken, vm+" "+text)
	if r.onBroken != nil {
		r.onBroken(vm, text)
	}
}

// tell has an answer say that the server leaves, if it does.
func (r *rests) tell(vm string, header http.Header, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leaving {
		return
	}
	header.Set(leavingHeader, "1")
	if _, known := r.told[vm]; !known {
		r.told[vm] = now
	}
}

// rest turns a request away if the server rests, and reports whether it did.
func (s *PlatformServer) rest(w http.ResponseWriter, r *http.Request) bool {
	vm, _, _ := net.SplitHostPort(r.RemoteAddr) // always has a port
	turnedAway, after := s.rests.arrived(vm, time.Now())
	s.rests.tell(vm, w.Header(), time.Now())
	if !turnedAway {
		return false
	}
	w.Header().Set("X-Laburnumlever-Not-Run", "shed")
	w.Header().Set("Retry-After", after)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}
