package laburnumsoak

import (
	"context"
	"syscall"
	"time"
)

const (
	// bootstrapTimeout is how long the first change may take: the log is founded and grows.
	bootstrapTimeout = 30 * time.Second
	// recoveryTimeout is how long callers may have to wait once all processes are back: for an
	// election, the voters' return and the backend servers' announcements.
	recoveryTimeout = 15 * time.Second
	// retryInterval is between two tries of something that must come.
	retryInterval = 100 * time.Millisecond
)

// Config says what a run is.
type Config struct {
	// Program is the path of the laburnumlever program.
	Program string
	// Folder is an empty folder for settings, data and logs.
	Folder string
	// Seed decides which faults come when.
	Seed uint64
	// Length is how long faults come.
	Length time.Duration
	// Disks has the disks below control VMs misbehave too; it needs Linux.
	Disks bool
}

// Report is what came of a run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Sent and Served count the callers' requests, Acknowledged the operator's changes.
	Sent         int `json:"sent"`
	Served       int `json:"served"`
	Acknowledged int `json:"acknowledged"`
	// Faults are those that came, in order.
	Faults []string `json:"faults"`
	// Violations are what should not have been seen.
	Violations []string `json:"violations,omitempty"`
}

// Run plays one run. The error is a *StartError or a *NotReadyError: the system did not come
// up, or a process did not come back.
func Run(ctx context.Context, cfg Config) (Report, error) {
	r := newRecorder()
	f := newFleet(cfg, r)
	defer f.closeLinks()
	defer f.stop()
	if err := f.start(); err != nil {
		return Report{}, err
	}
	l := newLoad(f, r)
	if !await(ctx, bootstrapTimeout, func() bool { return l.apply(0) }) {
		return Report{}, &NotReadyError{What: "the first change is acknowledged", Time: bootstrapTimeout}
	}
	f.bootstrapped.Store(true)
	if !await(ctx, bootstrapTimeout, func() bool { return l.sendRequest(true) && l.sendRequest(false) }) {
		return Report{}, &NotReadyError{What: "callers are served", Time: bootstrapTimeout}
	}
	x := newFaultInjector(f, cfg.Seed)
	disturbed, cancel := context.WithTimeout(ctx, cfg.Length)
	defer cancel()
	working, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(working)
	}()
	x.run(disturbed)
	stop()
	<-done
	l.checkRecovery(ctx)
	f.stop() // what backend servers have to say of their runs has come then
	return Report{
		Seed: cfg.Seed, Sent: r.sent, Served: r.served, Acknowledged: len(r.acked), Faults: x.history, Violations: r.check(),
	}, x.firstErr
}

// checkRecovery checks that the system is whole again: it takes a change, reads it back and serves
// callers.
func (l *load) checkRecovery(ctx context.Context) {
	for what, try := range map[string]func() bool{
		"a change is acknowledged": func() bool { return l.apply(0) },
		"a read is answered":       func() bool { return l.read(1) },
		"a booking is served":      func() bool { return l.sendRequest(false) },
		"a stream is served":       func() bool { return l.sendRequest(true) },
	} {
		if !await(ctx, recoveryTimeout, try) {
			l.record.mu.Lock()
			l.record.addViolation("after the faults: %s: not within %s", what, recoveryTimeout)
			l.record.mu.Unlock()
		}
	}
}

// stop kills all processes that this run started.
func (f *fleet) stop() {
	for _, p := range f.all() {
		p.stop(syscall.SIGKILL)
	}
}

// await tries until something comes, or the time is over.
func await(ctx context.Context, limit time.Duration, try func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(retryInterval) {
		if try() {
			return true
		}
	}
	return false
}
