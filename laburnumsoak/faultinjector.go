package laburnumsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumdiskfault"
	"laburnumlever/laburnumstandin"
)

const (
	// minGap and maxGap bound the time between two faults. They are shorter than most faults
	// last, so that faults overlap.
	minGap, maxGap = 200 * time.Millisecond, 1500 * time.Millisecond
	// maxDown is the longest time that a process is down or paused and that a link or disk is
	// faulty. It exceeds the lease term and the time after which a silent voter is replaced.
	maxDown = 4 * time.Second
	// restartPause is the time between two attempts to start a process whose disk is faulty.
	restartPause = 300 * time.Millisecond
	// minDelay and maxDelay bound the delay that a slow link adds in each direction. They stay
	// within callers' latency targets, so that answers are late rather than lost.
	minDelay, maxDelay = 20 * time.Millisecond, 300 * time.Millisecond
)

// faultKind is a kind of fault.
type faultKind int

const (
	kill faultKind = iota
	pause
	terminate
	wipe
	// Faults of the link to a process.
	freezeLink
	freezeLinkTo
	freezeLinkFrom
	resetLink
	delayLink
	// Faults of the disk of a control VM.
	stallDisk
	slowSyncs
	fullDisk
	failedSyncs
	// rewind kills a control VM and restores an older copy of its data folder.
	rewind
	// nameLimit has a backend server name a limit.
	nameLimit
	// nameBrittle has a backend server be brittle.
	nameBrittle
	// loseLinks has a gateway lose its links to all backend servers, or to those of one service.
	loseLinks
	kindCount
)

func (k faultKind) String() string {
	return [...]string{
		"kill", "stop", "term", "kill and wipe",
		"silence the link to", "silence towards", "silence from", "reset the link to", "delay the link to",
		"stall the disk of", "slow syncs of", "fill the disk of", "fail syncs of", "kill and rewind", "name a limit at", "name brittleness at", "lose the server links of",
	}[k]
}

// faultInjector injects faults into the processes of a fleet, in a sequence given by a seed.
type faultInjector struct {
	fleet  *fleet
	random *rand.Rand
	start  time.Time
	wg     sync.WaitGroup
	// crashes are the restarts of backend servers that have crashed.
	crashes sync.WaitGroup

	mu            sync.Mutex
	closed        bool
	busyProcesses map[*process]bool
	// paused are the processes that a fault has paused or is about to pause.
	paused      map[*process]bool
	faultyLinks map[*faultLink]bool
	faultyDisks map[*process]bool
	// limitedServers are the backend servers that name a limit.
	limitedServers map[*process]bool
	dataLost       bool
	history        []string
	firstErr       error
}

func newFaultInjector(f *fleet, seed uint64) *faultInjector {
	return &faultInjector{fleet: f, random: rand.New(rand.NewPCG(seed, seed)), start: time.Now(), busyProcesses: map[*process]bool{}, paused: map[*process]bool{}, faultyLinks: map[*faultLink]bool{}, faultyDisks: map[*process]bool{}, limitedServers: map[*process]bool{}} //nolint:gosec // repeatable
}

// run injects faults until ctx ends, then waits until all of them are undone.
func (x *faultInjector) run(ctx context.Context) {
	all := x.fleet.injected()
	for {
		n, kind := x.random.IntN(len(all)), faultKind(x.random.IntN(int(kindCount)))
		down := time.Duration(x.random.Int64N(int64(maxDown)))
		gap := minGap + time.Duration(x.random.Int64N(int64(maxGap-minGap)))
		delay := minDelay + time.Duration(x.random.Int64N(int64(maxDelay-minDelay)))
		if kind == rewind {
			n %= controlVMs // control VMs are listed first
		}
		x.inject(kind, n, down, delay)
		select {
		case <-ctx.Done():
			x.wg.Wait()
			return
		case <-time.After(gap):
		}
	}
}

// inject injects a fault into the process, link or backend server with the number, unless it has one already.
func (x *faultInjector) inject(kind faultKind, n int, down, delay time.Duration) {
	all := x.fleet.injected()
	switch {
	case kind == loseLinks:
		x.injectLostLinks(n%gatewayVMs, x.fleet.lostLinks(uint64(n)), lostModes[n%len(lostModes)], down) //nolint:gosec // not negative
	case kind == nameBrittle:
		x.injectBrittle(x.fleet.servers[n%len(x.fleet.servers)], down)
	case kind == nameLimit:
		x.injectLimit(x.fleet.servers[n%len(x.fleet.servers)], kind, down)
	case kind >= stallDisk && kind < rewind:
		x.injectDiskFault(x.fleet.controls[n%controlVMs], kind, down, delay)
	case kind >= freezeLink && kind < stallDisk:
		x.injectLinkFault(x.fleet.links[n], kind, down, delay)
	case x.reserve(all[n], &kind):
		x.wg.Add(1)
		go x.injectProcessFault(all[n], kind, down)
	}
}

