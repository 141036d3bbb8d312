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
	// minGap and mostGap are between two faults: shorter than most faults last, so that
	// they overlap.
	minGap, mostGap = 200 * time.Millisecond, 1500 * time.Millisecond
	// maxDown is how long a process is away or stopped at most: longer than the lease's
	// term and than the silence after which a voter is replaced.
	maxDown = 4 * time.Second
	// restartPause is between two starts of a process whose disk is disturbed.
	restartPause = 300 * time.Millisecond
	// minDelay and mostDelay are added each way by a slow link: up to what callers' targets
	// bear, so that answers come late and not never.
	minDelay, mostDelay = 20 * time.Millisecond, 300 * time.Millisecond
)

// faultKind is what happens to a process.
type faultKind int

const (
	kill faultKind = iota
	pause
	terminate
	wipe
	// The others are faults of the link to a process.
	freezeLink
	freezeLinkTo
	freezeLinkFrom
	resetLink
	delayLink
	// The last are faults of the disk below a control VM.
	stallDisk
	slowSyncs
	fullDisk
	failedSyncs
	// rewind puts back an older copy of a control VM's data folder.
	rewind
	kindCount
)

func (k faultKind) String() string {
	return [...]string{
		"kill", "stop", "term", "kill and wipe",
		"silence the link to", "silence towards", "silence from", "reset the link to", "delay the link to",
		"stall the disk of", "slow syncs of", "fill the disk of", "fail syncs of", "kill and rewind",
	}[k]
}

// faultInjector disturbs the processes of a fleet as a seed says.
type faultInjector struct {
	fleet  *fleet
	random *rand.Rand
	start  time.Time
	wg     sync.WaitGroup

	mu      sync.Mutex
	busyProcesses    map[*process]bool
	faultyLinks    map[*faultLink]bool
	faultyDisks     map[*process]bool
	dataLost   bool
	history   []string
	firstErr error
}

func newFaultInjector(f *fleet, seed uint64) *faultInjector {
	return &faultInjector{fleet: f, random: rand.New(rand.NewPCG(seed, seed)), start: time.Now(), busyProcesses: map[*process]bool{}, faultyLinks: map[*faultLink]bool{}, faultyDisks: map[*process]bool{}} //nolint:gosec // repeatable
}

// run disturbs until ctx ends, then waits until all processes are back.
func (x *faultInjector) run(ctx context.Context) {
	all := x.fleet.all()
	for {
		n, kind := x.random.IntN(len(all)), faultKind(x.random.IntN(int(kindCount)))
		down := time.Duration(x.random.Int64N(int64(maxDown)))
		gap := minGap + time.Duration(x.random.Int64N(int64(mostGap-minGap)))
		delay := minDelay + time.Duration(x.random.Int64N(int64(mostDelay-minDelay)))
		if kind == rewind {
			n %= controlVMs // the first of all
		}
		switch {
		case kind >= stallDisk && kind < rewind:
			x.injectDiskFault(x.fleet.controls[n%controlVMs], kind, down, delay)
		case kind >= freezeLink && kind < stallDisk:
			x.injectLinkFault(x.fleet.links[n], kind, down, delay)
		case x.reserve(all[n], &kind):
			x.wg.Add(1)
			go x.injectProcessFault(all[n], kind, down)
		}
		select {
		case <-ctx.Done():
			x.wg.Wait()
			return
		case <-time.After(gap):
		}
	}
}

// injectLinkFault does a fault of a link, and undoes it on its own. One that is disturbed
// already is left as it is.
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
	x.wg.Add(1)
	go func() {
		defer x.wg.Done()
		time.Sleep(down)
		x.mu.Lock()
		defer x.mu.Unlock()
		l.link.Set(laburnumstandin.LinkState{})
		delete(x.faultyLinks, l)
	}()
}

// injectDiskFault does a fault of a control VM's disk, and undoes it on its own. The program goes on
// or ends by itself, and is killed and started again by other faults meanwhile.
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

// logFault notes a fault in the story; mu is held.
func (x *faultInjector) logFault(kind faultKind, name string) {
	x.history = append(x.history, fmt.Sprintf("%.1f s %s %s", time.Since(x.start).Seconds(), kind, name))
}

// reserve reserves a process for a fault. One disk is lost or goes back in a run: the system bears the loss
// of one at a time, and when it has caught up shows only inside.
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
	x.logFault(*kind, p.name)
	return true
}

// injectProcessFault does a fault and undoes it.
func (x *faultInjector) injectProcessFault(p *process, kind faultKind, down time.Duration) {
	defer x.wg.Done()
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

// rewind copies a process's data folder, has it run on for a while, and kills it with the copy in
// the folder's place.
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

// restart starts a process, as a service manager does: again after a while if its disk was
// disturbed meanwhile. A control VM that can't read or write its data folder ends with an error.
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
	if err != nil && x.firstErr == nil {
		x.firstErr = err
	}
}
