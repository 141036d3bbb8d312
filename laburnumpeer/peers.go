package laburnumpeer

import (
	"context"
	"net"
	"sync"

	"laburnumlever"

	"github.com/cockroachdb/errors"
)

// pingMethod tests whether the other side of a silent link is alive; every VM answers it.
const pingMethod = "ping"

// Peers contains one VM's links to other VMs. It implements laburnumlever.Peers.
type Peers struct {
	self     laburnumlever.VMID
	cfg      config
	counters *counters
	// ctx is cancelled by Close.
	ctx               context.Context
	cancel            context.CancelFunc
	callSlots         chan struct{} // for calls being handled
	notificationSlots chan struct{} // for notifications being handled
	mu                sync.Mutex
	handlers          map[string]laburnumlever.PeerHandler
	links             map[string]*link
	wg                sync.WaitGroup
}

var _ laburnumlever.Peers = (*Peers)(nil)

// New returns the peers of a VM. Links are opened at first use; Serve accepts incoming connections.
func New(self laburnumlever.VMID, opts ...Option) *Peers {
	cfg := newConfig(opts)
	ctx, cancel := context.WithCancel(context.Background())
	return &Peers{
		self:              self,
		cfg:               cfg,
		counters:          &counters{scope: cfg.scope, byName: map[string]*methodCounters{}},
		ctx:               ctx,
		cancel:            cancel,
		callSlots:         make(chan struct{}, cfg.maxHandlers),
		notificationSlots: make(chan struct{}, cfg.maxHandlers),
		handlers:          map[string]laburnumlever.PeerHandler{pingMethod: answerPing},
		links:             map[string]*link{},
	}
}

func answerPing(context.Context, laburnumlever.RawMessage) (any, error) { return struct{}{}, nil }

// Handle sets the handler for a method; set all before serving.
func (p *Peers) Handle(method string, handler laburnumlever.PeerHandler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handlers[method] = handler
}

// Serve accepts connections until Close and then returns nil. Another error of the listener ends it.
func (p *Peers) Serve(ln net.Listener) error {
	if !p.begin() {
		return ln.Close()
	}
	defer p.wg.Done()
	closed := make(chan struct{})
	stop := context.AfterFunc(p.ctx, func() {
		defer close(closed)
		_ = ln.Close()
	})
	defer func() {
		if !stop() {
			<-closed // else the port is still taken once Close has returned
		}
	}()
	for {
		conn, err := ln.Accept()
		if p.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		p.serveConn(conn)
	}
}

// begin has Close wait for a Done. It returns false after Close.
func (p *Peers) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return false
	}
	p.wg.Add(1)
	return true
}

// Close closes all links and listeners, and waits until they are. Calls in progress fail.
func (p *Peers) Close() error {
	p.mu.Lock()
	p.cancel()
	p.mu.Unlock()
	p.wg.Wait()
	return nil
}

// spawn starts a goroutine that Close waits for. After Close it starts none and returns false: a
// goroutine added while Close waits would outlive it.
func (p *Peers) spawn(fn func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return false
	}
	p.wg.Go(fn)
	return true
}

// Call sends a request and waits for the answer; see laburnumlever.Peers for its errors.
func (p *Peers) Call(ctx context.Context, address, method string, params, result any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.cfg.callTimeout)
		defer cancel()
	}
	l, err := p.link(address)
	if err != nil {
		return &laburnumlever.PeerUnreachableError{Address: address, Cause: err}
	}
	defer l.inFlight.Add(-1)
	return l.call(ctx, method, params, result)
}

// Notify queues a message without an answer. It is dropped and counted if the queue is full.
func (p *Peers) Notify(address, method string, params any) {
	l, err := p.link(address)
	if err != nil {
		return
	}
	defer l.inFlight.Add(-1)
	l.notify(method, params)
}

// link returns the link to an address with inFlight incremented, so that it is not removed as idle
// before it is used: that would leave a connection without a silence detector.
func (p *Peers) link(address string) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return nil, &ClosedError{}
	}
	if l, ok := p.links[address]; ok {
		l.inFlight.Add(1)
		return l, nil
	}
	l := newLink(p, address)
	l.inFlight.Add(1)
	p.links[address] = l
	p.wg.Go(l.run)
	return l, nil
}

// removeIdle removes an idle link. It returns false if the link has come into use meanwhile.
func (p *Peers) removeIdle(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(l.queue) > 0 || l.inFlight.Load() > 0 {
		return false
	}
	delete(p.links, l.address)
	return true
}

func (p *Peers) handler(method string) (laburnumlever.PeerHandler, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.handlers[method]
	return h, ok
}
