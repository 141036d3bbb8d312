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
	// leastGap and mostGap are between two faults: shorter than most faults last, so that
	// they overlap.
	leastGap, mostGap = 200 * time.Millisecond, 1500 * time.Millisecond
	// mostDown is how long a process is away or stopped at most: longer than the lease's
	// term and than the silence after which a voter is replaced.
	mostDown = 4 * time.Second
	// restartPause is between two starts of a process whose disk is disturbed.
	restartPause = 300 * time.Millisecond
	// leastDelay and mostDelay are added each way by a slow link: up to what callers' targets
	// bear, so that answers come late and not never.
	leastDelay, mostDelay = 20 * time.Millisecond, 300 * time.Millisecond
)

// faultKind is what happens to a process.
type faultKind int

const (
	kill faultKind = iota
	pause
	ask
	wipe
	// The others are faults of the link to a process.
	silence
	silenceTo
	silenceFrom
	resets
	delays
	// The last are faults of the disk below a control VM.
	stall
	slowSyncs
	fullDisk
	failedSyncs
	// rewind puts back an older copy of a control VM's data folder.
	rewind
	kinds
)

func (k faultKind) String() string {
	return [...]string{
		"kill", "stop", "term", "kill and wipe",
		"silence the link to", "silence towards", "silence from", "reset the link to", "delay the link to",
		"stall the disk of", "slow syncs of", "fill the disk of", "fail syncs of", "kill and rewind",
	}[k]
}

// faults disturbs the processes of a fleet as a seed says.
type faults struct {
	fleet  *fleet
	random *rand.Rand
	start  time.Time
	wg     sync.WaitGroup

	mu      sync.Mutex
	busy    map[*process]bool
	bent    map[*linkPoint]bool
	ill     map[*process]bool
	wiped   bool
	story   []string
	problem error
}

func newFaults(f *fleet, seed uint64) *faults {
	return &faults{fleet: f, random: rand.New(rand.NewPCG(seed, seed)), start: time.Now(), busy: map[*process]bool{}, bent: map[*linkPoint]bool{}, ill: map[*process]bool{}} //nolint:gosec // repeatable
}

// run disturbs until ctx ends, then waits until all processes are back.
func (x *faults) run(ctx context.Context) {
	all := x.fleet.all()
	for {
		n, kind := x.random.IntN(len(all)), faultKind(x.random.IntN(int(kinds)))
		down := time.Duration(x.random.Int64N(int64(mostDown)))
		gap := leastGap + time.Duration(x.random.Int64N(int64(mostGap-leastGap)))
		delay := leastDelay + time.Duration(x.random.Int64N(int64(mostDelay-leastDelay)))
		if kind == rewind {
			n %= controlVMs // the first of all
		}
		switch {
		case kind >= stall && kind < rewind:
			x.disturbDisk(x.fleet.controls[n%controlVMs], kind, down, delay)
		case kind >= silence && kind < stall:
			x.disturbLink(x.fleet.links[n], kind, down, delay)
		case x.take(all[n], &kind):
			x.wg.Add(1)
			go x.disturb(all[n], kind, down)
		}
		select {
		case <-ctx.Done():
			x.wg.Wait()
			return
		case <-time.After(gap):
		}
	}
}

