package laburnumtunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"laburnumlever/laburnumsocket"
	"laburnumlever/laburnumupstream"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

const (
	refusedHeader = "Laburnumlever-Refused"
	// writeTimeout ends a tunnel whose other side doesn't read.
	writeTimeout = 5 * time.Second
	// defaultLimit is the number of tunnels that a helper carries at once.
	defaultLimit = 256
	// established is the answer after which a connection is a tunnel.
	established = "HTTP/1.1 200 Connection established\r\n\r\n"
	// upBufferSize is the size in bytes of the buffer for requests.
	upBufferSize = 4 << 10
)

// Server is the http.Handler of a helper.
type Server struct {
	reaches   func(address string) bool
	available func() bool
	noticed   func(Notice)
	// dialFailed is called with the address of a server that accepts no connection.
	dialFailed func(address string)
	dialer     *laburnumupstream.Dialer
	limit      int
	// refused and opened count calls, carried is the number of tunnels.
	opened, refused tally.Counter
	carried         tally.Gauge

	mu      sync.Mutex
	tunnels map[*tunnel]struct{}
	leaving bool
	// changed is closed when a tunnel ends.
	changed chan struct{}
}

// tunnel is a connection of another VM and the one to the server.
type tunnel struct {
	near, far net.Conn
	// address is the server's.
	address string
	// writing guards writes to near.
	writing sync.Mutex
}

// ServerOption changes a new server.
type ServerOption func(*Server)

// WithLimit sets the number of tunnels at once.
func WithLimit(n int) ServerOption { return func(s *Server) { s.limit = n } }

// WithDialFailed sets a function that is called with the address of each server that accepts no connection.
func WithDialFailed(fn func(address string)) ServerOption {
	return func(s *Server) { s.dialFailed = fn }
}

// WithScope sets the metrics scope; by default no metrics are recorded.
func WithScope(scope tally.Scope) ServerOption { return func(s *Server) { s.setScope(scope) } }

// WithLocalIP sets the source address of connections to servers.
func WithLocalIP(ip net.IP) ServerOption {
	return func(s *Server) { s.dialer = laburnumupstream.NewDialer(ip) }
}

// NewServer returns a helper's server. reaches reports whether an address belongs to a backend server that this VM reaches
// directly, available whether this VM can help now.
func NewServer(reaches func(address string) bool, available func() bool, opts ...ServerOption) *Server {
	s := &Server{
		reaches: reaches, available: available, limit: defaultLimit, tunnels: map[*tunnel]struct{}{}, changed: make(chan struct{}),
		dialFailed: func(string) {}, noticed: func(Notice) {},
		dialer: laburnumupstream.NewDialer(nil),
	}
	s.setScope(tally.NoopScope)
	for _, opt := range opts {
		opt(s)
	}
	return s
}

func (s *Server) setScope(scope tally.Scope) {
	s.opened, s.refused, s.carried = scope.Counter("tunnels_opened"), scope.Counter("tunnels_refused"), scope.Gauge("tunnels")
}

// ServeHTTP opens a tunnel and carries it until either side ends it, or takes a notice.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && r.URL.Path == noticePath {
		s.takeNotice(w, r)
		return
	}
	if r.Method != http.MethodConnect {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	if status := s.check(r.Host); status != http.StatusOK {
		s.refused.Inc(1)
		w.WriteHeader(status)
		return
	}
	far, err := s.dialer.DialContext(r.Context(), r.Host)
	if err != nil {
		if r.Context().Err() == nil { // a VM that has given up says nothing of the server
			s.dialFailed(r.Host)
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			w.Header().Set(refusedHeader, "1")
		}
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	near, err := s.hijack(w)
	if err != nil {
		_ = far.Close()
		return
	}
	s.carry(&tunnel{near: near, far: far, address: r.Host})
}

// check returns the status of a call that is refused, else 200.
func (s *Server) check(address string) int {
	s.mu.Lock()
	full := s.leaving || len(s.tunnels) >= s.limit
	s.mu.Unlock()
	switch {
	case full || !s.available():
		return http.StatusServiceUnavailable
	case !s.reaches(address):
		return http.StatusForbidden
	default:
		return http.StatusOK
	}
}

// hijack takes a connection over from the HTTP server. The other VM sends nothing before the answer.
func (s *Server) hijack(w http.ResponseWriter) (net.Conn, error) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if tcp, ok := conn.(laburnumsocket.KeepAliveSetter); ok {
		_ = tcp.SetKeepAliveConfig(s.dialer.KeepAlive()) // without it a lost VM is noticed by the next write
	}
	return conn, nil
}

// carry copies bytes in both directions until the tunnel ends.
func (s *Server) carry(t *tunnel) {
	defer t.close()
	if !s.add(t) {
		return
	}
	defer s.remove(t)
	s.opened.Inc(1)
	if t.write([]byte(established)) != nil {
		return
	}
	go func() {
		t.copyUp()
		t.abort()
	}()
	t.copyDown()
}

// add adds a tunnel unless the helper leaves.
func (s *Server) add(t *tunnel) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return false
	}
	s.tunnels[t] = struct{}{}
	s.carried.Update(float64(len(s.tunnels)))
	return true
}

func (s *Server) remove(t *tunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tunnels, t)
	s.carried.Update(float64(len(s.tunnels)))
	close(s.changed)
	s.changed = make(chan struct{})
}

// Carried returns the number of tunnels.
func (s *Server) Carried() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tunnels)
}

// Drain opens no more tunnels, announces to the other VMs that the helper leaves, and waits until all tunnels have ended or
// ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	open := make([]*tunnel, 0, len(s.tunnels))
	for t := range s.tunnels {
		open = append(open, t)
	}
	s.mu.Unlock()
	for _, t := range open {
		_ = t.write(mark(leavingLength)) // a tunnel that breaks ends by itself
	}
	for {
		s.mu.Lock()
		n, changed := len(s.tunnels), s.changed
		s.mu.Unlock()
		if n == 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			s.closeAll()
			return
		}
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.tunnels {
		t.close()
	}
}

// abort drops what the server has not received yet, and closes both connections.
func (t *tunnel) abort() {
	laburnumsocket.ResetOnClose(t.far)
	t.close()
}

func (t *tunnel) close() {
	_ = t.near.Close()
	_ = t.far.Close()
}

func (t *tunnel) write(b []byte) error {
	t.writing.Lock()
	defer t.writing.Unlock()
	if err := t.near.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := t.near.Write(b)
	return err
}

// copyUp copies bytes to the server until the VM ends the tunnel. The VM has given up what it ends the tunnel behind.
func (t *tunnel) copyUp() {
	buffer := make([]byte, upBufferSize)
	for {
		n, err := t.near.Read(buffer)
		if err != nil || laburnumsocket.Look(t.near) == laburnumsocket.Closed {
			return
		}
		if _, err := t.far.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// copyDown copies bytes from the server in frames, and the end frame if the server ends its connection in an orderly way.
func (t *tunnel) copyDown() {
	var buffer frameBuffer
	for {
		n, err := t.far.Read(buffer.payload())
		if n > 0 && t.write(buffer.frame(n)) != nil {
			return
		}
		if errors.Is(err, io.EOF) {
			_ = t.write(mark(endLength)) // otherwise the tunnel counts as broken
			return
		}
		if err != nil {
			return
		}
	}
}
