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
	// lateSend is how late the tool itself may send before it counts.
	lateSend = 100 * time.Millisecond
	// progressPeriod is how often the progress line is written.
	progressPeriod = time.Second
	runIDLength    = 8
)

// Runner runs experiments against a running system.
type Runner struct {
	vms      []string
	timers   laburnumlever.Timers
	progress io.Writer
	actor    Actor
}

// Actor does what an experiment's events ask, beside requests over HTTP.
type Actor interface {
	Act(ctx context.Context, event Event) error
}

// Option changes a Runner while it is built.
type Option func(*Runner)

// WithTimers sets the timer service.
func WithTimers(timers laburnumlever.Timers) Option {
	return func(r *Runner) { r.timers = timers }
}

// WithProgress writes a line a second while an experiment runs.
func WithProgress(w io.Writer) Option {
	return func(r *Runner) { r.progress = w }
}

// WithActor sets who does the events that are not HTTP requests.
func WithActor(actor Actor) Option {
	return func(r *Runner) { r.actor = actor }
}

// NewRunner makes a runner for the system whose VMs have these operators
// addresses; the callers' addresses are asked of them.
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

// Run plays the experiment to its end and reports. An error means that it could
// not be played; broken promises are in the report.
func (r *Runner) Run(ctx context.Context, e Experiment) (Report, error) {
	run, err := r.prepare(ctx, e)
	if err != nil {
		return Report{}, err
	}
	stop := run.showProgress()
	run.play(ctx)
	stop()
	if err := run.checkLedgers(ctx); err != nil {
		return Report{}, err
	}
	run.account.ask(ctx)
	return run.results.finish(run.account.totals()), nil
}

func (r *Runner) prepare(ctx context.Context, e Experiment) (*playing, error) {
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
	account := newAccount(r.vms)
	account.ask(ctx)
	return &playing{
		runner: r, experiment: e, balancer: newBalancer(addresses), caller: newCaller(r.timers, id),
		plan: Plan(e, id), results: newResults(e, status.View.Catalogue), backends: status.View.Backends, account: account,
	}, nil
}

// playing is one run of an experiment.
type playing struct {
	runner     *Runner
	experiment Experiment
	balancer   *balancer
	caller     *Caller
	plan       []Arrival
	backends   []laburnumlever.Backend
	account    *account

	mu       sync.Mutex
	results  *results
	inFlight int
}

// play sends every arrival at its time and waits for the last answer.
func (p *playing) play(ctx context.Context) {
	start := p.runner.timers.Now()
	defer p.runner.timers.Every(balancerPeriod, func(time.Time) { p.balancer.ask(ctx, p.caller.client) })()
	defer p.runner.timers.Every(accountPeriod, func(time.Time) { go p.account.ask(ctx) })()
	var group sync.WaitGroup
	for _, event := range p.experiment.Events {
		group.Add(1)
		go func() {
			defer group.Done()
			p.act(ctx, start, event)
		}()
	}
	for _, arrival := range p.plan {
		if !p.wait(ctx, start.Add(arrival.At)) {
			break
		}
		late := p.runner.timers.Now().Sub(start)-arrival.At > lateSend
		address := p.begin(late)
		group.Add(1)
		go func() {
			defer group.Done()
			p.one(ctx, address, arrival)
		}()
	}
	group.Wait()
}

func (p *playing) wait(ctx context.Context, until time.Time) bool {
	left := until.Sub(p.runner.timers.Now())
	if left <= 0 {
		return ctx.Err() == nil
	}
	return laburnumtimer.Wait(ctx.Done(), p.runner.timers, left)
}

// begin counts a request and chooses its VM.
func (p *playing) begin(late bool) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if late {
		p.results.report.Late++
	}
	p.inFlight++
	return p.balancer.choose()
}

func (p *playing) one(ctx context.Context, address string, arrival Arrival) {
	limited, cancel := context.WithTimeout(ctx, time.Duration(p.experiment.Timeout))
	defer cancel()
	got := p.caller.Send(limited, address, arrival)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	p.results.add(arrival, p.caller.requestID(arrival), got)
}

func (p *playing) act(ctx context.Context, start time.Time, event Event) {
	if !p.wait(ctx, start.Add(time.Duration(event.At))) {
		return
	}
	err := p.do(ctx, event)
	p.mu.Lock()
	defer p.mu.Unlock()
	line := event.String()
	if err != nil {
		line += " failed: " + err.Error()
	}
	p.results.report.Events = append(p.results.report.Events, line)
}

func (p *playing) do(ctx context.Context, event Event) error {
	if event.Action != ActionHTTP {
		if p.runner.actor == nil {
			return &laburnumlever.InvalidValueError{Name: "action", Value: event.String(), Want: "http, where no fleet is run by the tool"}
		}
		return p.runner.actor.Act(ctx, event)
	}
	return sendControl(ctx, event.Method, event.URL, event.Body)
}

func (p *playing) checkLedgers(ctx context.Context) error {
	ledgers, err := ledgersOf(ctx, p.backends)
	if err != nil {
		return err
	}
	for _, broken := range CheckLedger(p.results.told, ledgers) {
		p.results.broken(broken)
	}
	return nil
}

// showProgress writes the counts each second until stop is called.
func (p *playing) showProgress() (stop func()) {
	if p.runner.progress == nil {
		return func() {}
	}
	started := p.runner.timers.Now()
	return p.runner.timers.Every(progressPeriod, func(now time.Time) {
		p.mu.Lock()
		defer p.mu.Unlock()
		report := p.results.report
		_, _ = fmt.Fprintf(p.runner.progress, "%4.0fs of %s: %d sent, %d in flight, %d whole, %d refused, %d lost, %d broken\n",
			now.Sub(started).Seconds(), p.experiment.Duration(), report.Sent+p.inFlight, p.inFlight,
			report.Whole, report.Refused, report.Lost, len(report.Broken))
	})
}
