package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The bounds of the small deployment, as in the sheets of the pages.
const (
	heartbeatPeriod = 1200 * time.Millisecond
	contactTime     = 3 * time.Second
	drainTime       = 2 * time.Second
	memoryMB        = 284
	controlFirst    = 10 // last octets of the addresses
	gatewayFirst    = 50
	serverFirst     = 100
)

var zones = []string{"rennes-a", "rennes-b", "brest", "vannes"}

// size is the number of machines of a deployment.
type size struct{ controls, gateways int }

// ports are the same on all machines.
type ports struct{ front, ready, control, peer, server int }

// deployment is a small deployment on loopback addresses of its own.
type deployment struct {
	record  *record
	program string
	folder  string
	network string
	ports   ports

	mu       sync.Mutex
	procs    []*machine
	controls []*machine
	gateways []*machine
	closers  []func()
	version  int
}

// machine is a machine of the system, which runs one process.
type machine struct {
	d        *deployment
	name     string
	role     string
	zone     string
	ip       string
	started  bool
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	expected bool // the end of the process
	ends     int
}

func newDeployment(program string, rec *record, s size) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the program is missing: run the build of the deploy file: %w", err)
	}
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: rec, program: program, folder: folder}
	d.network = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
	if err := d.pickPorts(); err != nil {
		return nil, err
	}
	for i := range s.controls {
		d.controls = append(d.controls, d.newMachine("control", i, controlFirst))
	}
	for i := range s.gateways {
		d.gateways = append(d.gateways, d.newMachine("gateway", i, gatewayFirst))
	}
	d.procs = append(append(d.procs, d.controls...), d.gateways...)
	return d, nil
}

// pickPorts picks ports that are free on the network's first address.
func (d *deployment) pickPorts() error {
	for _, port := range []*int{&d.ports.front, &d.ports.ready, &d.ports.control, &d.ports.peer, &d.ports.server} {
		ln, err := net.Listen("tcp", d.network+".1:0")
		if err != nil {
			return err
		}
		defer func() { _ = ln.Close() }()
		*port = ln.Addr().(*net.TCPAddr).Port
	}
	return nil
}

func (d *deployment) newMachine(role string, i, first int) *machine {
	zone := zones[i%len(zones)]
	return &machine{
		d: d, name: fmt.Sprintf("%s-%s-%d", role, zone, 1+i/len(zones)), role: role, zone: zone,
		ip: fmt.Sprintf("%s.%d", d.network, first+i),
	}
}

func (m *machine) frontAddress() string   { return fmt.Sprintf("%s:%d", m.ip, m.d.ports.front) }
func (m *machine) readyAddress() string   { return fmt.Sprintf("%s:%d", m.ip, m.d.ports.ready) }
func (m *machine) controlAddress() string { return fmt.Sprintf("%s:%d", m.ip, m.d.ports.control) }

// settings renders the settings as the deploy file's template does for the small deployment.
func (m *machine) settings() map[string]any {
	var seeds []string
	for _, c := range m.d.controls[:min(3, len(m.d.controls))] {
		seeds = append(seeds, c.controlAddress())
	}
	s := map[string]any{
		"vm": m.ip, "name": m.name, "zone": m.zone, "region": "bretagne",
		"peer-port": m.d.ports.peer, "metrics-port": 9464, "seeds": seeds, "first-start": !m.started,
		"memory-mb": memoryMB, "descriptors": 4200, "control-losses": 1,
		"times":        map[string]any{"heartbeat": "1200ms", "grace": "8s", "lease": "3000ms", "catch-up": "4s", "apply": "2000ms"},
		"retry":        map[string]any{"ratio": 0.2, "slack": 52, "window": "10s"},
		"store-window": "5s", "store-overshoot": 1.1, "checks-fencing": true, "remember-servers": true,
		"shared-machines": map[string]any{"looks": true, "by-urgency": false, "known-returns": true},
		"log":             map[string]any{"level": "info"},
	}
	if m.role == "control" {
		s["listen"] = map[string]any{"control": m.controlAddress()}
		s["data-folder"] = filepath.Join(m.d.folder, "data-"+m.name)
	} else {
		s["listen"] = map[string]any{"callers": m.frontAddress(), "ready": m.readyAddress()}
	}
	return s
}