// injectLinkFault injects a fault into a link and undoes it after down. A link that already has
// a fault is skipped.
func (x *faultInjector) injectLinkFault(l *faultLink, kind faultKind, down, delay time.Duration) {
	state := laburnumstandin.LinkState{}
	switch kind {
	case freezeLink:
		state.Mode = laburnumstandin.LinkFrozen
	case freezeLinkTo:
		state.Mode = laburnumstandin.LinkFrozenTo
	case freezeLinkFrom:
		state.Mode = laburnumstandin.LinkFrozenFrom
	case resetLink:
		state.Mode = laburnumstandin.LinkCut
	default:
		state.Delay = laburnumlever.Duration(delay)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.faultyLinks[l] {
		return
	}
	x.faultyLinks[l] = true
	x.logFault(kind, l.name)
	l.link.Set(state)
	ended := x.fleet.disturb(l.name)
	x.wg.Add(1)
	go func() {
		defer x.wg.Done()
		time.Sleep(down)
		ended()
		x.mu.Lock()
		defer x.mu.Unlock()
		l.link.Set(laburnumstandin.LinkState{})
		delete(x.faultyLinks, l)
	}()
}

// injectDiskFault injects a fault into a control VM's disk and undoes it after down. The program
// may keep running or exit because of it, and other faults may kill and restart it meanwhile.
func (x *faultInjector) injectDiskFault(p *process, kind faultKind, down, delay time.Duration) {
	state := laburnumdiskfault.State{Mode: laburnumdiskfault.Stalled}
	switch kind {
	case slowSyncs:
		state = laburnumdiskfault.State{Mode: laburnumdiskfault.Slow, Delay: delay}
	case fullDisk:
		state.Mode = laburnumdiskfault.Full
	case failedSyncs:
		state.Mode = laburnumdiskfault.Failing
	default:
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.faultyDisks[p] || p.disk == nil {
		return
	}
	x.faultyDisks[p] = true
	x.logFault(kind, p.name)
	p.disk.Set(state)
	x.wg.Add(1)
	go func() {
		defer x.wg.Done()
		time.Sleep(down)
		x.mu.Lock()
		defer x.mu.Unlock()
		p.disk.Set(laburnumdiskfault.State{})
		delete(x.faultyDisks, p)
	}()
}

// logFault appends a fault to the history; mu is held.
func (x *faultInjector) logFault(kind faultKind, name string) {
	x.history = append(x.history, fmt.Sprintf("%.1f s %s %s", time.Since(x.start).Seconds(), kind, name))
}

// reserve marks a process as busy with a fault and reports whether it was free. At most one data
// folder is wiped or rewound in a run, later ones become kill: the system tolerates one such loss
// at a time, and whether the voter has caught up is not visible from outside.
func (x *faultInjector) reserve(p *process, kind *faultKind) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.busyProcesses[p] {
		return false
	}
	isControl := false
	for _, c := range x.fleet.controls {
		isControl = isControl || c == p
	}
	loses := *kind == wipe || *kind == rewind
	if loses && (x.dataLost || !isControl) {
		*kind, loses = kill, false
	}
	x.dataLost = x.dataLost || loses
	x.busyProcesses[p] = true
	x.paused[p] = *kind == pause
	x.logFault(*kind, p.name)
	return true
}

// injectProcessFault injects a fault into a reserved process, undoes it and releases the process.
func (x *faultInjector) injectProcessFault(p *process, kind faultKind, down time.Duration) {
	defer x.wg.Done()
	defer x.fleet.disturb(p.name)()
	switch kind {
	case pause:
		p.signal(syscall.SIGSTOP)
		time.Sleep(down)
		p.signal(syscall.SIGCONT)
		x.release(p, nil)
		return
	case terminate:
		p.stop(syscall.SIGTERM)
	case wipe:
		p.stop(syscall.SIGKILL)
		if err := os.RemoveAll(x.fleet.dataFolder(p.name)); err != nil {
			x.release(p, err)
			return
		}
	case rewind:
		if err := x.rewind(p, down); err != nil {
			x.release(p, err)
			return
		}
	default:
		p.stop(syscall.SIGKILL)
	}
	time.Sleep(down / 2)
	x.release(p, x.restart(p))
}

// rewind copies a process's data folder, lets the process run for a while, kills it and replaces
// the folder with the copy.
func (x *faultInjector) rewind(p *process, runs time.Duration) error {
	folder := x.fleet.dataFolder(p.name)
	older := folder + "-older"
	p.stop(syscall.SIGKILL)
	if err := os.CopyFS(older, os.DirFS(folder)); err != nil {
		return err
	}
	if err := x.restart(p); err != nil {
		return err
	}
	time.Sleep(runs)
	p.stop(syscall.SIGKILL)
	if err := os.RemoveAll(folder); err != nil {
		return err
	}
	return os.Rename(older, folder)
}

// restart starts a process and, as a service manager does, retries while its disk is faulty: a
// control VM that can't read or write its data folder exits with an error.
func (x *faultInjector) restart(p *process) error {
	for {
		before := x.hasDiskFault(p)
		err := p.start()
		if err == nil || !before && !x.hasDiskFault(p) {
			return err
		}
		time.Sleep(restartPause)
	}
}

func (x *faultInjector) hasDiskFault(p *process) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.faultyDisks[p]
}

func (x *faultInjector) release(p *process, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.busyProcesses, p)
	delete(x.paused, p)
	if err != nil && x.firstErr == nil {
		x.firstErr = err
	}
}

// upgrade restarts all VMs that run the older build, one after the other.
func (x *faultInjector) upgrade() error {
	for _, p := range append(x.fleet.controls[:len(x.fleet.controls):len(x.fleet.controls)], x.fleet.gateways...) {
		p.older = ""
		if p.runs == p.program {
			continue
		}
		p.stop(syscall.SIGTERM)
		if err := x.restart(p); err != nil {
			return err
		}
	}
	return nil
}
