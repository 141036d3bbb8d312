package laburnumdiskfault

import (
	"path/filepath"
	"strings"
	"sync"
	"time"
)

//go:generate go tool -modfile=../tools/go.mod enumer -type=Mode -transform=kebab -output=mode_gen.go

// Mode is how a disk behaves.
type Mode int

// The modes of a disk.
const (
	// Healthy injects no faults.
	Healthy Mode = iota
	// Stalled blocks syncs and writes until the mode changes.
	Stalled
	// Slow adds State.Delay to each sync.
	Slow
	// Full performs half of each write, and fails a write of a single byte with ENOSPC.
	Full
	// Failing fails syncs with EIO, without regard to what has reached the disk.
	Failing
)

// State is a mode and, for Slow, its delay.
type State struct {
	Mode  Mode
	Delay time.Duration
}

// Disk injects faults into the data folder of one program at a time. It is safe for concurrent
// use.
type Disk struct {
	folder string

	mu      sync.Mutex
	state   State
	changed chan struct{}
}

// New returns a healthy disk for a data folder.
func New(folder string) *Disk {
	if whole, err := filepath.Abs(folder); err == nil { // the kernel reports absolute paths
		folder = whole
	}
	return &Disk{folder: filepath.Clean(folder), changed: make(chan struct{})}
}

// Set changes the state of the disk, also for calls that are blocked.
func (d *Disk) Set(s State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state = s
	close(d.changed)
	d.changed = make(chan struct{})
}

// current returns the state and a channel that is closed when it changes.
func (d *Disk) current() (State, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state, d.changed
}

// contains reports whether a path is the data folder or inside it.
func (d *Disk) contains(path string) bool {
	return path == d.folder || strings.HasPrefix(path, d.folder+string(filepath.Separator))
}
