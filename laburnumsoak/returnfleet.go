package laburnumsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumdiskfault"
	"laburnumlever/laburnumsettings"
	"laburnumlever/laburnumstandin"
)

// firstReturnServer is the last octet of the first engine's address.
const firstReturnServer = 130

// returnStarts is how often a VM that exits is started.
const returnStarts = 10

// returnZones are the zones of the deployment.
var returnZones = []string{"a", "b", "c", "d"}

// returnVM is a VM of a deployment whose VMs return.
type returnVM struct {
	*process
	isControl bool
	number    int
	zone      string
	gone      bool
}

// returnFleet is a deployment whose VMs return.
type returnFleet struct {
	cfg        ReturnsConfig
	net        string
	firstStart bool
	stages     *stages
	// processors are those that all VMs share; nil for any.
	processors *processors
	// lights end the darkness of VMs without power.
	lights map[*returnVM]func()

	mu       sync.Mutex
	controls []*returnVM
	gateways []*returnVM
	engines  []*laburnumstandin.PlatformServer
	servers  []*http.Server
	spares   int
}

func newReturnFleet(cfg ReturnsConfig, shared *processors) *returnFleet {
	const most = 250
	f := &returnFleet{cfg: cfg, net: fmt.Sprintf("127.%d.%d", 1+rand.IntN(most), 1+rand.IntN(most)), firstStart: true, stages: newStages(), processors: shared}
	for i := range returnControls {
		f.controls = append(f.controls, f.vm(true, i+1))
	}
	for i := range cfg.Gateways {
		f.gateways = append(f.gateways, f.vm(false, firstGateway+i))
	}
	return f
}

func (f *returnFleet) address(number, port int) string {
	return fmt.Sprintf("%s.%d:%d", f.net, number, port)
}

func (f *returnFleet) dataFolder(name string) string {
	return filepath.Join(f.cfg.Folder, "data-"+name)
}

func (f *returnFleet) vm(isControl bool, number int) *returnVM {
	role := "gateway"
	if isControl {
		role = "control"
	}
	name := fmt.Sprintf("%s-%d", role, number)
	vm := &returnVM{isControl: isControl, number: number, zone: returnZones[number%len(returnZones)]}
	vm.process = &process{name: name, program: f.cfg.Program, folder: f.cfg.Folder, processors: f.processors}
	command := []string{role}
	if !isControl && f.cfg.GatewayProgram != "" {
		vm.program, command = f.cfg.GatewayProgram, nil
	}
	if f.cfg.Processors > 0 {
		vm.environment = []string{fmt.Sprintf("GOMAXPROCS=%d", f.cfg.Processors)}
	}
	if isControl && f.cfg.SyncTime > 0 {
		vm.disk = laburnumdiskfault.New(f.dataFolder(name))
		vm.disk.Set(laburnumdiskfault.State{Mode: laburnumdiskfault.Slow, Delay: f.cfg.SyncTime})
	}
	vm.onLine = func(line string) { f.stages.line(vm, line) }
	vm.args = func() []string {
		path := filepath.Join(f.cfg.Folder, name+".json")
		data, _ := json.Marshal(f.settings(vm)) //nolint:errchkjson // texts and numbers only
		_ = os.WriteFile(path, data, 0o600)     // the process then reports that it is missing
		return append(slices.Clone(command), "--settings", path)
	}
	return vm
}

func (f *returnFleet) settings(vm *returnVM) laburnumsettings.RoleSettings {
	second := laburnumlever.Duration(time.Second)
	s := laburnumsettings.RoleSettings{
		VM: laburnumlever.VMID(fmt.Sprintf("%s.%d", f.net, vm.number)), Name: vm.name, Zone: laburnumlever.ZoneName(vm.zone), Region: "south",
		PeerPort: peerPort, MetricsPort: 9464, FirstStart: f.firstStart, ControlLosses: returnLosses, Descriptors: 4096, MemoryMB: 184,
		Times: laburnumsettings.RoleTimes{
			Heartbeat: laburnumlever.Duration(returnHeartbeat), Grace: 8 * second, Lease: 3 * second, CatchUp: laburnumlever.Duration(returnCatchUp),
			Apply: 5 * second / 2, Revoke: laburnumlever.Duration(returnRevoke),
		},
		Quota:          laburnumsettings.RoleQuota{Overshoot: 0.1, Slack: 7400, Window: laburnumlever.Duration(returnQuotaTime)},
		Retry:          laburnumsettings.RoleRetry{Ratio: 0.2, Slack: 178, Window: 10 * second},
		SharedMachines: laburnumsettings.RoleSharedMachines{Looks: true, KnownReturns: true},
		StoreWindow:    5 * second, StoreOvershoot: 1.1, ChecksFencing: true, RememberServers: true, Log: laburnumsettings.Log{Level: "info"},
	}
	for _, control := range f.controlList() {
		if len(s.Seeds) < seedVMs && !control.gone {
			s.Seeds = append(s.Seeds, f.address(control.number, controlPort))
		}
	}
	if vm.isControl {
		s.MemoryMB = 280
		s.Listen.Control, s.DataFolder = f.address(vm.number, controlPort), f.dataFolder(vm.name)
		return s
	}
	s.Listen.Callers, s.Listen.Ready = f.address(vm.number, callerPort), f.address(vm.number, readyPort)
	return s
}

