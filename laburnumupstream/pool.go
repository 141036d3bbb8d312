package laburnumupstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// defaultIdleTimeout is the idle timeout of connections to a backend server that sends no
	// Keep-Alive timeout.
	defaultIdleTimeout = 2 * time.Second
	// keepAliveShare is the part of the backend server's idle timeout for which a connection is
	// reused. The backend server starts its timeout first, and a request must not be sent while
	// it closes the connection.
	keepAliveShare = 0.75
)

// Pool keeps idle connections by address and counts the open ones. It is safe for concurrent use.
type Pool struct {
	dialer  *Dialer
	tunnels Tunnels
	scope   tally.Scope
	now     func() time.Time
	// tunnelled is set while connections are opened through other VMs.
	tunnelled atomic.Bool

	mu   sync.Mutex
	idle map[string][]*Conn // most recently used last
	open map[string]int     // connections in use or idle
	// lifetimes shorten the reuse of idle connections to servers that close them early.
	lifetimes lifetimes
	// detours are the addresses to which connections are opened through other VMs whatever tunnelled says.
	detours map[string]struct{}
}

// Tunnels open connections through other VMs.
type Tunnels interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// Option changes a new pool.
type Option func(*Pool)

// WithTunnels sets how connections are opened through other VMs; by default there is no way to.
func WithTunnels(t Tunnels) Option { return func(p *Pool) { p.tunnels = t } }

// WithScope sets the metrics scope; by default no metrics are recorded.
func WithScope(scope tally.Scope) Option { return func(p *Pool) { p.scope = scope } }

// WithNow sets the clock that idle timeouts use; the default is time.Now.
func WithNow(now func() time.Time) Option { return func(p *Pool) { p.now = now } }

// WithLocalIP sets the source address of connections, so that a VM with several addresses uses the one that it
// listens on.
func WithLocalIP(ip net.IP) Option {
	return func(p *Pool) { p.dialer = NewDialer(ip) }
}

// New returns an empty pool.
func New(opts ...Option) *Pool {
	p := &Pool{
		dialer: NewDialer(nil), scope: tally.NoopScope, now: time.Now, idle: map[string][]*Conn{}, open: map[string]int{},
		detours: map[string]struct{}{},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// UseTunnels sets whether connections are opened through other VMs from now on. Idle connections of the other kind are not
// used any more.
func (p *Pool) UseTunnels(use bool) { p.tunnelled.Store(use && p.tunnels != nil) }

// Detour sets whether connections to one address are opened through other VMs from now on.
func (p *Pool) Detour(address string, use bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if use && p.tunnels != nil {
		p.detours[address] = struct{}{}
		return
	}
	delete(p.detours, address)
}

// usesTunnel reports whether connections to an address are opened through other VMs.
func (p *Pool) usesTunnel(address string) bool {
	if p.tunnelled.Load() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_, detour := p.detours[address]
	return detour
}

// HasTunnels reports whether connections can be opened through other VMs.
func (p *Pool) HasTunnels() bool { return p.tunnels != nil }

// Get returns an idle connection to address, or dials a new one if fewer than limit are open. A
// limit of 0 means no limit. Errors: *DialError, *ConnectionLimitError.
func (p *Pool) Get(ctx context.Context, address string, limit int) (*Conn, error) {
	tunnelled := p.usesTunnel(address)
	if c := p.popIdle(address, tunnelled); c != nil {
		return c, nil
	}
	return p.dial(ctx, address, limit, tunnelled)
}

// Probe dials address and keeps the connection for the next request. There is no limit, since the
// open connections may be those of a crashed backend server. An error is a *DialError.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.Open(ctx, address, p.usesTunnel(address))
	if err != nil {
		return err
	}
	p.putIdle(c, defaultIdleTimeout)
	return nil
}

// Open dials address without a limit, directly or through another VM. An error is a *DialError.
func (p *Pool) Open(ctx context.Context, address string, tunnelled bool) (*Conn, error) {
	return p.dial(ctx, address, 0, tunnelled)
}

func (p *Pool) dial(ctx context.Context, address string, limit int, tunnelled bool) (*Conn, error) {
	p.mu.Lock()
	if limit > 0 && p.open[address] >= limit {
		p.mu.Unlock()
		return nil, &ConnectionLimitError{Address: address, Limit: limit}
	}
	p.open[address]++
	p.mu.Unlock()
	began := p.now()
	conn, err := p.dialNetwork(ctx, address, tunnelled)
	if err != nil {
		p.connectionClosed(address)
		return nil, &DialError{Address: address, Tunnelled: tunnelled, Cause: err}
	}
	p.scope.Counter("backend-connections").Inc(1)
	source := newLimitedReader(conn)
	return &Conn{
		address: address, conn: conn, source: source, r: bufio.NewReaderSize(source, readBufferSize), tunnelled: tunnelled, openedAt: began,
		onClose: func() { p.connectionClosed(address) },
	}, nil
}

func (p *Pool) dialNetwork(ctx context.Context, address string, tunnelled bool) (net.Conn, error) {
	if tunnelled {
		return p.tunnels.Dial(ctx, address)
	}
	return p.dialer.DialContext(ctx, address)
}

func (p *Pool) connectionClosed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// popIdle returns the most recently used idle connection of the kind that is still usable, or nil. It closes
// the other ones that it finds.
func (p *Pool) popIdle(address string, tunnelled bool) *Conn {
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		now := p.now()
		if c.tunnelled == tunnelled && now.Before(c.usableUntil) {
			if c.noPendingInput() {
				c.onIdleClosed = func() { p.lifetimes.closed(address, now.Sub(c.idleSince), now) }
				return c
			}
			p.lifetimes.closed(address, now.Sub(c.idleSince), now)
		}
		c.Close()
	}
}

// Put returns a connection to the pool once the answer has been read completely. It closes the
// connection if it can't be reused.
func (p *Pool) Put(c *Conn, resp *http.Response) {
	idle, ok := keepAliveTimeout(resp.Header)
	if !ok {
		idle = defaultIdleTimeout
	}
	if resp.Close || idle <= 0 || c.r.Buffered() > 0 || !c.reusable() || c.conn.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	p.putIdle(c, idle)
}

// putIdle keeps a connection for a share of the backend server's idle timeout.
func (p *Pool) putIdle(c *Conn, timeout time.Duration) {
	c.idleSince = p.now()
	c.usableUntil = c.idleSince.Add(p.lifetimes.bound(c.address, time.Duration(float64(timeout)*keepAliveShare), c.idleSince))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Trim closes idle connections to an address until a number of connections is open, and returns how many are.
func (p *Pool) Trim(address string, most int) int {
	p.mu.Lock()
	list := p.idle[address]
	n := min(len(list), max(0, p.open[address]-most))
	closed := slices.Clone(list[:n]) // used least recently
	p.idle[address] = list[n:]
	if n == len(list) {
		delete(p.idle, address)
	}
	p.mu.Unlock()
	for _, c := range closed {
		c.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// Sweep closes idle connections whose idle timeout has passed.
func (p *Pool) Sweep() {
	now := p.now()
	var old []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if now.Before(c.usableUntil) {
				keep = append(keep, c)
			} else {
				old = append(old, c)
			}
		}
		p.idle[address] = keep
		if len(keep) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}
