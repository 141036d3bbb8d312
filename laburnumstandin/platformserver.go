package laburnumstandin

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"laburnumlever/laburnumtimer"
)

const (
	// announceTimeout is how long a backend server of the platform waits for the response
	// to a heartbeat before it tries the next control VM.
	announceTimeout = time.Second
	limitHeader     = "Server-Limit"
	keyHeader       = "X-Api-Key"
	accountHeader   = "X-Laburnumlever-Tenant"
	partsHeader     = "X-Laburnumlever-Prefix-Hash"
	modelHeader     = "X-Laburnumlever-Model"
	// healthPath is the path of health checks in the stand-in manifest.
	healthPath  = "/health"
	defaultZone = "brest"
	// defaultSoftware is the software version of servers without one of their own.
	defaultSoftware = "v1"
	// softwareMark precedes the software version in an event.
	softwareMark = " of "
	// defaultSlots is the number of slots that a server announces which runs any number of requests.
	defaultSlots = 8
	// platformEvents is the number of events in each stream.
	platformEvents = 4
	// EchoPrefix begins the body of a request whose stream repeats it in each event.
	EchoPrefix = "echo-"
	// LimitPath is the path of a PUT that sets the limit, as SetLimit does. It is not part of the
	// platform's protocol.
	LimitPath = "/stand-in/limit"
)

// PlatformBehaviour injects faults into a PlatformServer and observes the requests it runs.
type PlatformBehaviour struct {
	// AbortStreamAfter aborts the connection of each stream after that many events; 0
	// disables it.
	AbortStreamAfter int
	// Software is the software version that the server announces and names in each event of its streams. Without it,
	// it announces defaultSoftware and names none.
	Software string
	// EventPause is the time between two events of a stream, and between the two halves of a plain answer.
	EventPause time.Duration
	// MaxPace is how long work takes at most on the server's machine, which it shares with others, with 100 for as usual. The pace
	// changes a few times a second, and answers tell the load and the pace; 0 for a machine of its own.
	MaxPace int
	// Zone is the availability zone that the server announces; empty for that of the stand-in fleets.
	Zone string
	// Delay is the time before each response starts.
	Delay time.Duration
	// OnRun, unless nil, is called with each request that runs.
	OnRun func(run PlatformRun)
	// OnCut, unless nil, is called with the id of each request whose connection is closed after its answer has begun and before
	// that is complete.
	OnCut func(id string)
	// Spoiling has the server spoil answers, which OnSpoil, unless nil, is called with.
	Spoiling Spoiling
	OnSpoil  func(id string, kind Spoil)
	// OnBroken, unless nil, is called with each VM that sends the server more than it asked for, and what it sent.
	OnBroken func(vm, text string)
	// CrashText, unless empty, crashes the server at each request whose body contains it, once it
	// has begun to run: an engine has sent the head of its answer by then.
	CrashText string
	// CrashParts crash the server in the same way at each request with one of them in its prompt, other than as the last part.
	CrashParts []string
	// Crash ends the server and all of its connections. It is required with CrashText, CrashParts and SetBrittle.
	Crash func()
	// Slots is the number of requests that run at once, Queue that of those that wait; more are rejected. With 0
	// slots all run.
	Slots, Queue int
}

// PlatformRun is a request that a PlatformServer runs.
type PlatformRun struct {
	ID string
	// Account is the caller's client account, and Key its key, which must not be passed on.
	Account, Key string
}

// PlatformServer stands in for a backend server of the users' platform: it sends periodic
// announcements, serves requests, and obeys load and unload orders if it has models. It is
// safe for use by many goroutines.
type PlatformServer struct {
	id        string
	service   string
	address   string
	controls  []string
	behaviour PlatformBehaviour
	timers    *laburnumtimer.Timers
	cancel    func()
	room      *room // nil for any number of requests
	engine    bool  // also while it holds no model
	rests     rests
	runs      atomic.Int64
	running   atomic.Int64

	mu       sync.Mutex
	sequence int
	accepted int
	leaving  bool
	models   []platformModel
	// limit is named in answers unless it is empty.
	limit    string
	spoiling Spoiling
}

type platformModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// NewPlatformServer makes a backend server of a service that is reachable at the address
// and announces itself to the control VMs' addresses. A server with models is a model
// engine.
func NewPlatformServer(id, service, address string, controls, models []string, behaviour PlatformBehaviour) *PlatformServer {
	s := &PlatformServer{id: id, service: service, address: address, controls: controls, behaviour: behaviour, spoiling: behaviour.Spoiling, timers: laburnumtimer.New(), engine: len(models) > 0}
	s.rests.onBroken = behaviour.OnBroken
	if behaviour.Slots > 0 {
		s.room = newRoom(behaviour.Slots, behaviour.Queue)
	}
	for _, name := range models {
		s.models = append(s.models, platformModel{Name: name, Version: 1, Adapters: []string{}})
	}
	return s
}

