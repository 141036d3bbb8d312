package laburnumsoak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	returnControls   = 8
	returnSpares     = 30
	maxAbsence       = 5 * time.Second
	returnLosses     = 2
	returnCatchUp    = 6 * time.Second
	returnHeartbeat  = 1200 * time.Millisecond
	returnRevoke     = 5 * time.Second
	returnQuotaTime  = 8 * time.Second
	returnServed     = 0.25
	returnReadyLimit = 60 * time.Second
	// returnStagger is the time within which VMs start.
	returnStagger = 300 * time.Millisecond
)

// ReturnsConfig configures a run of returns.
type ReturnsConfig struct {
	// Program is the path of the laburnumlever program.
	Program string
	// GatewayProgram is that of the laburnumgateway program; empty for the command gateway of Program.
	GatewayProgram string
	// Folder is an empty folder for settings, data and logs.
	Folder string
	// Seed determines the faults.
	Seed uint64
	// Gateways, Engines and Models are the size of the deployment, Rate its requests in a second.
	Gateways, Engines, Models int
	Rate                      float64
	// EventPause is the time between two of the four events of a stream, Connections the number that an engine accepts.
	EventPause  time.Duration
	Connections int
	// IdleRoutes is the number of routes without requests, which make the manifest large.
	IdleRoutes int
	// Returns is the number of returns.
	Returns int
	// Kinds, unless empty, are the kinds of faults.
	Kinds []string
	// Processors is the number of processors that each VM uses at a time.
	Processors int
	// SharedProcessors is the number of processors that all VMs share, and that nothing else of the run uses; 0 for all. It needs Linux.
	SharedProcessors int
	// Recover is the time after which a quarter of the requests have to be served, Observe how long requests are observed.
	Recover, Observe time.Duration
	// Print, unless nil, is called with each line of the timeline.
	Print func(line string)
	// ControlShare and GatewayShare are the shares of a processor that a VM has; 0 for all.
	ControlShare, GatewayShare float64
	// Dark has connections to VMs without power hang instead of being refused.
	Dark bool
	// SyncTime delays each sync of a control VM's disk; it needs Linux.
	SyncTime time.Duration
}

// ReturnReport is a return of the VMs after a fault.
type ReturnReport struct {
	Fault string `json:"fault"`
	// Before, After and Late are the shares served before the fault, after the VMs were back, and of the requests that were sent
	// later than the time for it.
	Before float64 `json:"before"`
	Late   float64 `json:"late"`
	// Seconds are the shares served of the requests sent in each second after the VMs were back.
	Seconds []float64 `json:"seconds"`
	// Stages are the times in milliseconds at which the first, half and the last of the VMs met a stage; -1 for never.
	Stages []StageReport `json:"stages"`
	// Refusals counts the answers without success of each second by their reason.
	Refusals   []map[string]int `json:"refusals"`
	Violations []string         `json:"violations,omitempty"`
}

// StageReport is when VMs met a stage.
type StageReport struct {
	Stage string `json:"stage"`
	// Met is how many of the VMs met it.
	Met   int   `json:"met"`
	Of    int   `json:"of"`
	First int64 `json:"first"`
	Half  int64 `json:"half"`
	Last  int64 `json:"last"`
	// Which is the last VM.
	Which string `json:"which"`
}

// returnFault is a fault that ends with a return.
type returnFault struct {
	name string
	// lost is the number of control VMs that lose their disks, leader whether the leader is one of them.
	lost   int
	leader bool
	// controls and gateways are whether all of these are killed.
	controls, gateways bool
	// late is how much later one control VM returns than the others; never if it is negative.
	late time.Duration
	// before are faults that end some time before.
	replaced, wiped int
	// absent control VMs are down for a while, so that others may take their places as voters.
	absent   int
	afterAck bool
	sent     bool
	down     time.Duration
	stagger  time.Duration
	// settle is the time between the faults before and the last one.
	settle time.Duration
	// skewed sends most new connections to one gateway, in turn; killsHot kills each while it gets them. toFirst sends them to the first one that is ready after
	// the return.
	skewed, killsHot, toFirst bool
}

