package laburnumsoak

import (
	"context"
	"net"

	"laburnumlever/laburnumstandin"
)

// faultLink is a link on the way to one process: to a VM for the other VMs, to a backend
// server for gateways and orders.
type faultLink struct {
	name    string
	address string
	link    *laburnumstandin.Link
}

func (f *fleet) addLink(name, address, target string) {
	f.links = append(f.links, &faultLink{name: name, address: address, link: laburnumstandin.NewLink(target)})
}

// open lets connections through until close.
func (l *faultLink) open() error {
	var cfg net.ListenConfig
	ln, err := cfg.Listen(context.Background(), "tcp", l.address)
	if err != nil {
		return &StartError{Process: "link to " + l.name, Cause: err}
	}
	go func() { _ = l.link.Serve(ln) }() // it ends with the link
	return nil
}

func (f *fleet) closeLinks() {
	for _, l := range f.links {
		l.link.Close()
	}
}