// Start starts the periodic announcements.
func (s *PlatformServer) Start(period time.Duration) {
	s.cancel = s.timers.Every(period, func(time.Time) { go s.announce("ready") })
}

// Leave announces that the backend server is draining; requests in flight continue.
func (s *PlatformServer) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.announce("draining")
}

// SetLimit has the backend server name a limit of requests per second in its answers, or none if the
// text is empty. It does not enforce it.
func (s *PlatformServer) SetLimit(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = text
}

// Runs returns the number of requests that the server has run.
func (s *PlatformServer) Runs() int64 { return s.runs.Load() }

// Close stops the announcements.
func (s *PlatformServer) Close() {
	if s.cancel != nil {
		s.cancel()
	}
	s.timers.Close()
}

// announce tries the control VMs in order until one acknowledges the announcement.
func (s *PlatformServer) announce(state string) {
	body := s.announcementBody(state)
	for _, control := range s.controls {
		if s.sendAnnouncement(control, body) {
			return
		}
	}
}

func (s *PlatformServer) announcementBody(state string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	if s.leaving {
		state = "draining"
	}
	document := map[string]any{
		"service": s.service, "address": s.address, "zone": cmp.Or(s.behaviour.Zone, defaultZone), "version": cmp.Or(s.behaviour.Software, defaultSoftware), "slots": cmp.Or(s.behaviour.Slots, defaultSlots),
		"state": state, "cold_remaining_ms": 0, "seq": s.sequence,
	}
	if s.engine {
		document["models"] = s.models
	}
	body, _ := json.Marshal(document) //nolint:errchkjson // strings and numbers only
	return body
}

func (s *PlatformServer) sendAnnouncement(control string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	url := "http://" + control + "/v1/instances/" + s.id
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ServeHTTP serves reports, orders and requests, except for those to an earlier instance at its address.
func (s *PlatformServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Laburnumlever-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Laburnumlever-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		s.report(w)
	case "/v1/order":
		s.order(w, r)
	case healthPath:
		w.Header().Set("X-Laburnumlever-Instance-Id", s.id)
		s.tellLoad(w.Header())
	case LimitPath:
		text, _ := io.ReadAll(r.Body) // whoever disconnects sends it again
		s.SetLimit(string(text))
	case RestPath:
		text, _ := io.ReadAll(r.Body) // as above
		s.SetRest(string(text))
	case LeavePath:
		s.SayLeaving()
	case BrittlePath:
		text, _ := io.ReadAll(r.Body) // as above
		rejections, err := strconv.Atoi(string(text))
		if err != nil {
			rejections = -1
		}
		s.SetBrittle(rejections)
	default:
		s.answer(w, r)
	}
}

func (s *PlatformServer) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"seq": s.accepted, "models": s.models, "busy": false})
}

func (s *PlatformServer) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op, Model, Adapter string
		Expect             int
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if order.Expect != s.accepted {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.accepted++
	s.applyOrder(order.Op, order.Model, order.Adapter)
	w.WriteHeader(http.StatusAccepted)
}

// applyOrder changes the loaded models and adapters; the caller holds mu.
func (s *PlatformServer) applyOrder(op, model, adapter string) {
	i := slices.IndexFunc(s.models, func(m platformModel) bool { return m.Name == model })
	switch {
	case op == "load" && adapter != "" && i >= 0:
		s.models[i].Adapters = append(s.models[i].Adapters, adapter)
	case op == "load" && i < 0:
		s.models = append(s.models, platformModel{Name: model, Version: 1, Adapters: []string{}})
	case op == "unload" && adapter == "" && i >= 0:
		s.models = slices.Delete(s.models, i, i+1)
	default:
	}
}

