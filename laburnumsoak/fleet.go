package laburnumsoak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumdiskfault"
	"laburnumlever/laburnumsettings"
)

const (
	controlVMs        = 4
	gatewayVMs        = 2
	serversPerService = 2
	// MaxGateways is the number of gateways that have addresses.
	MaxGateways = firstServer - firstGateway
	// seedVMs is how many control VMs the settings name.
	seedVMs = 3
	// The ports are the same on all VMs, each of which has its own address.
	peerPort, controlPort, callerPort, readyPort = 7380, 8080, 8081, 8082
	// peerListenPort and serverListenPort are the targets of the links that listen on
	// peerPort and serverPort.
	peerListenPort, serverPort, serverListenPort = 7381, 8090, 8091
	// firstGateway is the last octet of the first gateway's address.
	firstGateway = 50
	// firstServer is the last octet of the first backend server's address.
	firstServer = 100
	// serverSlots is the number of requests that a backend server runs at once, serverQueue that of those that wait, and
	// serverDelay how long it works on one.
	serverSlots, serverQueue = 4, 4
	serverDelay              = 20 * time.Millisecond
	// maxPace is how long work takes at most on the machines of some services, in percent of the usual time.
	maxPace = 250
	// ranPrefix starts the line that a stand-in prints for each request it runs.
	ranPrefix = "ran "
	// brokenPrefix starts the line that it prints for each VM that sends it more than it asked for.
	brokenPrefix = "broken "
)

// fleet is the set of processes and links of a run.
type fleet struct {
	cfg      Config
	net      string
	record   *recorder
	controls []*process
	gateways []*process
	servers  []*process
	// drafts are the backend servers of a service of two software versions; versions are those that they run.
	drafts   []*process
	versions [draftServers]atomic.Int64
	// steady are the backend servers that fall silent and never end.
	steady []*process
	// garbling are the backend servers that spoil answers.
	garbling []*process
	// disturbances are when VMs last had a fault.
	disturbances disturbances
	// links are in front of the peer listeners of all VMs and of the backend servers.
	links []*faultLink
	// bootstrapped is set once the log exists: later starts are not a first start.
	bootstrapped atomic.Bool
	// serverExited is called when a backend server has crashed.
	serverExited func(p *process)
	starts       atomic.Int64
}

// newFleet defines the processes without starting them. The network is random and not derived
// from the seed, so that concurrent runs with the same seed don't collide.
func newFleet(cfg Config, r *recorder) *fleet {
	const most = 250
	f := &fleet{cfg: cfg, record: r, serverExited: func(*process) {}, net: fmt.Sprintf("127.%d.%d", 1+rand.IntN(most), 1+rand.IntN(most))}
	for i := range controlVMs {
		p := f.vm("control", fmt.Sprintf("control-%d", i+1), i+1)
		if cfg.Disks {
			p.disk = laburnumdiskfault.New(f.dataFolder(p.name))
		}
		f.controls = append(f.controls, p)
	}
	for i := range max(gatewayVMs, min(cfg.Gateways, MaxGateways)) {
		p := f.vm("gateway", fmt.Sprintf("gateway-%d", i+1), firstGateway+i)
		if cfg.releasesVersions() {
			p.older = "" // an earlier build may take no notice of software versions
		}
		f.gateways = append(f.gateways, p)
	}
	for i := range serversPerService {
		f.servers = append(f.servers,
			f.server(fmt.Sprintf("booking-%d", i+1), "booking", firstServer+2*i),
			f.server(fmt.Sprintf("quotes-%d", i+1), "quotes", firstServer+2*i+1))
	}
	for i := range draftServers {
		f.drafts = append(f.drafts, f.draftServer(i))
	}
	f.steady = f.steadyServers()
	f.garbling = f.garblingServers()
	return f
}

func (f *fleet) address(number, port int) string { return fmt.Sprintf("%s.%d:%d", f.net, number, port) }

func (f *fleet) control(i int) string { return f.address(i+1, controlPort) }

func (f *fleet) gateway(i int) string { return f.address(firstGateway+i, callerPort) }

// anyGateway returns the index of a random gateway.
func (f *fleet) anyGateway() int { return rand.IntN(len(f.gateways)) }

// vm defines a gateway or control VM. Its settings file is rewritten at each start.
func (f *fleet) vm(role, name string, number int) *process {
	f.addLink(name, f.address(number, peerPort), f.address(number, peerListenPort))
	p := &process{name: name, program: f.cfg.Program, older: f.cfg.Older, folder: f.cfg.Folder, onUnexpectedExit: f.record.processExited}
	if role == "gateway" {
		p.onLine = f.record.slowCallerEnded
		p.onStopped = func(sig syscall.Signal, asked time.Time) { f.record.gatewayEnded(name, sig, asked) }
	}
	p.args = func() []string {
		path := filepath.Join(f.cfg.Folder, name+".jsonc")
		data := f.settingsText(f.settings(role, name, number), p.runs == f.cfg.Program)
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return nil // the process then reports the missing arguments
		}
		return []string{role, "--settings", path}
	}
	return p
}

