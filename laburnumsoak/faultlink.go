package laburnumsoak

import (
	"context"
	"net"

	"laburnumlever/laburnumstandin"
)

// faultLink is the proxy in front of one process: in front of a VM for its peers, in front of a
// backend server for gateways and for the director's orders.
type faultLink struct {
	name    string
	address string
	link    *laburnumstandin.Link
}

func (f *fleet) addLink(name, address, target string) {
	f.links = append(f.links, &faultLink{name: name, address: address, link: laburnumstandin.NewLink(target)})
}

// open listens and forwards connections until the link is closed.
func (l *faultLink) open() error {
	var cfg net.ListenConfig
	ln, err := cfg.Listen(context.Background(), "tcp", l.address)
	if err != nil {
		return &StartError{Process: "link to " + l.name, Cause: err}
	}
	go func() { _ = l.link.Serve(ln) }() // returns when the link is closed
	return nil
}

func (f *fleet) closeLinks() {
	for _, l := range f.links {
		l.link.Close()
	}
}
