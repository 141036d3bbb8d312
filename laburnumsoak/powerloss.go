package laburnumsoak

import (
	"context"
	"os"
	"sync"
	"syscall"
)

// checkPowerLoss checks that an acknowledged change outlasts the loss of one control VM's disk and a loss of power of all other
// VMs at the same moment, whether or not they hold the log. All are killed; what the kernel has of their files remains.
func (l *load) checkPowerLoss(ctx context.Context, x *faultInjector) {
	f := l.fleet
	if !await(ctx, recoveryTimeout, func() bool { return l.apply(0) }) {
		l.record.violated("before the power loss: a change is not acknowledged within %s", recoveryTimeout)
		return
	}
	vms := append(f.controls[:controlVMs:controlVMs], f.gateways...)
	inParallel(vms, func(p *process) { p.stop(syscall.SIGKILL) })
	lost := f.controls[f.cfg.Seed%controlVMs]
	if err := os.RemoveAll(f.dataFolder(lost.name)); err != nil {
		l.record.violated("wipe the folder of %s: %v", lost.name, err)
		return
	}
	x.log("power loss of all VMs, %s wiped", lost.name)
	inParallel(vms, func(p *process) {
		if err := x.restart(p); err != nil {
			l.record.violated("%s did not start after the power loss: %v", p.name, err)
		}
	})
	l.checkRecovery(ctx)
}

func inParallel(list []*process, do func(p *process)) {
	var all sync.WaitGroup
	for _, p := range list {
		all.Go(func() { do(p) })
	}
	all.Wait()
}