func (f *fleet) settings(role, name string, number int) laburnumsettings.RoleSettings {
	second := laburnumlever.Duration(time.Second)
	s := laburnumsettings.RoleSettings{
		VM: laburnumlever.VMID(fmt.Sprintf("%s.%d", f.net, number)), Name: name, Zone: "brest", Region: "bretagne",
		PeerPort: peerPort, FirstStart: !f.bootstrapped.Load(), ControlLosses: 1,
		Times:          laburnumsettings.RoleTimes{Heartbeat: second, Grace: 4 * second, Lease: 3 * second, CatchUp: 4 * second, Apply: 2 * second, Revoke: laburnumlever.Duration(revokeTime)},
		Quota:          laburnumsettings.RoleQuota{Overshoot: quotaOvershoot, Slack: quotaSlack, Window: laburnumlever.Duration(quotaWindow)},
		Retry:          laburnumsettings.RoleRetry{Ratio: 0.2, Slack: 52, Window: 10 * second},
		SharedMachines: laburnumsettings.RoleSharedMachines{Looks: true, ByUrgency: true, KnownReturns: true},
		StoreWindow:    5 * second, StoreOvershoot: 1.1, ChecksFencing: true, Log: laburnumsettings.Log{Level: "info"},
	}
	for i := range seedVMs {
		s.Seeds = append(s.Seeds, f.control(i))
	}
	s.Listen.Peers = f.address(number, peerListenPort)
	if role == "control" {
		s.Listen.Control, s.DataFolder = f.address(number, controlPort), f.dataFolder(name)
		return s
	}
	s.Listen.Callers, s.Listen.Ready = f.address(number, callerPort), f.address(number, readyPort)
	return s
}

// settingsText returns the settings for the new build or an earlier one, which does not know all of them.
func (f *fleet) settingsText(s laburnumsettings.RoleSettings, isNew bool) []byte {
	data, _ := json.Marshal(s) //nolint:errchkjson // texts and numbers only
	if isNew {
		return data
	}
	var keys map[string]json.RawMessage
	_ = json.Unmarshal(data, &keys) // it has just been encoded
	delete(keys, "shared-machines")
	data, _ = json.Marshal(keys) //nolint:errchkjson // as above
	return data
}

func (f *fleet) dataFolder(name string) string { return filepath.Join(f.cfg.Folder, "data-"+name) }

// server defines a backend server; each start has a new instance id.
func (f *fleet) server(name, service string, number int) *process {
	link := f.addLink(name, f.address(number, serverPort), f.address(number, serverListenPort))
	p := &process{name: name, service: service, program: f.cfg.Program, folder: f.cfg.Folder, link: link, address: f.address(number, serverListenPort)}
	p.onUnexpectedExit = func(p *process) {
		f.record.fell(service)
		f.serverExited(p)
	}
	p.args = func() []string {
		args := append(f.serverArgs(p, number),
			"--crash-text", crashText, "--crash-part", crashPart, "--slots", strconv.Itoa(serverSlots), "--queue", strconv.Itoa(serverQueue), "--delay", serverDelay.String())
		if service == "quotes" {
			args = append(args, "--model", "m0", "--max-pace", strconv.Itoa(maxPace))
		}
		return args
	}
	p.onLine = func(text string) {
		run, ok := strings.CutPrefix(text, ranPrefix)
		id, account, _ := strings.Cut(run, " ")
		if ok {
			f.record.ranOn(name)
			f.record.ranFor(id, account)
		}
		if ok && service == "booking" {
			f.record.requestRan(id)
		}
		if kind, _, found := strings.Cut(strings.TrimPrefix(id, crashText+"-"), "-"); ok && found && strings.HasPrefix(id, crashText) {
			f.record.crashingRan(kind)
		}
	}
	return p
}

// serverArgs are the arguments of every backend server.
func (f *fleet) serverArgs(p *process, number int) []string {
	args := []string{
		"stand-in", "platform-server", "--listen", p.address, "--announce", f.address(number, serverPort),
		"--id", fmt.Sprintf("i-%s-%d", p.name, f.starts.Add(1)), "--service", p.service, "--announce-period", "300ms", "--print-runs",
	}
	for i := range controlVMs {
		args = append(args, "--control", f.control(i))
	}
	return args
}

func (f *fleet) all() []*process {
	var list []*process
	list = append(list, f.controls...)
	list = append(list, f.gateways...)
	list = append(list, f.servers...)
	list = append(list, f.drafts...)
	list = append(list, f.steady...)
	return append(list, f.garbling...)
}

func (f *fleet) start() error {
	for _, l := range f.links {
		if err := l.open(); err != nil {
			return err
		}
	}
	for _, p := range f.all() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}
