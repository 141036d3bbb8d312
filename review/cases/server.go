package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Headers of the platform's protocol.
const (
	headerID       = "X-Laburnumlever-Request-Id"
	headerStamp    = "X-Laburnumlever-Server-Stamp"
	headerNotRun   = "X-Laburnumlever-Not-Run"
	headerInstance = "X-Laburnumlever-Instance-Id"
	headerExpect   = "X-Laburnumlever-Expect-Instance"
	headerLoad     = "X-Laburnumlever-Server-Load"
	headerModel    = "X-Laburnumlever-Model"
	headerTokens   = "X-Laburnumlever-Token-Count"
	headerDeadline = "X-Laburnumlever-Deadline-Ms"
)

// idleSeconds is how long a server keeps an idle connection.
const idleSeconds = 15

// modelSpec is a model of the manifest.
type modelSpec struct {
	name string
	mb   float64
}

// server is a stand-in for a backend server: a plain service or, with models, a model engine.
type server struct {
	d       *deployment
	id      string
	service string
	zone    string
	ip      string
	slots   int
	queue   int
	// serve answers a request that has a slot.
	serve func(ctx context.Context, s *server, x *exchange)
	// before, if set, may answer a call before anything else; it reports whether it did.
	// announced is the address that it announces, if that is not its own.
	announced string
	before    func(ctx context.Context, s *server, x *exchange) bool
	engine    *engine // nil for a plain service

	mu       sync.Mutex
	ln       net.Listener
	conns    map[net.Conn]struct{}
	seq      int
	leaving  bool
	silent   bool // no heartbeats
	ended    bool
	running  int
	waiting  int
	slotFree *sync.Cond
	beatAt   string // the control VM's address for heartbeats; empty for any
}

// exchange is one request on a connection.
type exchange struct {
	conn net.Conn
	req  *http.Request
	body []byte
	s    *server
}

// newServer starts a backend server's listener; it announces itself once announce is called.
func (d *deployment) newServer(i int, service, zone string, slots int) (*server, error) {
	s := &server{
		d: d, id: fmt.Sprintf("i-%s-%d-%d", service, i, time.Now().UnixNano()%100000), service: service, zone: zone, slots: slots, queue: 24,
		ip: fmt.Sprintf("%s.%d", d.network, serverFirst+i), conns: map[net.Conn]struct{}{},
	}
	s.slotFree = sync.NewCond(&s.mu)
	ln, err := net.Listen("tcp", s.address())
	if err != nil {
		return nil, err
	}
	s.ln = ln
	go s.accept()
	d.onClose(s.end)
	return s, nil
}

func (s *server) address() string { return fmt.Sprintf("%s:%d", s.ip, s.d.ports.server) }

func (s *server) accept() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.ended {
			s.mu.Unlock()
			_ = conn.Close()
			continue
		}
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go s.serveConn(conn)
	}
}

// end ends the server with all of its connections.
func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	_ = s.ln.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.slotFree.Broadcast()
}

// serveConn serves one request at a time. A request's context ends when its connection closes.
func (s *server) serveConn(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			if _, err := r.Peek(1); err != nil {
				cancel()
			}
		}()
		s.handle(ctx, &exchange{conn: conn, req: req, body: body, s: s})
		<-watched
		cancel()
	}
}

func (s *server) handle(ctx context.Context, x *exchange) {
	if s.before != nil && s.before(ctx, s, x) {
		return
	}
	if want := x.req.Header.Get(headerExpect); want != "" && want != s.id {
		x.answer(http.StatusMisdirectedRequest, map[string]string{headerInstance: s.id, headerNotRun: "1"}, nil)
		return
	}
	switch path := x.req.URL.Path; {
	case path == "/health":
		x.answer(http.StatusOK, map[string]string{headerInstance: s.id}, nil)
	case s.engine != nil && path == "/v1/report":
		x.answerJSON(http.StatusOK, s.engine.report())
	case s.engine != nil && path == "/v1/order":
		s.engine.order(x)
	case s.engine != nil && path == "/v1/hold-take":
		s.engine.holdTake(x)
	case s.engine != nil && strings.HasPrefix(path, "/v1/"):
		x.answer(http.StatusNotFound, nil, nil)
	case x.req.Header.Get(headerID) == "":
		x.answer(http.StatusBadRequest, map[string]string{headerNotRun: "1"}, nil)
	case s.engine != nil && !s.engine.holds(x.req.Header.Get(headerModel)):
		x.answer(http.StatusMisdirectedRequest, map[string]string{headerNotRun: "1"}, nil)
	default:
		s.work(ctx, x)
	}
}

