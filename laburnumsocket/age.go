package laburnumsocket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxAge bounds what is taken for an age. Connections without a time of their last bytes have one since the machine's start.
const maxAge = time.Minute

// SinceReceived returns how long ago the last bytes arrived on a connection: how long, at least, what has just been read waited in the
// kernel. It is 0 where that is not known.
func SinceReceived(conn any) time.Duration {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	var since time.Duration
	_ = raw.Control(func(fd uintptr) { // fails on a closed connection only
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if since > maxAge {
		return 0
	}
	return since
}
