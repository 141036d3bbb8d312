package laburnumvoter_test

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"

	"laburnumlever"
)

// network is an in-memory network between VMs. Each direction of a link can be cut on its own.
type network struct {
	mu    sync.Mutex
	ports map[string]*port
	cuts  map[[2]string]bool
	bytes atomic.Int64 // total size of all sent parameters
	// largest is the size of the largest parameters of a log message or a proposal.
	largest atomic.Int64
}

func (n *network) count(method string, size int) {
	n.bytes.Add(int64(size))
	if (strings.HasPrefix(method, "log-") || strings.HasPrefix(method, "propose")) && int64(size) > n.largest.Load() {
		n.largest.Store(int64(size))
	}
}

type port struct {
	net      *network
	address  string
	mu       sync.Mutex
	handlers map[string]laburnumlever.PeerHandler
	queue    chan func()
	stop     chan struct{}
}

func newNetwork() *network {
	return &network{ports: map[string]*port{}, cuts: map[[2]string]bool{}}
}

func (n *network) open(address string) *port {
	p := &port{
		net: n, address: address, handlers: map[string]laburnumlever.PeerHandler{},
		queue: make(chan func(), 1<<14), stop: make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports[address] = p
	go func() {
		for {
			select {
			case fn := <-p.queue:
				fn()
			case <-p.stop:
				return
			}
		}
	}()
	return p
}

func (n *network) close(p *port) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ports[p.address] == p {
		delete(n.ports, p.address)
	}
	close(p.stop)
}

func (n *network) cut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = on
}

func (n *network) reach(from, to string) *port {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[[2]string{from, to}] {
		return nil
	}
	return n.ports[to]
}

func (p *port) Handle(method string, handler laburnumlever.PeerHandler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handlers[method] = handler
}

func (p *port) handler(method string) laburnumlever.PeerHandler {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.handlers[method]
}

func (p *port) Notify(address, method string, params any) {
	data, _ := json.Marshal(params)
	p.net.count(method, len(data))
	to := p.net.reach(p.address, address)
	if to == nil {
		return
	}
	select {
	case to.queue <- func() {
		if h := to.handler(method); h != nil {
			_, _ = h(context.Background(), data)
		}
	}:
	default:
	}
}

func (p *port) Call(ctx context.Context, address, method string, params, result any) error {
	data, _ := json.Marshal(params)
	p.net.count(method, len(data))
	to := p.net.reach(p.address, address)
	if to == nil {
		return &laburnumlever.PeerUnreachableError{Address: address}
	}
	h := to.handler(method)
	if h == nil {
		return &laburnumlever.PeerRefusedError{Address: address, Kind: "unknown-method"}
	}
	answer := make(chan []byte, 1)
	go func() {
		value, err := h(ctx, data)
		if err == nil && p.net.reach(address, p.address) == p {
			out, _ := json.Marshal(value)
			answer <- out
		}
	}()
	select {
	case out := <-answer:
		return json.Unmarshal(out, result)
	case <-ctx.Done():
	case <-to.stop:
	}
	return &laburnumlever.PeerLostError{Address: address, Cause: ctx.Err()}
}
