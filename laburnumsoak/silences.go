package laburnumsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"laburnumlever/laburnumstandin"
)

const (
	// firstSteadyServer is the last octet of the first address of the servers that fall silent and never end.
	firstSteadyServer = 120
	essayServers      = 3
	// steadyPause is the time between two parts of their answers.
	steadyPause = 300 * time.Millisecond
	// minSilence and maxSilence bound how long a server is silent, minSilenceGap and maxSilenceGap the time between two silences.
	minSilence, maxSilence       = 800 * time.Millisecond, 1600 * time.Millisecond
	minSilenceGap, maxSilenceGap = 300 * time.Millisecond, 1200 * time.Millisecond
	// In each shareCycle a gateway with a share of a core runs for shareRuns. It has that for shareTime, and a whole core for
	// half as long.
	shareCycle, shareRuns = 100 * time.Millisecond, 25 * time.Millisecond
	shareTime             = 4 * time.Second
	// cutPrefix starts the line that a stand-in prints for each request whose begun answer was cut.
	cutPrefix = "cut "
)

// steadyServer defines a backend server that has no fault but silence, so that no answer of it may be cut. No link is in
// front of it.
func (f *fleet) steadyServer(service string, i, number int) *process {
	p := &process{
		name: fmt.Sprintf("%s-%d", service, i+1), service: service, program: f.cfg.Program, folder: f.cfg.Folder,
		address: f.address(number, serverPort), onUnexpectedExit: f.record.processExited,
	}
	p.onLine = func(text string) {
		if id, ok := strings.CutPrefix(text, cutPrefix); ok {
			f.record.answerCut(p.name, id)
		}
		if run, ok := strings.CutPrefix(text, ranPrefix); ok {
			id, _, _ := strings.Cut(run, " ")
			f.record.steadyRequestRan(p.name, id)
		}
	}
	p.args = func() []string {
		args := append(f.serverArgs(p, number), "--event-pause", steadyPause.String())
		if service == laburnumstandin.EssayService {
			args = append(args, "--model", "m0")
		}
		return args
	}
	return p
}

func (f *fleet) steadyServers() []*process {
	var list []*process
	number := firstSteadyServer
	for _, service := range []string{laburnumstandin.EssayService, laburnumstandin.FormService, laburnumstandin.DeskService} {
		count := serversPerService
		if service == laburnumstandin.EssayService {
			count = essayServers
		}
		for i := range count {
			list = append(list, f.steadyServer(service, i, number))
			number++
		}
	}
	return list
}

// silences has one of the steady servers, those of one service or all fall silent again and again until ctx ends. Its sequence
// does not change that of run.
func (x *faultInjector) silences(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, firstSteadyServer)) //nolint:gosec // repeatable
	all := x.fleet.steady
	for {
		name, silent := "all steady servers", all
		if one := all[random.IntN(len(all))]; random.IntN(3) > 0 {
			name, silent = "all of "+one.service, nil
			for _, p := range all {
				if p.service == one.service {
					silent = append(silent, p)
				}
			}
			if random.IntN(2) == 0 {
				name, silent = one.name, []*process{one}
			}
		}
		x.log("silence of %s", name)
		from := time.Now()
		signalAll(silent, syscall.SIGSTOP)
		time.Sleep(between(random, minSilence, maxSilence))
		signalAll(silent, syscall.SIGCONT)
		x.fleet.record.serversSilent(silent, silence{from: from, to: time.Now().Add(endSlack)})
		select {
		case <-ctx.Done():
			return
		case <-time.After(between(random, minSilenceGap, maxSilenceGap)):
		}
	}
}

func between(random *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(random.Int64N(int64(to-from)))
}

func signalAll(list []*process, sig syscall.Signal) {
	for _, p := range list {
		p.signal(sig)
	}
}

// shares has the gateways read their settings again and run for a share of the time, again and again until ctx ends.
func (x *faultInjector) shares(ctx context.Context) {
	for ctx.Err() == nil {
		x.log("settings read again, a quarter of a core for the gateways")
		x.reloadGateways()
		var ends []func()
		for _, p := range x.fleet.gateways {
			ends = append(ends, x.fleet.disturb(p.name))
		}
		for end := time.Now().Add(shareTime); time.Now().Before(end) && ctx.Err() == nil; {
			x.signalGateways(syscall.SIGSTOP)
			time.Sleep(shareCycle - shareRuns)
			x.signalGateways(syscall.SIGCONT)
			time.Sleep(shareRuns)
		}
		for _, end := range ends {
			end()
		}
		select {
		case <-ctx.Done():
		case <-time.After(shareTime / 2):
		}
	}
}

// reloadGateways has the gateways without a fault read their settings again; others may not be ready for the signal.
func (x *faultInjector) reloadGateways() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.fleet.gateways {
		if !x.busyProcesses[p] {
			p.signalRunning(syscall.SIGHUP)
		}
	}
}

// signalGateways signals the gateways that run and are not paused by a fault.
func (x *faultInjector) signalGateways(sig syscall.Signal) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.fleet.gateways {
		if !x.paused[p] {
			p.signalRunning(sig)
		}
	}
}

func (x *faultInjector) log(format string, args ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.history = append(x.history, fmt.Sprintf("%.1f s ", time.Since(x.start).Seconds())+fmt.Sprintf(format, args...))
}
