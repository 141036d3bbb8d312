package laburnumstandin

import (
	"fmt"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ClosedPort is the address of a server that has crashed: it refuses connections. Unlike a port that was closed, no
// other process gets it.
type ClosedPort struct {
	fd      int
	address string
}

// NewClosedPort takes a port of the loopback interface. Listening on its address is possible later. Errors: *ClosedPortError.
func NewClosedPort() (*ClosedPort, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, &ClosedPortError{Step: "open a socket", Cause: err}
	}
	p := &ClosedPort{fd: fd}
	if err := p.bind(); err != nil {
		return nil, &ClosedPortError{Step: "bind a socket", Cause: errors.CombineErrors(err, p.Close())}
	}
	return p, nil
}

func (p *ClosedPort) bind() error {
	// net.Listen sets the option as well; a port is shared only if both do and neither socket listens yet.
	if err := unix.SetsockoptInt(p.fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := unix.Bind(p.fd, &unix.SockaddrInet4{Addr: netip.MustParseAddr("127.0.0.1").As4()}); err != nil {
		return err
	}
	name, err := unix.Getsockname(p.fd)
	if err != nil {
		return err
	}
	bound, ok := name.(*unix.SockaddrInet4)
	if !ok {
		return &net.AddrError{Err: "unexpected address type", Addr: fmt.Sprintf("%T", name)}
	}
	p.address = netip.AddrPortFrom(netip.AddrFrom4(bound.Addr), uint16(bound.Port)).String()
	return nil
}

// Address returns the address that refuses connections.
func (p *ClosedPort) Address() string { return p.address }

// Close gives the port up.
func (p *ClosedPort) Close() error { return unix.Close(p.fd) }