func (s *PlatformServer) answer(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // a caller that disconnects gets no response
	w.Header().Set("X-Laburnumlever-Request-Id", r.Header.Get("X-Laburnumlever-Request-Id"))
	if s.rest(w, r) {
		return
	}
	if !s.holds(r.Header.Get(modelHeader)) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if n, ok := s.brittleness(); ok {
		w.Header().Set(brittleHeader, strconv.Itoa(n))
	}
	if s.room != nil {
		if !s.room.enter(r.Context().Done()) {
			s.rejected(w)
			return
		}
		defer s.room.leave()
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	if s.behaviour.Delay > 0 {
		laburnumtimer.Wait(r.Context().Done(), s.timers, s.work(s.behaviour.Delay))
	}
	s.tellLoad(w.Header())
	s.runs.Add(1)
	if s.behaviour.OnRun != nil {
		s.behaviour.OnRun(PlatformRun{
			ID: r.Header.Get("X-Laburnumlever-Request-Id"), Account: r.Header.Get(accountHeader), Key: r.Header.Get(keyHeader),
		})
	}
	w.Header().Set("X-Laburnumlever-Server-Stamp", "stamp-of-"+s.id)
	s.mu.Lock()
	if s.limit != "" {
		w.Header().Set(limitHeader, s.limit)
	}
	s.mu.Unlock()
	if s.crashedBy(r, body) {
		s.crash(w, s.engine)
	}
	if !s.engine {
		s.plainAnswer(w, r, body)
		return
	}
	s.stream(w, r, body)
}

// holds reports whether the server holds a model or, as MODEL/ADAPTER, an adapter of it. A server that is no model engine is not
// asked for one.
func (s *PlatformServer) holds(name string) bool {
	if !s.engine || name == "" {
		return true
	}
	model, adapter, _ := strings.Cut(name, "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.models, func(m platformModel) bool { return m.Name == model })
	return i >= 0 && (adapter == "" || slices.Contains(s.models[i].Adapters, adapter))
}

func (s *PlatformServer) plainAnswer(w http.ResponseWriter, r *http.Request, body []byte) {
	text := fmt.Appendf(nil, "%s ran %s %s: %s\n", s.id, r.Method, r.URL.Path, body)
	if p := s.draw(r, false, 1); p.at > 0 {
		s.told(r, p.kind)
		p.answer(w, text)
		return
	}
	half := len(text) / 2
	if s.behaviour.EventPause > 0 {
		_, _ = w.Write(text[:half])
		_ = http.NewResponseController(w).Flush()
		laburnumtimer.Wait(r.Context().Done(), s.timers, s.work(s.behaviour.EventPause))
		if s.cut(r) {
			return
		}
		text = text[half:]
	}
	_, _ = w.Write(text)
}

// cut reports whether the connection of a request was closed, as seen when a part of its answer is due.
func (s *PlatformServer) cut(r *http.Request) bool {
	if r.Context().Err() == nil {
		return false
	}
	if s.behaviour.OnCut != nil {
		s.behaviour.OnCut(r.Header.Get("X-Laburnumlever-Request-Id"))
	}
	return true
}

// crashedBy reports whether a request crashes the server.
func (s *PlatformServer) crashedBy(r *http.Request, body []byte) bool {
	if s.behaviour.CrashText != "" && bytes.Contains(body, []byte(s.behaviour.CrashText)) {
		return true
	}
	parts := strings.Split(r.Header.Get(partsHeader), ",")
	for _, part := range parts[:len(parts)-1] {
		id, _, _ := strings.Cut(part, ":")
		if slices.Contains(s.behaviour.CrashParts, id) {
			return true
		}
	}
	return false
}

// crash ends the server in the middle of a request.
func (s *PlatformServer) crash(w http.ResponseWriter, engine bool) {
	if engine {
		w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(w).Flush() // the connection ends either way
	}
	s.behaviour.Crash()
	panic(http.ErrAbortHandler)
}

func (s *PlatformServer) stream(w http.ResponseWriter, r *http.Request, body []byte) {
	if !bytes.HasPrefix(body, []byte(EchoPrefix)) {
		body = nil
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	model, _, _ := strings.Cut(r.Header.Get(modelHeader), "/")
	flusher := http.NewResponseController(w)
	data := func(i int) string {
		return fmt.Sprintf("data: %s word %d%s%s\n\n", model, i, body, s.softwareText())
	}
	spoils := s.draw(r, true, first)
	for i := first; i != 0 && i <= platformEvents; {
		if s.behaviour.AbortStreamAfter > 0 && i > s.behaviour.AbortStreamAfter {
			panic(http.ErrAbortHandler)
		}
		if s.behaviour.EventPause > 0 && i > first {
			laburnumtimer.Wait(r.Context().Done(), s.timers, s.work(s.behaviour.EventPause))
			if s.cut(r) {
				return
			}
		}
		parts, next := []string{eventOf("", i, data(i))}, i+1
		if i == spoils.at {
			s.told(r, spoils.kind)
			parts, next = spoils.send(w, i, data)
		}
		for _, part := range parts {
			_, _ = io.WriteString(w, part)
			_ = flusher.Flush()
		}
		i = next
	}
}

// softwareText is what an event says of the server's software version.
func (s *PlatformServer) softwareText() string {
	if s.behaviour.Software == "" {
		return ""
	}
	return softwareMark + s.behaviour.Software
}

var _ http.Handler = (*PlatformServer)(nil)
