package laburnumsoak

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// clockTick is the unit of the processor times of /proc.
	clockTick = 10 * time.Millisecond
	// shareBurst is what a VM may use at once, and sharePeriod the time between two looks at what it has used.
	shareBurst, sharePeriod = 20 * time.Millisecond, 5 * time.Millisecond
)

// processorTime returns the processor time that a process has used; false if it has ended.
func processorTime(pid int) (time.Duration, bool) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, false
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	if len(fields) <= system {
		return 0, false
	}
	u, _ := strconv.Atoi(fields[user])
	s, _ := strconv.Atoi(fields[system])
	return time.Duration(u+s) * clockTick, true
}

// processorTimes returns what each running VM has used since its start.
func (f *returnFleet) processorTimes() map[*returnVM]time.Duration {
	times := map[*returnVM]time.Duration{}
	for _, vm := range f.vms() {
		if running := vm.running.Load(); running != nil {
			if used, ok := processorTime(running.Pid); ok {
				times[vm] = used
			}
		}
	}
	return times
}

// reportProcessorTimes prints what VMs have used in a span, and at their starts.
func (f *returnFleet) reportProcessorTimes(before map[*returnVM]time.Duration, span time.Duration) {
	for _, isControl := range []bool{true, false} {
		var starts, shares []float64
		for vm, used := range f.processorTimes() {
			if vm.isControl == isControl {
				starts = append(starts, before[vm].Seconds())
				shares = append(shares, (used-before[vm]).Seconds()/span.Seconds())
			}
		}
		if len(shares) == 0 {
			continue
		}
		slices.Sort(starts)
		slices.Sort(shares)
		f.cfg.print("   processor, controls %t: start s half %.2f most %.2f; share of a core after it half %.3f most %.3f", isControl,
			starts[len(starts)/2], starts[len(starts)-1], shares[len(shares)/2], shares[len(shares)-1])
	}
}

// limitShares pauses VMs that have used more than their share of a processor, until the returned function is called.
func (f *returnFleet) limitShares(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var all sync.WaitGroup
	for _, isControl := range []bool{true, false} {
		share := f.cfg.GatewayShare
		if isControl {
			share = f.cfg.ControlShare
		}
		if share <= 0 {
			continue
		}
		all.Go(func() { f.limitShare(ctx, isControl, share) })
	}
	return func() { cancel(); all.Wait() }
}

type shareState struct {
	process *os.Process
	began   time.Time
	paused  bool
}

func (f *returnFleet) limitShare(ctx context.Context, isControl bool, share float64) {
	states := map[*returnVM]*shareState{}
	ticker := time.NewTicker(sharePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, s := range states {
				_ = s.process.Signal(syscall.SIGCONT)
			}
			return
		case <-ticker.C:
		}
		now := time.Now()
		for _, vm := range f.vms() {
			if running := vm.running.Load(); vm.isControl == isControl && running != nil {
				s := states[vm]
				if s == nil || s.process != running {
					s = &shareState{process: running, began: now}
					states[vm] = s
				}
				s.look(now, share)
			}
		}
	}
}

// look pauses a process that has used more than its share, and continues one that has not.
func (s *shareState) look(now time.Time, share float64) {
	used, ok := processorTime(s.process.Pid)
	if !ok {
		return
	}
	allowed := time.Duration(share*float64(now.Sub(s.began))) + shareBurst
	if unused := allowed - used - shareBurst; unused > 0 { // what was not used is lost
		s.began = s.began.Add(time.Duration(float64(unused) / share))
	}
	if over := used > allowed; over != s.paused {
		s.paused = over
		sig := syscall.SIGCONT
		if over {
			sig = syscall.SIGSTOP
		}
		_ = s.process.Signal(sig) // fails only if the process has exited
	}
}
