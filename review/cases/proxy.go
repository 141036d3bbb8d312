package main

import (
	"io"
	"net"
	"sync"
)

// proxy is the path to a server. It can hold everything that comes from, or goes to, one source address, as a cut does.
type proxy struct {
	target string
	ln     net.Listener

	mu   sync.Mutex
	open *sync.Cond
	held string // the source address whose bytes are held; empty for none
}

func newProxy(listen, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, ln: ln}
	p.open = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// hold cuts the path for a source address until it is called with an empty one.
func (p *proxy) hold(source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = source
	p.open.Broadcast()
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.hold("")
}

func (p *proxy) accept() {
	for {
		conn, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.carry(conn)
	}
}

func (p *proxy) carry(near net.Conn) {
	defer func() { _ = near.Close() }()
	source, _, _ := net.SplitHostPort(near.RemoteAddr().String())
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	go func() {
		p.copy(far, near, source)
		_ = far.Close()
	}()
	p.copy(near, far, source)
}

func (p *proxy) copy(to io.Writer, from io.Reader, source string) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		for p.held != "" && p.held == source {
			p.open.Wait()
		}
		p.mu.Unlock()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