func (f *returnFleet) vms() []*returnVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(slices.Clone(f.controls), f.gateways...)
}

func (f *returnFleet) controlList() []*returnVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.controls)
}

func (f *returnFleet) start() error {
	if err := f.startEngines(); err != nil {
		return err
	}
	return f.startAll(f.vms(), returnStagger, rand.New(rand.NewPCG(f.cfg.Seed, 1)), 0) //nolint:gosec // repeatable
}

// startAll starts VMs in any order. The first control VM returns later than the others by late, or never.
func (f *returnFleet) startAll(vms []*returnVM, stagger time.Duration, random *rand.Rand, late time.Duration) error {
	var all sync.WaitGroup
	errs := make(chan error, len(vms))
	never := 0
	for i, vm := range vms {
		pause := time.Duration(random.Int64N(int64(stagger) + 1))
		switch {
		case late > 0 && i == max(0, len(vms)-1-f.cfg.Gateways):
			pause = late
		case late < 0 && vm.isControl && never < returnLosses:
			never++
			vm.gone = true
			continue
		}
		all.Go(func() {
			time.Sleep(pause)
			if light := f.lights[vm]; light != nil {
				light()
			}
			f.stages.up(vm)
			errs <- f.startAgain(vm)
		})
	}
	all.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// startAgain starts a VM and, as a service manager does, starts it again if it exits.
func (f *returnFleet) startAgain(vm *returnVM) error {
	for attempt := 1; ; attempt++ {
		err := vm.start()
		if err == nil || attempt == returnStarts || !vm.hasEnded() {
			return err
		}
		f.cfg.print("   %s exited at its start", vm.name)
		time.Sleep(restartPause)
	}
}

func (f *returnFleet) signalAll(vms []*returnVM, sig syscall.Signal) {
	for _, vm := range vms {
		if vm.cmd != nil {
			vm.stopRequested.Store(true)
			vm.signal(sig)
		}
	}
	var all sync.WaitGroup
	for _, vm := range vms {
		all.Go(func() { vm.stop(sig) })
	}
	all.Wait()
}

// choose picks control VMs, the leader among them if that is wanted.
func (f *returnFleet) choose(random *rand.Rand, n int, leader bool) []*returnVM {
	list := slices.DeleteFunc(f.controlList(), func(vm *returnVM) bool { return vm.gone })
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if leader {
		slices.SortStableFunc(list, func(a, b *returnVM) int {
			if a.name == f.stages.leader() {
				return -1
			}
			if b.name == f.stages.leader() {
				return 1
			}
			return 0
		})
	}
	return list[:min(n, len(list))]
}

// replace removes a control VM for good and starts another one at a new address.
func (f *returnFleet) replace(random *rand.Rand) error {
	old := f.choose(random, 1, random.IntN(2) == 0)[0]
	if f.spares >= returnSpares {
		return nil
	}
	next := f.vm(true, returnControls+1+f.spares)
	f.spares++
	old.stop(syscall.SIGKILL)
	f.mu.Lock()
	f.controls = append(slices.DeleteFunc(f.controls, func(vm *returnVM) bool { return vm == old }), next)
	f.mu.Unlock()
	f.cfg.print("replaced %s by %s", old.name, next.name)
	f.stages.up(next)
	return next.start()
}

// startEngines starts the engines and the servers of the other service.
func (f *returnFleet) startEngines() error {
	const plainServers = 4
	for i := range f.cfg.Engines + plainServers {
		number := firstReturnServer + i
		ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", f.address(number, serverPort))
		if err != nil {
			return &StartError{Process: fmt.Sprintf("engine-%d", i), Cause: err}
		}
		service, models := returnEngineService, []string{modelName(2 * i % f.cfg.Models), modelName((2*i + 1) % f.cfg.Models)}
		behaviour := laburnumstandin.PlatformBehaviour{Delay: serverDelay, Slots: 24, Queue: 50, EventPause: f.cfg.EventPause, Zone: returnZones[i%len(returnZones)]}
		if i >= f.cfg.Engines {
			service, models = returnPlainService, nil
		}
		var controls []string
		for j := range returnControls + returnSpares {
			controls = append(controls, f.address(1+(i+j)%(returnControls+returnSpares), controlPort))
		}
		engine := laburnumstandin.NewPlatformServer(fmt.Sprintf("i-%08x", i), service, f.address(number, serverPort), controls, models, behaviour)
		server := &http.Server{Handler: engine, ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(ln) }()
		engine.Start(returnHeartbeat)
		f.engines, f.servers = append(f.engines, engine), append(f.servers, server)
	}
	return nil
}

func (f *returnFleet) closeEngines() {
	for i := range f.engines {
		f.engines[i].Close()
		_ = f.servers[i].Close()
	}
}

func (f *returnFleet) stop() {
	f.signalAll(slices.DeleteFunc(f.vms(), func(vm *returnVM) bool { return vm.cmd == nil }), syscall.SIGKILL)
}
