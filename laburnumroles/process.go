package laburnumroles

import (
	"context"
	"net"
	"net/http"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumintake"
	"laburnumlever/laburnummetrics"
	"laburnumlever/laburnumpeer"
	"laburnumlever/laburnumsettings"
	"laburnumlever/laburnumsocket"
	"laburnumlever/laburnumtimer"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// headerTimeout bounds the time for a request's headers, so that half-open connections are closed.
const headerTimeout = 5 * time.Second

// requestTimeout bounds the time for a whole request, of which the longest is a change of the routes.
const requestTimeout = 10 * time.Second

// maxHeaderBytes bounds a request's head, in bytes. Those of backend servers, operators and other VMs have some hundred.
const maxHeaderBytes = 16 << 10

// idleTimeout is about three heartbeat periods. Backend servers that switched to another control VM leave
// their connections open, and thousands of these exhaust a control VM's memory.
const idleTimeout = 4 * time.Second

// process is the part common to both kinds of VM.
type process struct {
	settings laburnumsettings.RoleSettings
	logger   log.Logger
	metrics  *laburnummetrics.Metrics
	timers   laburnumlever.Timers
	self     laburnumlever.VM
	peers    *laburnumpeer.Peers
	intake   *laburnumintake.Intake
	// messages has room of its own for those of other VMs, as clients must not cut the links between VMs.
	messages *laburnumintake.Intake
	servers  []*http.Server
	// served are closed once the servers have ended and their ports are free.
	served []<-chan struct{}
	// peerListener is closed before the links, so that the address is free for a restarted process.
	peerListener net.Listener
}

// Option configures a process.
type Option func(*process)

// WithLogger sets the logger; the default discards everything.
func WithLogger(logger log.Logger) Option { return func(p *process) { p.logger = logger } }

// WithMetrics sets the metrics; the default is a new laburnummetrics.Metrics.
func WithMetrics(metrics *laburnummetrics.Metrics) Option {
	return func(p *process) { p.metrics = metrics }
}

// WithTimers sets the timer service; the default uses the machine's clock.
func WithTimers(timers laburnumlever.Timers) Option {
	return func(p *process) { p.timers = timers }
}

func newProcess(settings laburnumsettings.RoleSettings, opts []Option) process {
	p := process{settings: settings, logger: log.NewNopLogger()}
	for _, opt := range opts {
		opt(&p)
	}
	if p.metrics == nil {
		p.metrics = laburnummetrics.New()
	}
	if p.timers == nil {
		p.timers = laburnumtimer.New()
	}
	p.intake = laburnumintake.New(p.timers, laburnumintake.NewLimits(settings.MemoryMB, settings.Descriptors))
	p.messages = laburnumintake.New(p.timers, p.intake.Limits())
	p.self = laburnumlever.VM{
		ID: settings.VM, Zone: settings.Zone, Region: settings.Region, PeerAddress: settings.PeerAddress(),
		HasDisk: settings.DataFolder != "", Incarnation: uint64(time.Now().UnixNano()),
	}
	p.peers = laburnumpeer.New(p.self.ID, laburnumpeer.WithLogger(p.logger),
		laburnumpeer.WithScope(p.metrics.Scope()), laburnumpeer.WithLocalIP(p.localIP()), laburnumpeer.WithIntake(p.messages),
		laburnumpeer.WithMaxHandlers(max(minPeerHandlers, int(peerHandlerShare*float64(settings.Descriptors)))))
	return p
}

// localIP is the address at which other VMs reach this one.
func (p *process) localIP() net.IP {
	host, _, _ := net.SplitHostPort(p.self.PeerAddress)
	return net.ParseIP(host)
}

func listen(name, address string) (net.Listener, error) {
	var cfg net.ListenConfig
	ln, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, &laburnumlever.ListenError{Name: name, Address: address, Cause: err}
	}
	return ln, nil
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: laburnumintake.Handler(handler), ConnState: laburnumintake.ConnState, ConnContext: laburnumsocket.NewContext,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// serve listens on an address and serves a number of connections; with an empty address it does nothing.
func (p *process) serve(name, address string, connections int, server *http.Server) error {
	if address == "" {
		return nil
	}
	ln, err := listen(name, address)
	if err != nil {
		return err
	}
	p.serveOn(p.intake.Listen(ln, connections), name, server)
	return nil
}

func (p *process) serveOn(ln net.Listener, name string, server *http.Server) {
	p.servers = append(p.servers, server)
	served := make(chan struct{})
	p.served = append(p.served, served)
	go func() {
		defer close(served)
		if err := server.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			_ = level.Error(p.logger).Log("event", laburnumlever.EventListenerEnded, "listener", name, "cause", err)
		}
	}()
}

const (
	// peerHandlerShare is the share of a process's file descriptors that bounds concurrent calls from
	// other VMs: each VM has one connection with one or two long polls on it.
	peerHandlerShare = 0.25
	// minPeerHandlers is the least bound; it applies when the number of descriptors is not set.
	minPeerHandlers = 512
)

// serveBackends serves backend servers and operators. After an outage thousands of backend servers try one control VM after the
// other; connections over the share of clients wait, so that gateways and control VMs can still connect.
func (p *process) serveBackends(name, address string, server *http.Server) error {
	ln, err := listen(name, address)
	if err != nil {
		return err
	}
	p.serveOn(p.intake.Listen(ln, p.intake.Limits().Connections(), laburnumintake.WithWaiting()), name, server)
	return nil
}

// servePeers serves calls from the other VMs.
func (p *process) servePeers() error {
	ln, err := listen("peers", p.settings.PeerListen())
	if err != nil {
		return err
	}
	ln = p.intake.Listen(ln, p.intake.Limits().Peers(), laburnumintake.WithPeers())
	p.peerListener = ln
	go func() {
		if err := p.peers.Serve(ln); err != nil && !errors.Is(err, net.ErrClosed) {
			_ = level.Error(p.logger).Log("event", laburnumlever.EventListenerEnded, "listener", "peers", "cause", err)
		}
	}()
	return nil
}

// seedPeers returns the peer addresses of the seeds.
func (p *process) seedPeers() []string {
	var addresses []string
	for _, v := range p.settings.SeedVoters() {
		addresses = append(addresses, v.PeerAddress)
	}
	return addresses
}

func (p *process) close() {
	for _, server := range p.servers {
		_ = server.Close()
	}
	if p.peerListener != nil {
		_ = p.peerListener.Close()
	}
	_ = p.peers.Close()
	for _, served := range p.served {
		<-served // a server that has just started closes its listener late
	}
}

// reload applies changed seeds. Listeners and the data folder can't change while the process runs.
func (p *process) reload(settings laburnumsettings.RoleSettings, follower *laburnumfeed.Follower) {
	for _, v := range settings.SeedVoters() {
		follower.Follow(v.PeerAddress)
	}
	_ = level.Info(p.logger).Log("event", laburnumlever.EventSettingsReloaded, "seeds", settings.Seeds)
}
