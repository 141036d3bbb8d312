package laburnumdiskfault

import (
	"os"
	"runtime"
	"unsafe"

	"golang.org/x/sys/unix"
)

// launchFD is the launcher's end of the socket over which it sends the seccomp listener.
const launchFD = 3

// Offsets of the system call's number and architecture in struct seccomp_data.
const (
	syscallNumberOffset = 0
	archOffset          = 4
)

// Launch executes the program in place of the current process, with its syncs and writes reported
// to the process that called Disk.Start. It returns only on an error: an *UnavailableError or that
// of the exec.
func Launch(program string, args []string) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return &UnavailableError{Step: "set no_new_privs", Cause: err}
	}
	listener, err := installFilter()
	if err != nil {
		return err
	}
	if err := unix.Sendmsg(launchFD, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return &UnavailableError{Step: "send the listener", Cause: err}
	}
	unix.CloseOnExec(launchFD)
	return unix.Exec(program, args, os.Environ())
}

// installFilter installs a filter that reports syncs and writes of this thread, and of the program
// it executes, to the returned listener.
func installFilter() (int, error) {
	arch, ok := map[string]uint32{"amd64": unix.AUDIT_ARCH_X86_64, "arm64": unix.AUDIT_ARCH_AARCH64}[runtime.GOARCH]
	if !ok {
		return 0, &UnavailableError{Step: "look up the architecture " + runtime.GOARCH, Cause: unix.ENOTSUP}
	}
	calls := []uint32{unix.SYS_FSYNC, unix.SYS_FDATASYNC, unix.SYS_WRITE, unix.SYS_PWRITE64}
	program := filter(arch, calls)
	prog := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]} //nolint:gosec // a few instructions
	const flags = unix.SECCOMP_FILTER_FLAG_NEW_LISTENER | unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags, uintptr(unsafe.Pointer(&prog)))
	runtime.KeepAlive(program)
	if errno != 0 {
		return 0, &UnavailableError{Step: "install the filter", Cause: errno}
	}
	return int(fd), nil
}

// filter returns the BPF program that reports the given calls and allows all others.
func filter(arch uint32, calls []uint32) []unix.SockFilter {
	n := uint8(len(calls)) //nolint:gosec // a few calls
	load := func(offset uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
	}
	list := []unix.SockFilter{
		load(archOffset),
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: n + 1, K: arch},
		load(syscallNumberOffset),
	}
	for i, call := range calls {
		list = append(list, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: n - uint8(i), K: call}) //nolint:gosec // a few calls
	}
	return append(list,
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW},
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_USER_NOTIF})
}
