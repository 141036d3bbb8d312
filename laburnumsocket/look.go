package laburnumsocket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

//go:generate go tool -modfile=../tools/go.mod enumer -type=State -transform=kebab -output=state_gen.go

// State is what a socket holds.
type State int

// The states of a socket.
const (
	// Quiet is an open connection without bytes to read, or one whose socket can't be looked at.
	Quiet State = iota
	// Readable is an open connection with bytes to read.
	Readable
	// Closed is a connection that the other side has closed, at least for writing, or reset, or that is closed on this side.
	Closed
)

// Look returns the state of a connection: a net.Conn that is a syscall.Conn, or anything else, which counts as quiet.
func Look(conn any) State {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Quiet
	if err := raw.Control(func(fd uintptr) { state = look(int(fd)) }); err != nil {
		return Closed
	}
	return state
}

// Unread reports whether a connection has bytes to read, even if it has been closed after them. One whose socket can't be looked at
// has none.
func Unread(conn any) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	_ = raw.Control(func(fd uintptr) { // fails on a closed connection only
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}

func look(fd int) State {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return Quiet
	case err != nil || n == 0:
		return Closed
	case closedBehindBytes(fd):
		return Closed
	default:
		return Readable
	}
}

// closedBehindBytes reports whether a connection has been closed after bytes that have not been read.
func closedBehindBytes(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}} //nolint:gosec // descriptors are small
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