func returnFaults() []returnFault {
	ms := time.Millisecond
	return []returnFault{
		{name: "kill-all", controls: true, gateways: true, down: 700 * ms},
		{name: "kill-controls", controls: true, down: 700 * ms},
		{name: "kill-gateways", gateways: true, down: 700 * ms},
		{name: "wipe-all-lose-power", lost: 2, leader: true, controls: true, gateways: true, afterAck: true, down: 700 * ms},
		{name: "wipe-controls-lose-power", lost: 2, leader: true, controls: true, afterAck: true, down: 700 * ms},
		{name: "wipe-only", lost: 2, leader: true, afterAck: true, down: 700 * ms},
		{name: "wipe-others", lost: 2, controls: true, gateways: true, afterAck: true, down: 700 * ms},
		{name: "replace-then-wipe-all", replaced: 1, settle: 7 * time.Second, lost: 2, leader: true, controls: true, gateways: true, afterAck: true, down: 700 * ms},
		{name: "replace-then-kill-all", replaced: 1, settle: 500 * ms, controls: true, gateways: true, down: 700 * ms},
		{name: "wipe-then-wipe-all", wiped: 2, settle: 7 * time.Second, lost: 2, leader: true, controls: true, gateways: true, afterAck: true, down: 700 * ms},
		{name: "wipe-one-catching-up-then-kill-all", wiped: 1, settle: 1 * time.Second, controls: true, gateways: true, down: 700 * ms},
		{name: "wipe-two-catching-up-then-kill-all", wiped: 2, settle: 1500 * ms, controls: true, gateways: true, down: 1500 * ms},
		{name: "sent-wipe-all", lost: 2, leader: true, controls: true, gateways: true, sent: true, down: 700 * ms},
		{name: "wipe-all-one-late", lost: 2, controls: true, gateways: true, afterAck: true, late: 8 * time.Second, down: 700 * ms, stagger: 1 * time.Second},
		{name: "kill-all-two-never", controls: true, gateways: true, late: -1, down: 700 * ms},
		{name: "absent-two-then-wipe-all", absent: 2, settle: 6500 * ms, lost: 2, leader: true, controls: true, gateways: true, afterAck: true, down: 700 * ms},
		{name: "absent-two-then-kill-all", absent: 2, settle: 500 * ms, controls: true, gateways: true, down: 700 * ms},
		{name: "absent-replace-then-wipe-all", absent: 1, replaced: 1, settle: 6500 * ms, lost: 2, controls: true, gateways: true, sent: true, down: 700 * ms},
		{name: "replace-two-then-wipe-all", replaced: 2, settle: 7 * time.Second, lost: 2, leader: true, controls: true, gateways: true, afterAck: true, down: 1500 * ms},
		{name: "most-connections", skewed: true},
		{name: "most-connections-then-kill", skewed: true, killsHot: true},
		{name: "kill-all-to-the-first", controls: true, gateways: true, toFirst: true, down: 700 * ms},
		{name: "wipe-all-to-the-first", lost: 2, leader: true, controls: true, gateways: true, afterAck: true, toFirst: true, down: 700 * ms},
	}
}

// RunReturns starts a deployment and has its VMs fail together and return, again and again.
func RunReturns(ctx context.Context, cfg ReturnsConfig) ([]ReturnReport, error) {
	var shared *processors
	if cfg.SharedProcessors > 0 {
		var err error
		if shared, err = shareProcessors(cfg.SharedProcessors); err != nil {
			return nil, err
		}
	}
	f := newReturnFleet(cfg, shared)
	defer f.stop()
	if err := f.start(); err != nil {
		return nil, err
	}
	defer f.closeEngines()
	unlimited := f.limitShares(ctx)
	defer unlimited()
	l := newReturnLoad(f)
	if !await(ctx, returnReadyLimit, func() bool { return l.apply(ctx) }) {
		return nil, &NotReadyError{What: "the first change is acknowledged", Time: returnReadyLimit}
	}
	f.firstStart = false
	loadCtx, stop := context.WithCancel(ctx)
	done := l.run(loadCtx)
	defer func() { stop(); <-done }()
	if !await(ctx, returnReadyLimit, func() bool { return l.share(time.Now().Add(-2*time.Second), time.Now().Add(-time.Second)) > 0.8 }) {
		cfg.print("never served before the faults: %v", l.refusals(time.Now().Add(-3*time.Second), time.Now()))
	}
	random := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)) //nolint:gosec // repeatable
	var reports []ReturnReport
	faults := returnFaults()
	if len(cfg.Kinds) > 0 {
		faults = slices.DeleteFunc(faults, func(x returnFault) bool { return !slices.Contains(cfg.Kinds, x.name) })
	}
	for i := range cfg.Returns {
		x := faults[random.IntN(len(faults))]
		if len(cfg.Kinds) > 0 {
			x = faults[i%len(faults)]
		}
		report, err := f.playReturn(ctx, l, x, random)
		if err != nil {
			return reports, err
		}
		reports = append(reports, report)
		cfg.printReturn(report)
		wait(ctx, returnCatchUp)
	}
	return reports, nil
}

func (cfg ReturnsConfig) print(format string, args ...any) {
	if cfg.Print != nil {
		cfg.Print(fmt.Sprintf(format, args...))
	}
}

