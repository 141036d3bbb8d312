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
	// Healthy is as the machine's own.
	Healthy Mode = iota
	// Stalled answers nothing: syncs and writes hang until the mode changes.
	Stalled
	// Slow adds State.Delay to each sync.
	Slow
	// Full takes half of each write, and answers that of a last byte with ENOSPC.
	Full
	// Failing answers syncs with EIO, whatever has reached the disk.
	Failing
)

// State is a mode with its delay.
type State struct {
	Mode  Mode
	Delay time.Duration
}

// Disk is what stands below the data folder of one program at a time. It may be used from any
// goroutine.
type Disk struct {
	folder string

	mu      sync.Mutex
	state   State
	changed chan struct{}
}

// New returns a healthy disk for a data folder.
func New(folder string) *Disk {
	if whole, err := filepath.Abs(folder); err == nil { // the kernel names files by their whole path
		folder = whole
	}
	return &Disk{folder: filepath.Clean(folder), changed: make(chan struct{})}
}

// Set changes how the disk behaves, also for calls that hang.
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

// contains reports whether a file or folder is the disk's.
func (d *Disk) contains(path string) bool {
	return path == d.folder || strings.HasPrefix(path, d.folder+string(filepath.Separator))
}