// disturbLink does a fault of a link, and undoes it on its own. One that is disturbed
// already is left as it is.
func (x *faults) disturbLink(l *linkPoint, kind faultKind, down, delay time.Duration) {
	state := laburnumstandin.LinkState{}
	switch kind {
	case silence:
		state.Mode = laburnumstandin.LinkFrozen
	case silenceTo:
		state.Mode = laburnumstandin.LinkFrozenTo
	case silenceFrom:
		state.Mode = laburnumstandin.LinkFrozenFrom
	case resets:
		state.Mode = laburnumstandin.LinkCut
	default:
		state.Delay = laburnumlever.Duration(delay)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.bent[l] {
		return
	}
	x.bent[l] = true
	x.tell(kind, l.name)
	l.link.Set(state)
	x.wg.Add(1)
	go func() {
		defer x.wg.Done()
		time.Sleep(down)
		x.mu.Lock()
		defer x.mu.Unlock()
		l.link.Set(laburnumstandin.LinkState{})
		delete(x.bent, l)
	}()
}

// disturbDisk does a fault of a control VM's disk, and undoes it on its own. The program goes on
// or ends by itself, and is killed and started again by other faults meanwhile.
func (x *faults) disturbDisk(p *process, kind faultKind, down, delay time.Duration) {
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
	if x.ill[p] || p.disk == nil {
		return
	}
	x.ill[p] = true
	x.tell(kind, p.name)
	p.disk.Set(state)
	x.wg.Add(1)
	go func() {
		defer x.wg.Done()
		time.Sleep(down)
		x.mu.Lock()
		defer x.mu.Unlock()
		p.disk.Set(laburnumdiskfault.State{})
		delete(x.ill, p)
	}()
}

// tell notes a fault in the story; mu is held.
func (x *faults) tell(kind faultKind, name string) {
	x.story = append(x.story, fmt.Sprintf("%.1f s %s %s", time.Since(x.start).Seconds(), kind, name))
}

// take reserves a process for a fault. One disk is lost or goes back in a run: the system bears the loss
// of one at a time, and when it has caught up shows only inside.
func (x *faults) take(p *process, kind *faultKind) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.busy[p] {
		return false
	}
	isControl := false
	for _, c := range x.fleet.controls {
		isControl = isControl || c == p
	}
	loses := *kind == wipe || *kind == rewind
	if loses && (x.wiped || !isControl) {
		*kind, loses = kill, false
	}
	x.wiped = x.wiped || loses
	x.busy[p] = true
	x.tell(*kind, p.name)
	return true
}

// disturb does a fault and undoes it.
func (x *faults) disturb(p *process, kind faultKind, down time.Duration) {
	defer x.wg.Done()
	switch kind {
	case pause:
		p.signal(syscall.SIGSTOP)
		time.Sleep(down)
		p.signal(syscall.SIGCONT)
		x.done(p, nil)
		return
	case ask:
		p.end(syscall.SIGTERM)
	case wipe:
		p.end(syscall.SIGKILL)
		if err := os.RemoveAll(x.fleet.dataFolder(p.name)); err != nil {
			x.done(p, err)
			return
		}
	case rewind:
		if err := x.rewind(p, down); err != nil {
			x.done(p, err)
			return
		}
	default:
		p.end(syscall.SIGKILL)
	}
	time.Sleep(down / 2)
	x.done(p, x.restart(p))
}

// rewind copies a process's data folder, has it run on for a while, and kills it with the copy in
// the folder's place.
func (x *faults) rewind(p *process, runs time.Duration) error {
	folder := x.fleet.dataFolder(p.name)
	older := folder + "-older"
	p.end(syscall.SIGKILL)
	if err := os.CopyFS(older, os.DirFS(folder)); err != nil {
		return err
	}
	if err := x.restart(p); err != nil {
		return err
	}
	time.Sleep(runs)
	p.end(syscall.SIGKILL)
	if err := os.RemoveAll(folder); err != nil {
		return err
	}
	return os.Rename(older, folder)
}

// restart starts a process, as a service manager does: again after a while if its disk was
// disturbed meanwhile. A control VM that can't read or write its data folder ends with an error.
func (x *faults) restart(p *process) error {
	for {
		before := x.isIll(p)
		err := p.start()
		if err == nil || !before && !x.isIll(p) {
			return err
		}
		time.Sleep(restartPause)
	}
}

func (x *faults) isIll(p *process) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ill[p]
}

func (x *faults) done(p *process, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.busy, p)
	if err != nil && x.problem == nil {
		x.problem = err
	}
}
