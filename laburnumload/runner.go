package laburnumload

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/google/uuid"

	"laburnumlever"
	"laburnumlever/laburnumoperator"
	"laburnumlever/laburnumtimer"
)

const (
	// lateThreshold is the delay from which a request counts as sent late by the tool.
	lateThreshold = 100 * time.Millisecond
	// progressPeriod is the period of the progress lines.
	progressPeriod = time.Second
	runIDLength    = 8
)

// Runner runs experiments against a running system.
type Runner struct {
	vms          []string
	timers       laburnumlever.Timers
	progress     io.Writer
	eventHandler EventHandler
}

// EventHandler carries out the events of an experiment other than HTTP requests.
type EventHandler interface {
	Act(ctx context.Context, event Event) error
}

// Option configures a Runner.
type Option func(*Runner)

// WithTimers sets the timer service; the default runs on the system clock.
func WithTimers(timers laburnumlever.Timers) Option {
	return func(r *Runner) { r.timers = timers }
}

// WithProgress sets where a progress line is written every second of an experiment.
func WithProgress(w io.Writer) Option {
	return func(r *Runner) { r.progress = w }
}

// WithEventHandler sets the handler of the events that are not HTTP requests. Without it,
// such events fail.
func WithEventHandler(handler EventHandler) Option {
	return func(r *Runner) { r.eventHandler = handler }
}

// NewRunner makes a runner for a system, given its VMs' operators addresses. The callers
// addresses come from the first VM's status.
func NewRunner(vms []string, opts ...Option) *Runner {
	r := &Runner{vms: vms}
	for _, opt := range opts {
		opt(r)
	}
	if r.timers == nil {
		r.timers = laburnumtimer.New()
	}
	return r
}

// Run runs the experiment to its end and returns the report. An error means that the
// experiment could not be run or checked; broken promises are in the report. Errors
// include *NoCallersAddressError and *LedgerError.
func (r *Runner) Run(ctx context.Context, e Experiment) (Report, error) {
	run, err := r.prepare(ctx, e)
	if err != nil {
		return Report{}, err
	}
	stop := run.showProgress()
	run.sendArrivals(ctx)
	stop()
	if err := run.checkLedgers(ctx); err != nil {
		return Report{}, err
	}
	run.stats.poll(ctx)
	return run.results.finish(run.stats.totals()), nil
}

func (r *Runner) prepare(ctx context.Context, e Experiment) (*experimentRun, error) {
	status, err := laburnumoperator.NewClient(r.vms[0]).Status(ctx)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, vm := range status.View.VMs {
		if vm.CallerAddress != "" && vm.State == laburnumlever.VMAlive {
			addresses = append(addresses, vm.CallerAddress)
		}
	}
	if len(addresses) == 0 {
		return nil, &NoCallersAddressError{VM: r.vms[0]}
	}
	id := uuid.NewString()[:runIDLength]
	stats := newFleetStats(r.vms)
	stats.poll(ctx)
	return &experimentRun{
		runner: r, experiment: e, balancer: newBalancer(addresses), caller: newCaller(r.timers, id),
		plan: Plan(e, id), results: newResults(e, status.View.Catalogue), backends: status.View.Backends, stats: stats,
	}, nil
}

// experimentRun is one run of an experiment.
type experimentRun struct {
	runner     *Runner
	experiment Experiment
	balancer   *balancer
	caller     *Caller
	plan       []Arrival
	backends   []laburnumlever.Backend
	stats      *fleetStats

	mu       sync.Mutex
	results  *results
	inFlight int
}

// sendArrivals sends every request at its time, runs the events, and waits for all of
// them to finish.
func (run *experimentRun) sendArrivals(ctx context.Context) {
	start := run.runner.timers.Now()
	defer run.runner.timers.Every(balancerPeriod, func(time.Time) { run.balancer.probe(ctx, run.caller.client) })()
	defer run.runner.timers.Every(statsPeriod, func(time.Time) { go run.stats.poll(ctx) })()
	var group sync.WaitGroup
	for _, event := range run.experiment.Events {
		group.Add(1)
		go func() {
			defer group.Done()
			run.runEvent(ctx, start, event)
		}()
	}
	for _, arrival := range run.plan {
		if !run.waitUntil(ctx, start.Add(arrival.At)) {
			break
		}
		late := run.runner.timers.Now().Sub(start)-arrival.At > lateThreshold
		address := run.startRequest(late)
		group.Add(1)
		go func() {
			defer group.Done()
			run.sendOne(ctx, address, arrival)
		}()
	}
	group.Wait()
}

func (run *experimentRun) waitUntil(ctx context.Context, until time.Time) bool {
	left := until.Sub(run.runner.timers.Now())
	if left <= 0 {
		return ctx.Err() == nil
	}
	return laburnumtimer.Wait(ctx.Done(), run.runner.timers, left)
}

// startRequest counts a request as in flight and chooses its VM.
func (run *experimentRun) startRequest(late bool) string {
	run.mu.Lock()
	defer run.mu.Unlock()
	if late {
		run.results.report.SentLate++
	}
	run.inFlight++
	return run.balancer.choose()
}

func (run *experimentRun) sendOne(ctx context.Context, address string, arrival Arrival) {
	limited, cancel := context.WithTimeout(ctx, time.Duration(run.experiment.Timeout))
	defer cancel()
	got := run.caller.Send(limited, address, arrival)
	run.mu.Lock()
	defer run.mu.Unlock()
	run.inFlight--
	run.results.addAnswer(arrival, run.caller.requestID(arrival), got)
}

func (run *experimentRun) runEvent(ctx context.Context, start time.Time, event Event) {
	if !run.waitUntil(ctx, start.Add(time.Duration(event.At))) {
		return
	}
	err := run.executeEvent(ctx, event)
	run.mu.Lock()
	defer run.mu.Unlock()
	line := event.String()
	if err != nil {
		line += " failed: " + err.Error()
	}
	run.results.report.Events = append(run.results.report.Events, line)
}

func (run *experimentRun) executeEvent(ctx context.Context, event Event) error {
	if event.Action != ActionHTTP {
		if run.runner.eventHandler == nil {
			return &laburnumlever.InvalidValueError{Name: "action", Value: event.String(), Want: "http, unless the tool runs the fleet itself"}
		}
		return run.runner.eventHandler.Act(ctx, event)
	}
	return sendControl(ctx, event.Method, event.URL, event.Body)
}

func (run *experimentRun) checkLedgers(ctx context.Context) error {
	ledgers, err := ledgersOf(ctx, run.backends)
	if err != nil {
		return err
	}
	for _, broken := range CheckLedger(run.results.calls, ledgers) {
		run.results.addBroken(broken)
	}
	return nil
}

// showProgress writes a progress line every second until stop is called.
func (run *experimentRun) showProgress() (stop func()) {
	if run.runner.progress == nil {
		return func() {}
	}
	started := run.runner.timers.Now()
	return run.runner.timers.Every(progressPeriod, func(now time.Time) {
		run.mu.Lock()
		defer run.mu.Unlock()
		report := run.results.report
		_, _ = fmt.Fprintf(run.runner.progress, "%4.0fs of %s: %d sent, %d in flight, %d whole, %d refused, %d lost, %d broken\n",
			now.Sub(started).Seconds(), run.experiment.Duration(), report.Sent+run.inFlight, run.inFlight,
			report.Whole, report.Refused, report.Lost, len(report.Broken))
	})
}
