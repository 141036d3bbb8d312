package laburnumupstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept when the backend server
	// does not say how long it keeps it.
	defaultIdleTimeout = 2 * time.Second
	// keepAliveShare of what the backend server says is used, since its clock started
	// before ours and a request must not cross its close.
	keepAliveShare = 0.75
	// dialTimeout is tens of round trips within a region; a backend server that does
	// not answer by then is cut off, overrun, or the packet was lost, which the
	// system sends again only after a second.
	dialTimeout = 200 * time.Millisecond
	// Probes find a silent connection within about three seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// Pool holds idle connections by address. It may be used from any goroutine.
type Pool struct {
	dialer net.Dialer
	scope  tally.Scope
	now    func() time.Time

	mu   sync.Mutex
	idle map[string][]*Conn // the last used last
	open map[string]int
}

// Option changes a new pool.
type Option func(*Pool)

// WithScope sets where counters go; without it they go nowhere.
func WithScope(scope tally.Scope) Option { return func(p *Pool) { p.scope = scope } }

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(p *Pool) { p.now = now } }

// New makes an empty pool.
func New(opts ...Option) *Pool {
	p := &Pool{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		}},
		scope: tally.NoopScope, now: time.Now, idle: map[string][]*Conn{}, open: map[string]int{},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Get returns an idle connection or makes one, unless limit are open already; 0
// means no limit. Errors: *DialError, *FullError.
func (p *Pool) Get(ctx context.Context, address string, limit int) (*Conn, error) {
	if c := p.popIdle(address); c != nil {
		return c, nil
	}
	p.mu.Lock()
	if limit > 0 && p.open[address] >= limit {
		p.mu.Unlock()
		return nil, &FullError{Address: address, Limit: limit}
	}
	p.open[address]++
	p.mu.Unlock()
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.connectionClosed(address)
		return nil, &DialError{Address: address, Cause: err}
	}
	p.scope.Counter("backend-connections").Inc(1)
	return &Conn{
		address: address, conn: conn, r: bufio.NewReaderSize(conn, readBufferSize),
		onClose: func() { p.connectionClosed(address) },
	}, nil
}

func (p *Pool) connectionClosed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// popIdle returns the idle connection used last that still can be.
func (p *Pool) popIdle(address string) *Conn {
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
		if p.now().Before(c.usableUntil) && c.noPendingInput() {
			return c
		}
		c.Close()
	}
}

// Put takes a connection back after a whole answer.
func (p *Pool) Put(c *Conn, resp *http.Response) {
	idle, ok := keepAliveTimeout(resp.Header)
	if !ok {
		idle = defaultIdleTimeout
	}
	idle = time.Duration(float64(idle) * keepAliveShare)
	if resp.Close || idle <= 0 || c.r.Buffered() > 0 || c.conn.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	c.usableUntil = p.now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes idle connections that can't be used any more.
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