// work runs a request once it has a slot; it is rejected if the queue is full, and dropped if its connection closes.
func (s *server) work(ctx context.Context, x *exchange) {
	s.mu.Lock()
	if s.running >= s.slots && s.waiting >= s.queue {
		s.mu.Unlock()
		x.answer(http.StatusServiceUnavailable, map[string]string{headerNotRun: "1"}, nil)
		return
	}
	stop := context.AfterFunc(ctx, func() { s.slotFree.Broadcast() })
	defer stop()
	s.waiting++
	for s.running >= s.slots && ctx.Err() == nil && !s.ended {
		s.slotFree.Wait()
	}
	s.waiting--
	if ctx.Err() != nil || s.ended {
		s.mu.Unlock()
		return
	}
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
		s.slotFree.Broadcast()
	}()
	s.serve(ctx, s, x)
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
}

func (x *exchange) id() string { return x.req.Header.Get(headerID) }

// head returns the head of an answer.
func (x *exchange) head(status int, header map[string]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := x.id(); id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", headerID, id)
	}
	fmt.Fprintf(&b, "%s: %s\r\n", headerLoad, x.s.load())
	fmt.Fprintf(&b, "Keep-Alive: timeout=%d\r\n", idleSeconds)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	return b.String()
}

// text returns a whole answer with a length.
func (x *exchange) text(status int, header map[string]string, body []byte) []byte {
	return append(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", x.head(status, header), len(body)), body...)
}

// answer writes a whole answer with a length.
func (x *exchange) answer(status int, header map[string]string, body []byte) {
	_, _ = x.conn.Write(x.text(status, header, body))
}

func (x *exchange) answerJSON(status int, document any) {
	body, _ := json.Marshal(document)
	x.answer(status, map[string]string{"Content-Type": "application/json"}, body)
}

// stamp is the receipt of an answer that the server made.
func (s *server) stamp(x *exchange) map[string]string {
	return map[string]string{headerStamp: "stamp." + s.id + "." + x.id()}
}

// stream writes a stream of events with a pause before each, and returns whether it was complete.
func (x *exchange) stream(ctx context.Context, events int, every time.Duration) bool {
	header := x.s.stamp(x)
	header["Content-Type"] = "text/event-stream"
	header["Transfer-Encoding"] = "chunked"
	if _, err := io.WriteString(x.conn, x.head(http.StatusOK, header)+"\r\n"); err != nil {
		return false
	}
	for i := 1; i <= events; i++ {
		if !pause(ctx, every) {
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", i, x.id(), i, events)
		if _, err := fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(x.conn, "0\r\n\r\n")
	return err == nil
}

// announce sends heartbeats until the server ends, is silent or has left.
func (s *server) announce(ctx context.Context) {
	go func() {
		for {
			s.mu.Lock()
			quiet := s.silent || s.ended
			s.mu.Unlock()
			if quiet {
				return
			}
			s.beat(ctx)
			if !pause(ctx, heartbeatPeriod) {
				return
			}
		}
	}()
}

// beat sends one heartbeat, to the next control VM if one does not acknowledge it.
func (s *server) beat(ctx context.Context) bool {
	s.mu.Lock()
	s.seq++
	state := "ready"
	if s.leaving {
		state = "draining"
	}
	document := map[string]any{
		"service": s.service, "address": cmp.Or(s.announced, s.address()), "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"cold_remaining_ms": 0, "seq": s.seq,
	}
	first := s.beatAt
	s.mu.Unlock()
	if s.engine != nil {
		document["stage"], document["models"] = "both", s.engine.models()
	}
	body, _ := json.Marshal(document)
	for _, address := range s.controlsFrom(first) {
		status, text, err := call(ctx, http.MethodPut, "http://"+address+"/v1/instances/"+s.id, body)
		if err != nil || status != http.StatusOK {
			continue
		}
		var answer struct {
			HeartbeatAddress string `json:"heartbeat_address"`
		}
		_ = json.Unmarshal(text, &answer)
		s.mu.Lock()
		s.beatAt = address
		if answer.HeartbeatAddress != "" {
			s.beatAt = answer.HeartbeatAddress
		}
		s.mu.Unlock()
		return true
	}
	return false
}

// controlsFrom lists the control VMs' addresses, the given one first.
func (s *server) controlsFrom(first string) []string {
	var list []string
	if first != "" {
		list = append(list, first)
	}
	for _, m := range s.d.controls {
		if m.controlAddress() != first {
			list = append(list, m.controlAddress())
		}
	}
	return list
}
