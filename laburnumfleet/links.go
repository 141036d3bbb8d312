package laburnumfleet

import (
	"context"
	"fmt"
	"net"

	"laburnumlever"
	"laburnumlever/laburnumstandin"
)

// linkIPFormat makes the loopback address on which a VM listens behind its link. Each
// VM has its own, by which links recognize which VM a connection comes from. Systems
// other than Linux have only 127.0.0.1, so links are made only with WithLinks.
const linkIPFormat = "127.0.1.%d"

// vmLink is the link in front of the peers listener of one VM.
type vmLink struct {
	link     *laburnumstandin.Link
	listener net.Listener
	ip       string
}

// WithLinks puts a link in front of each VM's peers listener, so that zones can be
// cut off. It needs a system on which all of 127.0.0.0/8 is local, such as Linux.
func WithLinks() Option {
	return func(f *Fleet) { f.withLinks = true }
}

// peerAddresses returns, for each VM, the address it listens on and the address it
// advertises to the others. With links, the advertised address is the link's.
func (f *Fleet) peerAddresses(ctx context.Context) (listen, advertised []string, err error) {
	advertised, err = ReservePorts(ctx, len(f.spec.VMs))
	if err != nil || !f.withLinks {
		return advertised, advertised, err
	}
	for i, address := range advertised {
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			return nil, nil, &StartError{Part: "link", Cause: err}
		}
		ip := fmt.Sprintf(linkIPFormat, i+1)
		listen = append(listen, net.JoinHostPort(ip, port))
		if err := f.startLink(ctx, address, listen[i], ip); err != nil {
			return nil, nil, err
		}
	}
	return listen, advertised, nil
}

func (f *Fleet) startLink(ctx context.Context, address, target, ip string) error {
	var cfg net.ListenConfig
	ln, err := cfg.Listen(ctx, "tcp", address)
	if err != nil {
		return &StartError{Part: "link", Cause: err}
	}
	vl := &vmLink{link: laburnumstandin.NewLink(target), listener: ln, ip: ip}
	f.links = append(f.links, vl)
	go func() { _ = vl.link.Serve(ln) }()
	return nil
}

func (f *Fleet) closeLinks() {
	for _, vl := range f.links {
		_ = vl.listener.Close()
		vl.link.Close()
	}
}

// cutZone sets the mode of the links between the zone's VMs and all others, in both
// directions: LinkFrozen cuts the zone off, LinkOpen heals it.
func (f *Fleet) cutZone(zone laburnumlever.ZoneName, mode laburnumstandin.LinkMode) error {
	if len(f.links) == 0 {
		return &laburnumlever.InvalidValueError{Name: "action", Value: "cut-zone", Want: "a fleet with links"}
	}
	var inside, outside []string
	for i, spec := range f.spec.VMs {
		if spec.Zone == zone {
			inside = append(inside, f.links[i].ip)
		} else {
			outside = append(outside, f.links[i].ip)
		}
	}
	if len(inside) == 0 {
		return &laburnumlever.NotFoundError{Kind: "availability zone", Name: string(zone)}
	}
	for i, spec := range f.spec.VMs {
		from := inside
		if spec.Zone == zone {
			from = outside
		}
		f.links[i].link.Set(laburnumstandin.LinkState{Mode: mode, From: from})
	}
	return nil
}
