package laburnumsoak

import (
	"bufio"
	"context"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"laburnumlever/laburnumdiskfault"
)

const (
	// readyTimeout is how long a process may take to report that it is ready.
	readyTimeout = 20 * time.Second
	// exitTimeout is how long a process may take to exit after SIGTERM; it exceeds the grace.
	exitTimeout = 15 * time.Second
	// programName is argv[0] of the processes.
	programName = "laburnumlever"
)

// process is a program that is started repeatedly. It is used by one goroutine at a time.
type process struct {
	name string
	// older is the program of an earlier build that the process may be started from; empty for none.
	older string
	// runs is the program that it was last started from.
	runs string
	// service is that of a backend server; empty for a VM.
	service string
	program string
	folder  string
	// args returns the arguments of the next start.
	args func() []string
	// environment is added to that of this process.
	environment []string
	// processors, unless nil, are the only ones that it runs on.
	processors *processors
	// address is where it listens; empty for a VM.
	address string
	// onLine, if set, is called with each line of its standard output.
	onLine func(string)
	// disk injects faults into its data folder; nil if there is none.
	disk *laburnumdiskfault.Disk
	// link, if set, refuses connections while the process does not run.
	link *faultLink
	// onUnexpectedExit, if set, is called when a ready process exits without being stopped.
	onUnexpectedExit func(p *process)
	// onStopped, if set, is called when it has exited after a signal.
	onStopped func(sig syscall.Signal, asked time.Time)

	// running is the last start, for those that signal it while it may be started again.
	running atomic.Pointer[os.Process]

	cmd   *exec.Cmd
	ended chan struct{}
	// stopRequested is set before the process is stopped.
	stopRequested *atomic.Bool
}

// start runs the process and waits until it reports that it is ready.
func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return &StartError{Process: p.name, Cause: err}
	}
	cmd := p.command()
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	if err != nil {
		return &StartError{Process: p.name, Cause: err}
	}
	start := cmd.Start
	if p.disk != nil {
		start = func() error { return p.disk.Start(cmd) }
	}
	if p.processors != nil {
		unpinned := start
		start = func() error { return p.processors.start(unpinned) }
	}
	if err := start(); err != nil {
		return &StartError{Process: p.name, Cause: err}
	}
	p.running.Store(cmd.Process)
	p.cmd, p.ended, p.stopRequested = cmd, make(chan struct{}), &atomic.Bool{}
	ready := make(chan struct{})
	go p.follow(cmd, bufio.NewScanner(out), log, ready, p.ended, p.stopRequested)
	select {
	case <-ready:
		if p.link != nil {
			return p.link.open()
		}
		return nil
	case <-p.ended:
		return &StartError{Process: p.name, Cause: &NotReadyError{What: "the process is ready without exiting", Time: readyTimeout}}
	case <-time.After(readyTimeout):
		return &StartError{Process: p.name, Cause: &NotReadyError{What: "the process is ready", Time: readyTimeout}}
	}
}

// command builds the next start of the program, through the disk-fault launcher if it has a disk.
func (p *process) command() *exec.Cmd {
	p.runs = p.program
	if p.older != "" && rand.IntN(2) == 0 {
		p.runs = p.older
	}
	args := p.args() // those of the build that runs
	if p.disk != nil {
		args = append([]string{"stand-in", "disk", "--"}, args...)
	}
	cmd := exec.CommandContext(context.Background(), p.runs, args...) //nolint:gosec // the program that runs this
	cmd.Args[0] = programName
	cmd.Env = append(os.Environ(), p.environment...)
	return cmd
}

// follow copies the output of the process to its log and waits for it to exit.
func (p *process) follow(cmd *exec.Cmd, lines *bufio.Scanner, log *os.File, ready, ended chan struct{}, asked *atomic.Bool) {
	defer close(ended)
	defer func() { _ = log.Close() }()
	served := false
	for lines.Scan() {
		text := lines.Text()
		_, _ = log.WriteString(text + "\n")
		if strings.HasPrefix(text, "ready ") || strings.Contains(text, `"event":"started"`) {
			if !served {
				close(ready)
			}
			served = true
		}
		if p.onLine != nil {
			p.onLine(text)
		}
	}
	if p.link != nil {
		p.link.shut()
	}
	_ = cmd.Wait() // its log shows the reason
	if served && !asked.Load() && p.onUnexpectedExit != nil {
		p.onUnexpectedExit(p)
	}
}

// hasEnded reports whether the last start of the process has exited.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *process) signal(sig syscall.Signal) {
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig) // fails only if the process has exited
	}
}

// signalRunning is signal for goroutines that do not own the process.
func (p *process) signalRunning(sig syscall.Signal) {
	if running := p.running.Load(); running != nil {
		_ = running.Signal(sig) // as above
	}
}

// stop sends a signal and waits for the process to exit; after exitTimeout it is killed.
func (p *process) stop(sig syscall.Signal) {
	if p.cmd == nil {
		return
	}
	p.stopRequested.Store(true)
	asked := time.Now()
	p.signal(sig)
	select {
	case <-p.ended:
	case <-time.After(exitTimeout):
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
	p.cmd = nil
	if p.onStopped != nil {
		p.onStopped(sig, asked)
	}
}
