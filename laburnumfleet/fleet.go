package laburnumfleet

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-kit/log"

	"laburnumlever"
	"laburnumlever/laburnumnode"
	"laburnumlever/laburnumsettings"
	"laburnumlever/laburnumstandin"
)

const (
	anyLoopbackPort   = "127.0.0.1:0"
	headerReadTimeout = 10 * time.Second
	// shutdownGrace exceeds the 0.9 s within which the load tool's balancer detects
	// that a VM is not ready.
	shutdownGrace = 1500 * time.Millisecond
	shutdownLimit = 30 * time.Second
)

// Fleet is a running fleet. It is safe for use by many goroutines.
type Fleet struct {
	spec           Spec
	catalogue      laburnumlever.Catalogue
	logger         log.Logger
	callersAddress string
	dataFolder     string
	withLinks      bool

	mu       sync.Mutex
	vms      []*fleetVM
	backends []*backend
	store    *http.Server
	links    []*vmLink
}

type fleetVM struct {
	spec VMSpec
	node *laburnumnode.Node
	// ended is true if an experiment's event killed or stopped the VM.
	ended bool
}

// backend is a stand-in backend server with its listener.
type backend struct {
	id      laburnumlever.BackendID
	handler *slowHandler
	server  *http.Server
	standIn standIn
}

// standIn is the interface that stand-in engines and plain services share.
type standIn interface {
	http.Handler
	Start()
	Leave()
	Close()
}

// Option configures a Fleet before it starts.
type Option func(*Fleet)

// WithLogger sets the VMs' logger; the default discards all log lines.
func WithLogger(logger log.Logger) Option {
	return func(f *Fleet) { f.logger = logger }
}

// WithCallersAddress sets the callers address of the first VM; all other listeners use
// free ports.
func WithCallersAddress(address string) Option {
	return func(f *Fleet) { f.callersAddress = address }
}

// Start starts the fleet and returns once all listeners accept connections. Errors:
// *StartError.
func Start(ctx context.Context, spec Spec, catalogue laburnumlever.Catalogue, opts ...Option) (*Fleet, error) {
	f := &Fleet{spec: spec, catalogue: catalogue, logger: log.NewNopLogger(), callersAddress: anyLoopbackPort}
	for _, opt := range opts {
		opt(f)
	}
	folder, err := os.MkdirTemp("", "laburnumlever-fleet-")
	if err != nil {
		return nil, &StartError{Part: "data folder", Cause: err}
	}
	f.dataFolder = folder
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	listen, advertised, err := f.peerAddresses(ctx)
	if err != nil {
		return err
	}
	for i := range f.spec.VMs {
		if err := f.startVM(i, listen[i], advertised); err != nil {
			return err
		}
	}
	store, err := f.startStore(ctx)
	if err != nil {
		return err
	}
	return f.startBackends(ctx, store)
}

func (f *Fleet) startVM(i int, listen string, peers []string) error {
	spec := f.spec.VMs[i]
	settings := f.settingsOf(i, peers)
	settings.Listen.Peers = listen
	settings.Advertise.Peers = peers[i]
	node, err := laburnumnode.New(settings, laburnumnode.WithLogger(log.With(f.logger, "vm", spec.VM)))
	if err != nil {
		return &StartError{Part: string(spec.VM), Cause: err}
	}
	if err := node.Start(); err != nil {
		return &StartError{Part: string(spec.VM), Cause: err}
	}
	f.vms = append(f.vms, &fleetVM{spec: spec, node: node})
	return nil
}

func (f *Fleet) settingsOf(i int, peers []string) laburnumsettings.Settings {
	spec := f.spec.VMs[i]
	settings := laburnumsettings.Default()
	settings.VM, settings.Zone, settings.Region = spec.VM, spec.Zone, spec.Region
	settings.Listen = laburnumsettings.Listen{Callers: anyLoopbackPort, Operators: anyLoopbackPort, Backends: anyLoopbackPort}
	if i == 0 {
		settings.Listen.Callers = f.callersAddress
	}
	settings.Shutdown = laburnumsettings.Shutdown{
		Grace: laburnumlever.Duration(shutdownGrace), Limit: laburnumlever.Duration(shutdownLimit),
	}
	for j, other := range f.spec.VMs {
		if j != i {
			settings.Seeds = append(settings.Seeds, peers[j])
		}
		if other.Disk {
			settings.Voters = append(settings.Voters, laburnumlever.Voter{VM: other.VM, PeerAddress: peers[j]})
		}
	}
	if spec.Disk {
		settings.DataFolder = filepath.Join(f.dataFolder, string(spec.VM))
	}
	return settings
}

func (f *Fleet) startStore(ctx context.Context) (string, error) {
	ln, err := listen(ctx)
	if err != nil {
		return "", err
	}
	limits := f.catalogue.Deployment.WeightStore
	store := laburnumstandin.NewWeightStore(limits.LoadsPerSecond, limits.ParallelLoads,
		laburnumstandin.WithLoadTime(time.Duration(f.spec.LoadTime)))
	f.store = &http.Server{Handler: store, ReadHeaderTimeout: headerReadTimeout}
	go func() { _ = f.store.Serve(ln) }()
	return ln.Addr().String(), nil
}

// Close ends all parts of the fleet at once and removes the data folders.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.backends {
		b.standIn.Close()
		_ = b.server.Close()
	}
	for _, vm := range f.vms {
		if !vm.ended {
			vm.node.Close()
		}
	}
	f.closeLinks()
	if f.store != nil {
		_ = f.store.Close()
	}
	_ = os.RemoveAll(f.dataFolder)
}

// OperatorsAddresses lists the operators addresses of the running VMs.
func (f *Fleet) OperatorsAddresses() []string {
	return f.addresses(func(listen laburnumsettings.Listen) string { return listen.Operators })
}

// CallersAddresses lists the callers addresses of the running VMs.
func (f *Fleet) CallersAddresses() []string {
	return f.addresses(func(listen laburnumsettings.Listen) string { return listen.Callers })
}

func (f *Fleet) addresses(of func(laburnumsettings.Listen) string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for _, vm := range f.vms {
		if !vm.ended {
			addresses = append(addresses, of(vm.node.Addresses()))
		}
	}
	return addresses
}
