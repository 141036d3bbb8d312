package laburnumsoak

import (
	"context"
	"net"
	"sync"

	"laburnumlever/laburnumstandin"
)

// faultLink is the proxy in front of one process: in front of a VM for its peers, in front of a
// backend server for gateways and for the director's orders.
type faultLink struct {
	name    string
	address string
	link    *laburnumstandin.Link

	mu sync.Mutex
	ln net.Listener // nil while connections are refused
}

func (f *fleet) addLink(name, address, target string) *faultLink {
	l := &faultLink{name: name, address: address, link: laburnumstandin.NewLink(target)}
	f.links = append(f.links, l)
	return l
}

// open listens and forwards connections until the link is shut. An open link stays as it is.
func (l *faultLink) open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil {
		return nil
	}
	var cfg net.ListenConfig
	ln, err := cfg.Listen(context.Background(), "tcp", l.address)
	if err != nil {
		return &StartError{Process: "link to " + l.name, Cause: err}
	}
	l.ln = ln
	go func() { _ = l.link.Serve(ln) }() // returns when the link is shut
	return nil
}

// shut refuses new connections, as the address of an ended process does.
func (l *faultLink) shut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil {
		_ = l.ln.Close()
		l.ln = nil
	}
}

func (f *fleet) closeLinks() {
	for _, l := range f.links {
		l.shut()
		l.link.Close()
	}
}
