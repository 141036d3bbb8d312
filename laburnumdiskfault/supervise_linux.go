package laburnumdiskfault

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// notification is a blocked system call of the program (struct seccomp_notif).
type notification struct {
	id     uint64
	thread uint32
	_      uint32
	number int32
	_      uint32
	_      uint64
	args   [6]uint64
}

// continueFlag lets the kernel execute the call (SECCOMP_USER_NOTIF_FLAG_CONTINUE).
const continueFlag = 1

// response is the answer to a notification (struct seccomp_notif_resp).
type response struct {
	id    uint64
	value int64
	errno int32
	flags uint32
}

func (n notification) continueCall() response { return response{id: n.id, flags: continueFlag} }

func (n notification) returnValue(value int) response { return response{id: n.id, value: int64(value)} }

func (n notification) failWith(errno unix.Errno) response {
	return response{id: n.id, errno: -int32(errno)}
} //nolint:gosec // small numbers

func (n notification) isSync() bool {
	return n.number == unix.SYS_FSYNC || n.number == unix.SYS_FDATASYNC
}

// Start starts a command that calls Launch, and supervises it until it exits. The error is that of
// the start or an *UnavailableError; the command is not running then.
func (d *Disk) Start(cmd *exec.Cmd) error {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return &UnavailableError{Step: "create a socket pair", Cause: err}
	}
	ours, theirs := pair[0], os.NewFile(uintptr(pair[1]), "launch")
	defer func() { _ = unix.Close(ours) }()
	cmd.ExtraFiles = []*os.File{theirs}
	err = cmd.Start()
	_ = theirs.Close()
	if err != nil {
		return err
	}
	listener, err := receive(ours)
	if err != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		return err
	}
	s := &supervisor{disk: d, pid: cmd.Process.Pid, listener: listener, ended: make(chan struct{})}
	go s.run()
	return nil
}

// receive receives the listener from the launcher. It fails if the launcher exits without sending
// it, since that closes the socket.
func receive(socket int) (int, error) {
	one, control := make([]byte, 1), make([]byte, unix.CmsgSpace(int(unsafe.Sizeof(int32(0)))))
	_, n, _, _, err := unix.Recvmsg(socket, one, control, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return 0, &UnavailableError{Step: "receive the listener", Cause: err}
	}
	messages, err := unix.ParseSocketControlMessage(control[:n])
	if err != nil || len(messages) == 0 {
		return 0, &UnavailableError{Step: "receive the listener", Cause: unix.EPIPE}
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) == 0 {
		return 0, &UnavailableError{Step: "receive the listener", Cause: unix.EPIPE}
	}
	return fds[0], nil
}

// supervisor answers the notifications of one process.
type supervisor struct {
	disk     *Disk
	pid      int
	listener int
	// ended is closed when the process has exited.
	ended chan struct{}
	wg    sync.WaitGroup
}

func (s *supervisor) run() {
	defer func() {
		close(s.ended)
		s.wg.Wait()
		_ = unix.Close(s.listener)
	}()
	for {
		fds := []unix.PollFd{{Fd: int32(s.listener), Events: unix.POLLIN}} //nolint:gosec // a descriptor
		if _, err := unix.Poll(fds, -1); err != nil {
			if err == unix.EINTR {
				continue
			}
			return
		}
		if fds[0].Revents&unix.POLLIN == 0 {
			return
		}
		var n notification
		if errno := s.ioctl(unix.SECCOMP_IOCTL_NOTIF_RECV, unsafe.Pointer(&n)); errno != 0 {
			continue // the call was interrupted meanwhile
		}
		if state, _ := s.disk.current(); state.Mode == Healthy {
			s.respond(n.continueCall())
			continue
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.respond(s.decide(n))
		}()
	}
}

func (s *supervisor) ioctl(request uint, arg unsafe.Pointer) unix.Errno {
	_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(s.listener), uintptr(request), uintptr(arg))
	return errno
}

// respond sends a response. It fails only if the process was killed meanwhile, which is ignored.
func (s *supervisor) respond(v response) {
	_ = s.ioctl(unix.SECCOMP_IOCTL_NOTIF_SEND, unsafe.Pointer(&v))
}

// decide blocks or delays the call as the disk's state demands, and returns the response.
func (s *supervisor) decide(n notification) response {
	path, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", s.pid, n.args[0]))
	if err != nil || !s.disk.contains(path) {
		return n.continueCall()
	}
	state := s.awaitNotStalled()
	switch {
	case state.Mode == Slow && n.isSync():
		select {
		case <-time.After(state.Delay):
		case <-s.ended:
		}
	case state.Mode == Full && !n.isSync():
		return s.shortWrite(n)
	case state.Mode == Failing && n.isSync():
		return n.failWith(unix.EIO)
	}
	return n.continueCall()
}

// awaitNotStalled waits until the disk isn't stalled or the process has exited.
func (s *supervisor) awaitNotStalled() State {
	for {
		state, changed := s.disk.current()
		if state.Mode != Stalled {
			return state
		}
		select {
		case <-changed:
		case <-s.ended:
			return State{}
		}
	}
}

// shortWrite acts like a disk that fills up during a write: it performs the first half of the write
// on the program's own descriptor and returns its length. The program then writes the rest, which is
// halved again, until a write of a single byte fails with ENOSPC. Calls other than write fail at
// once.
func (s *supervisor) shortWrite(n notification) response {
	half := int(n.args[2]) / 2 //nolint:gosec // a length
	if half == 0 || n.number != unix.SYS_WRITE {
		return n.failWith(unix.ENOSPC)
	}
	done, err := s.writeFor(n, half)
	if err != nil || done <= 0 {
		return n.failWith(unix.ENOSPC)
	}
	return n.returnValue(done)
}

// writeFor performs the first size bytes of a write on behalf of the program.
func (s *supervisor) writeFor(n notification, size int) (int, error) {
	process, err := unix.PidfdOpen(s.pid, 0)
	if err != nil {
		return 0, err
	}
	defer func() { _ = unix.Close(process) }()
	file, err := unix.PidfdGetfd(process, int(n.args[0]), 0) //nolint:gosec // a descriptor
	if err != nil {
		return 0, err
	}
	defer func() { _ = unix.Close(file) }()
	data := make([]byte, size)
	local := []unix.Iovec{{Base: &data[0]}}
	local[0].SetLen(size)
	remote := []unix.RemoteIovec{{Base: uintptr(n.args[1]), Len: size}}
	got, err := unix.ProcessVMReadv(s.pid, local, remote, 0)
	if err != nil {
		return 0, err
	}
	return unix.Write(file, data[:got])
}
