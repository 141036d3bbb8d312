package laburnumsoak

import (
	"context"
	"sync"
	"syscall"
	"time"
)

const (
	// bootstrapTimeout limits the first change, for which the log is created and voters are added.
	bootstrapTimeout = 30 * time.Second
	// recoveryTimeout limits the recovery once all faults are undone: an election, the return
	// of the voters and the announcements of the backend servers.
	recoveryTimeout = 15 * time.Second
	// retryInterval is the time between two attempts of await.
	retryInterval = 100 * time.Millisecond
)

// Config configures a run.
type Config struct {
	// Program is the path of the laburnumlever program.
	Program string
	// Folder is an empty folder for settings, data and logs.
	Folder string
	// Seed determines which faults are injected and when.
	Seed uint64
	// Length is how long faults are injected.
	Length time.Duration
	// Older is the path of an earlier build's program; empty for none. With it, each start of a VM runs either build, and all run
	// the newer one for the checks after the run.
	Older string
	// Gateways is the number of gateways, at most MaxGateways; two if it is less. The checks after the run send to the first two.
	Gateways int
	// Disks also injects faults into the disks of control VMs, and has all VMs lose power after the run while one of them loses its
	// disk; it needs Linux.
	Disks bool
}

// Report is the result of a run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Sent and Served count the callers' requests, Acknowledged the operator's acknowledged changes.
	Sent         int `json:"sent"`
	Served       int `json:"served"`
	Acknowledged int `json:"acknowledged"`
	// Streams counts the streams of the service of two software versions that began, Broken those of them whose first attempt
	// broke, and TakenUp those that went on at another attempt.
	Streams int `json:"streams"`
	Broken  int `json:"broken"`
	TakenUp int `json:"taken-up"`
	// Spoiled counts the answers that backend servers spoiled.
	Spoiled int `json:"spoiled"`
	// Faults lists the injected faults in order, each with its time since the start.
	Faults []string `json:"faults"`
	// Violations lists the violated invariants.
	Violations []string `json:"violations,omitempty"`
}

// Run executes one run. The error is a *StartError or *NotReadyError if the system did not become
// ready or a process did not restart, or the file error of a fault on a data folder.
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
	defer x.close()
	f.serverExited = x.serverExited
	faultCtx, cancel := context.WithTimeout(ctx, cfg.Length)
	defer cancel()
	loadCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(loadCtx)
	}()
	var beside sync.WaitGroup
	beside.Go(func() { x.releases(faultCtx, cfg.Seed) })
	if cfg.releasesVersions() { // an earlier build's gateways cut answers of silent servers
		beside.Go(func() { x.silences(faultCtx, cfg.Seed) })
		beside.Go(func() { x.shares(faultCtx) })
	}
	x.run(faultCtx)
	beside.Wait()
	stop()
	<-done
	if err := x.upgrade(); err != nil {
		return Report{}, err
	}
	l.checkAfterFaults(ctx, x)
	x.close()
	f.stop() // the output of backend servers is complete afterwards
	return Report{
		Seed: cfg.Seed, Sent: r.sent, Served: r.served, Acknowledged: len(r.acked),
		Streams: r.drafts.begun, Broken: r.drafts.broken, TakenUp: r.drafts.takenUp, Spoiled: r.spoiled, Faults: x.history, Violations: r.check(),
	}, x.firstErr
}

// checkAfterFaults runs the checks that need a system without faults.
func (l *load) checkAfterFaults(ctx context.Context, x *faultInjector) {
	l.checkRecovery(ctx)
	var checks sync.WaitGroup
	for _, kind := range crashKinds {
		checks.Go(func() { l.checkCrashing(ctx, kind) })
	}
	checks.Wait()
	l.checkLimits(ctx)
	l.checkKeys(ctx)
	l.checkVersions(ctx, x)
	l.checkLostLinks(ctx, l.fleet.cfg.Seed)
	l.checkBrittle(ctx)
	l.leaveAtStops()
	if l.fleet.cfg.Disks {
		l.checkPowerLoss(ctx, x)
	}
}

// checkRecovery checks that the system has recovered: a change is acknowledged, a read is
// answered and callers are served.
func (l *load) checkRecovery(ctx context.Context) {
	for what, try := range map[string]func() bool{
		"a change is acknowledged": func() bool { return l.apply(0) },
		"a read is answered":       func() bool { return l.read(1) },
		"a booking is served":      func() bool { return l.sendRequest(false) },
		"a stream is served":       func() bool { return l.sendRequest(true) },
	} {
		if !await(ctx, recoveryTimeout, try) {
			l.record.mu.Lock()
			l.record.addViolation("after the faults: %s: not met within %s", what, recoveryTimeout)
			l.record.mu.Unlock()
		}
	}
}

// stop kills all processes of this run.
func (f *fleet) stop() {
	for _, p := range f.all() {
		p.stop(syscall.SIGKILL)
	}
}

// await calls try until it succeeds; it reports false after limit or when ctx ends.
func await(ctx context.Context, limit time.Duration, try func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(retryInterval) {
		if try() {
			return true
		}
	}
	return false
}