func (cfg ReturnsConfig) printReturn(r ReturnReport) {
	var text strings.Builder
	for _, s := range r.Seconds {
		fmt.Fprintf(&text, " %.2f", s)
	}
	cfg.print("%s: before %.2f, late %.2f, by second%s", r.Fault, r.Before, r.Late, text.String())
	for _, s := range r.Stages {
		cfg.print("   %-34s %3d of %3d  first %6d  half %6d  last %6d  %s", s.Stage, s.Met, s.Of, s.First, s.Half, s.Last, s.Which)
	}
	for i, refused := range r.Refusals {
		if len(refused) > 0 {
			cfg.print("   second %2d not served: %v", i, refused)
		}
	}
	for _, v := range r.Violations {
		cfg.print("   wrong: %s", v)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// playBefore plays the faults that end some time before the last one.
func (f *returnFleet) playBefore(x returnFault, random *rand.Rand) error {
	for range x.replaced {
		if err := f.replace(random); err != nil {
			return err
		}
	}
	if x.absent > 0 {
		away := maxAbsence/4 + time.Duration(random.Int64N(int64(maxAbsence)))
		if err := f.killSome(f.choose(random, x.absent, false), nil, false, away, 0, random, 0); err != nil {
			return err
		}
	}
	if x.wiped > 0 {
		return f.killSome(f.choose(random, x.wiped, false), nil, true, x.down, 0, random, 0)
	}
	return nil
}

// playReturn has VMs fail and return, and observes it.
func (f *returnFleet) playReturn(ctx context.Context, l *returnLoad, x returnFault, random *rand.Rand) (ReturnReport, error) {
	report := ReturnReport{Fault: x.name}
	if err := f.playBefore(x, random); err != nil {
		return report, err
	}
	wait(ctx, x.settle)
	if x.skewed {
		return report, f.playSkewed(ctx, l, x.killsHot, &report)
	}
	report.Before = l.share(time.Now().Add(-4*time.Second), time.Now().Add(-time.Second))
	f.noteVersion(l)
	acked := l.version.Load()
	if x.afterAck {
		if !await(ctx, 10*time.Second, func() bool { return l.apply(ctx) }) {
			report.Violations = append(report.Violations, "before the fault: a change was not acknowledged within 10 s")
		}
		acked = l.version.Load()
	}
	if x.sent {
		go l.apply(ctx)
		wait(ctx, time.Duration(random.IntN(20))*time.Millisecond)
	}
	lost := f.choose(random, x.lost, x.leader)
	others := f.othersThatFail(x, lost)
	if err := f.killSome(lost, others, x.lost > 0, x.down, cmp.Or(x.stagger, returnStagger), random, x.late); err != nil {
		return report, err
	}
	if x.toFirst {
		defer f.skewToFirst(ctx, l)()
	}
	back := f.stages.lastStart()
	before := f.processorTimes()
	wait(ctx, time.Until(back.Add(f.cfg.Observe)))
	f.reportProcessorTimes(before, time.Since(back))
	f.describe(&report, l, back)
	status, version := l.read(ctx)
	if status != 200 || version < acked {
		report.Violations = append(report.Violations, fmt.Sprintf("read back: status %d, version %d, acknowledged %d", status, version, acked))
	}
	return report, nil
}

// othersThatFail returns the VMs that fail beside the lost ones.
func (f *returnFleet) othersThatFail(x returnFault, lost []*returnVM) []*returnVM {
	var others []*returnVM
	for _, vm := range f.vms() {
		if !slices.Contains(lost, vm) && (vm.isControl && x.controls || !vm.isControl && x.gateways) {
			others = append(others, vm)
		}
	}
	return others
}

// killSome kills VMs at the same moment, empties the data folders of lost ones and starts all again.
func (f *returnFleet) killSome(lost, others []*returnVM, wipe bool, down, stagger time.Duration, random *rand.Rand, late time.Duration) error {
	all := append(slices.Clone(lost), others...)
	names := make([]string, 0, len(lost))
	for _, vm := range lost {
		names = append(names, vm.name)
	}
	f.cfg.print("fault: lost %v (leader %s), %d others, voters %v", names, f.stages.leader(), len(others), f.stages.votersNow())
	f.signalAll(all, syscall.SIGKILL)
	f.stages.reset()
	f.lights = nil
	if f.cfg.Dark {
		f.lights = f.darken(all)
	}
	if wipe {
		for _, vm := range lost {
			if err := os.RemoveAll(f.dataFolder(vm.name)); err != nil {
				return err
			}
		}
	}
	time.Sleep(down)
	return f.startAll(all, stagger, random, late)
}