// start starts the process of a machine.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	path := filepath.Join(m.d.folder, m.name+".jsonc")
	text, err := json.Marshal(m.settings())
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	if m.role == "control" {
		if err := os.MkdirAll(filepath.Join(m.d.folder, "data-"+m.name), 0o700); err != nil {
			return err
		}
	}
	m.started = true
	out, err := os.OpenFile(filepath.Join(m.d.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(m.d.program, m.role, "--settings", path)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.d.folder, "LANG=C.UTF-8"}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.done, m.expected = cmd, make(chan struct{}), false
	m.d.record.notef("%s started, pid %d, %s", m.name, cmd.Process.Pid, m.ip)
	done := m.done
	go func() {
		err := cmd.Wait()
		m.mu.Lock()
		expected := m.expected
		m.ends++
		m.mu.Unlock()
		m.d.record.notef("%s ended, as asked %t: %v", m.name, expected, err)
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	m.expected = m.expected || sig == syscall.SIGKILL || sig == syscall.SIGTERM
	m.d.record.notef("%s gets %s", m.name, sig)
	_ = m.cmd.Process.Signal(sig)
}

func (m *machine) await() { <-m.done }

func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Pid
}

// startAll starts all machines and waits until the control VMs accept the first manifest.
func (d *deployment) startAll(ctx context.Context, first map[string]any) error {
	for _, m := range d.procs {
		if err := m.start(); err != nil {
			return err
		}
	}
	status, err := d.putManifest(ctx, first, 30*time.Second)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("the first manifest was answered %d", status)
	}
	return nil
}

// awaitReady waits until all gateways are ready, which takes known backend servers.
func (d *deployment) awaitReady(ctx context.Context, limit time.Duration) error {
	end := time.Now().Add(limit)
	for {
		ready := 0
		for _, m := range d.gateways {
			if m.ready() {
				ready++
			}
		}
		if ready == len(d.gateways) {
			return nil
		}
		if time.Now().After(end) || !pause(ctx, 100*time.Millisecond) {
			return fmt.Errorf("%d of %d gateways are ready", ready, len(d.gateways))
		}
	}
}

// ready reports whether the machine answers the platform's check with 200.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.readyAddress() + "/v1/ready")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// The operator and engines wait a second for an answer, the operator longer for a large body.
const (
	answerTime = time.Second
	timePerMB  = time.Second
)

var operatorClient = http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// putManifest sends a manifest to the control VMs in turn until one gives a clear answer, as the operator does.
func (d *deployment) putManifest(ctx context.Context, manifest map[string]any, limit time.Duration) (int, error) {
	body, err := json.Marshal(manifest)
	if err != nil {
		return 0, err
	}
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		m := d.controls[i%len(d.controls)]
		status, text, err := call(ctx, http.MethodPut, "http://"+m.controlAddress()+"/v1/config", body)
		d.record.notef("operator: PUT version %v, %d bytes, to %s: %d %v %s", manifest["version"], len(body), m.name, status, err, bytes.TrimSpace(text))
		if err == nil && status < http.StatusInternalServerError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status, nil
		}
		if !pause(ctx, 200*time.Millisecond) {
			break
		}
	}
	return 0, errors.New("no control VM gave a clear answer to the manifest")
}

// call makes a call of the operator or of an engine.
func call(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	limit := answerTime + time.Duration(len(body))*timePerMB/(1<<20)
	if method == http.MethodGet {
		limit = 5 * answerTime
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := operatorClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, text, err
}

// pause waits; it returns false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// onClose has a function called at the end of the case.
func (d *deployment) onClose(fn func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closers = append(d.closers, fn)
}

// close ends all processes that were started and removes the folder.
func (d *deployment) close() {
	for _, m := range d.procs {
		m.mu.Lock()
		cmd, done := m.cmd, m.done
		m.expected = true
		m.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-done
		}
	}
	for _, fn := range d.closers {
		fn()
	}
	_ = os.RemoveAll(d.folder)
}

// context is the context of calls that outlive the call that caused them.
func (d *deployment) context() context.Context { return context.Background() }
