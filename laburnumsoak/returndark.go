package laburnumsoak

import (
	"context"
	"net"
	"syscall"
	"time"
)

// darkPort listens at an address and accepts nothing, so that connections to it hang as those to a VM without power.
type darkPort struct {
	fd      int
	fillers []net.Conn
}

// newDarkPort returns a dark port, or nil if the address is in use.
func newDarkPort(address string) *darkPort {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) // else the bind fails
	to := syscall.SockaddrInet4{Port: tcp.Port, Addr: [4]byte(tcp.IP.To4())}
	if syscall.Bind(fd, &to) != nil || syscall.Listen(fd, 0) != nil {
		_ = syscall.Close(fd)
		return nil
	}
	p := &darkPort{fd: fd}
	for range 2 { // the queue of a backlog of 0 takes one connection, and on some kernels another one
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
		if conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address); err == nil {
			p.fillers = append(p.fillers, conn)
		}
		cancel()
	}
	return p
}

// close frees the address. A process that is being started has a copy of the socket until it executes its program.
func (p *darkPort) close() {
	syscall.ForkLock.RLock()
	_ = syscall.Close(p.fd)
	syscall.ForkLock.RUnlock()
	for _, conn := range p.fillers {
		_ = conn.Close()
	}
}

// darken makes connections to VMs without a process hang, until the returned functions are called.
func (f *returnFleet) darken(vms []*returnVM) map[*returnVM]func() {
	lights := map[*returnVM]func(){}
	for _, vm := range vms {
		addresses := []string{f.address(vm.number, peerPort)}
		if vm.isControl {
			addresses = append(addresses, f.address(vm.number, controlPort))
		} else {
			addresses = append(addresses, f.address(vm.number, callerPort), f.address(vm.number, readyPort))
		}
		var ports []*darkPort
		for _, address := range addresses {
			if p := newDarkPort(address); p != nil {
				ports = append(ports, p)
			}
		}
		lights[vm] = func() {
			for _, p := range ports {
				p.close()
			}
		}
	}
	return lights
}
