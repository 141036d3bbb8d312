package laburnumroles

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumoverload"
	"laburnumlever/laburnumquota"
	"laburnumlever/laburnumsettings"
	"laburnumlever/laburnumtunnel"
	"laburnumlever/laburnumupstream"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
)

// kindNotDirector identifies a *laburnumdirector.NotDirectorError on the wire.
const kindNotDirector = "not-director"

// sweepPeriod is the interval between sweeps that close idle connections.
const sweepPeriod = time.Second

const (
	// bufferShare is the part of the VM's memory for large answers that are held at once, one in so many bytes.
	bufferShare = 8
	// defaultBufferBudget is their memory in bytes if that of the VM is not known.
	defaultBufferBudget = 32 << 20
)

// closeTime is kept of the time for a shutdown, so that the last answers are written before their connections are closed.
const closeTime = 150 * time.Millisecond

// Gateway is a gateway VM's process.
type Gateway struct {
	process
	fleet    *laburnumgateway.Fleet
	gateway  *laburnumgateway.Gateway
	callers  *laburnumgateway.Callers
	follower *laburnumfeed.Follower
	// tunnels carries connections of other gateways.
	tunnels *laburnumtunnel.Server
}

// NewGateway returns a gateway that is not started.
func NewGateway(settings laburnumsettings.RoleSettings, dialect laburnumlever.Dialect, opts ...Option) *Gateway {
	g := &Gateway{process: newProcess(settings, opts)}
	seed := xxhash.Sum64String(string(g.self.ID))
	reporter := newQuarantineReporter(g.peers, g.timers, g.logger, func() []string { return g.follower.Controls() })
	calls := newKeeperCalls(g.peers, g.timers)
	controlsFor := func(zone laburnumlever.ZoneName, id laburnumlever.BackendID) []string {
		return g.follower.ControlsFor(zone, string(id))
	}
	keepers := newLimitKeepers(calls, g.timers, g.logger, controlsFor)
	trials := &trialKeepers{calls: calls, logger: g.logger, controls: func(digest laburnumlever.RequestDigest) []string {
		return g.follower.ControlsFor("", digest.String())
	}}
	terms := laburnumquota.Terms(settings.Quota.Terms())
	quotas := &quotaKeepers{calls: calls, terms: terms, self: g.self, follower: func() *laburnumfeed.Follower { return g.follower }}
	keepStreams := newStreamKeepers(calls, g.timers, g.logger, g.self, settings.ControlLosses, func() *laburnumfeed.Follower { return g.follower })
	confirmer := routesConfirmer{
		peers: g.peers, timers: g.timers, self: g.self,
		follower: func() *laburnumfeed.Follower { return g.follower }, fleet: func() *laburnumgateway.Fleet { return g.fleet },
	}
	g.fleet = laburnumgateway.NewFleet(g.timers, g.self, time.Duration(settings.Times.Heartbeat), seed,
		laburnumgateway.WithFleetLogger(g.logger), laburnumgateway.WithQuarantineReporter(reporter), laburnumgateway.WithTrialKeepers(trials), laburnumgateway.WithLimitKeepers(keepers),
		laburnumgateway.WithConnectionKeepers(newConnectionKeepers(calls, g.timers, g.logger, controlsFor)),
		laburnumgateway.WithQuotaKeepers(quotas, terms), laburnumgateway.WithSharedMachines(settings.SharedMachines.Decisions()),
		laburnumgateway.WithStreamKeepers(keepStreams), laburnumgateway.WithFirstStart(settings.FirstStart),
		laburnumgateway.WithRoutesConfirmer(confirmer, laburnumgateway.KeyTimes{
			Revoke: time.Duration(settings.Times.Revoke), Apply: time.Duration(settings.Times.Apply),
		}))
	scope := g.metrics.Scope()
	g.gateway = laburnumgateway.New(g.fleet, dialect, g.timers,
		laburnumgateway.WithLogger(g.logger), laburnumgateway.WithScope(scope),
		laburnumgateway.WithPool(laburnumupstream.New(
			laburnumupstream.WithScope(scope), laburnumupstream.WithLocalIP(g.localIP()), laburnumupstream.WithTunnels(g.newTunnelClient(calls)))),
		laburnumgateway.WithRetryBudget(laburnumgateway.RetryBudget{
			Window: time.Duration(settings.Retry.Window), Ratio: settings.Retry.Ratio, Slack: settings.Retry.Slack,
		}),
		laburnumgateway.WithAdapterLoader(g), laburnumgateway.WithBufferBudget(bufferBudget(settings)), laburnumgateway.WithIntake(g.intake),
		laburnumgateway.WithHelperNotices(laburnumtunnel.Notify),
		laburnumgateway.WithServerRefused(func(address string) { go g.tunnels.Retire(address) }),
	)
	g.tunnels = g.newTunnelServer()
	return g
}

// bufferBudget returns the memory in bytes for large answers that are held at once.
func bufferBudget(settings laburnumsettings.RoleSettings) int64 {
	if settings.MemoryMB == 0 {
		return defaultBufferBudget
	}
	return int64(settings.MemoryMB) << 20 / bufferShare
}

// Start starts the gateway. ready makes the handler of the load balancer's readiness check. Errors:
// *laburnumlever.ListenError.
func (g *Gateway) Start(ready func(ready func() bool) http.Handler) error {
	g.follower = laburnumfeed.NewFollower(g.peers, g.timers, g.self, g.seedPeers(), g.fleet,
		laburnumfeed.WithLogger(g.logger), laburnumfeed.WithHelper(g.helperAddress),
		laburnumfeed.WithForeignEntries(laburnumfeed.NewForeignEntries(g.logger, g.metrics.Scope())))
	if err := g.serve("peers", g.settings.PeerListen(), g.intake.Limits().Peers(), newServer(g.tunnels)); err != nil {
		return err
	}
	if err := g.serveCallers(); err != nil {
		return err
	}
	if err := g.serve("ready", g.settings.Listen.Ready, g.intake.Limits().Others(), newServer(ready(g.gateway.Ready))); err != nil {
		return err
	}
	g.serveMetrics(g.status)
	g.fleet.StartConfirming()
	g.gateway.Start()
	g.reportIntake()
	g.timers.Every(sweepPeriod, func(time.Time) { g.gateway.Sweep() })
	_ = level.Info(g.logger).Log("event", laburnumlever.EventStarted, "role", "gateway", "zone", g.self.Zone, "callers", g.settings.Listen.Callers)
	return nil
}

// serveCallers serves callers. While this VM is overloaded, their new connections are closed unread, so that they try another one.
// Errors: *laburnumlever.ListenError.
func (g *Gateway) serveCallers() error {
	ln, err := listen("callers", g.settings.Listen.Callers)
	if err != nil {
		return err
	}
	shed := g.metrics.Scope().Counter("connections_shed")
	gate := laburnumoverload.NewGate(g.timers, laburnumoverload.WithOnChange(func(overloaded bool, delay time.Duration) {
		_ = level.Warn(g.logger).Log("event", laburnumlever.EventOverloaded, "overloaded", overloaded, "delay-ms", delay.Milliseconds(), "in-flight", g.gateway.InFlight())
	}))
	server := g.gateway.Server()
	g.callers = laburnumgateway.NewCallers(g.intake.Listen(laburnumoverload.NewListener(ln, gate.Admit, func() { shed.Inc(1) }), g.intake.Limits().Connections()))
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		gate.ConnState(conn, state)
		g.callers.ConnState(conn, state)
	}
	g.serveOn(g.callers, "callers", server)
	return nil
}

// EnsureLoaded asks the director to load an adapter and returns the engines that hold it. Errors:
// *laburnumlever.NotFoundError while no director is known, and those of a call to another VM.
func (g *Gateway) EnsureLoaded(ctx context.Context, request laburnumlever.AdapterRequest) ([]laburnumlever.BackendID, error) {
	address := g.follower.Director()
	if address == "" {
		return nil, &laburnumlever.NotFoundError{Kind: "placement leader", Name: "any"}
	}
	var answer adapterRequestAnswer
	err := g.peers.Call(ctx, address, methodAdapterRequest, request, &answer)
	var refused *laburnumlever.PeerRefusedError
	if errors.As(err, &refused) && refused.Kind == kindNotDirector {
		g.follower.ForgetDirector(address)
	}
	return answer.Backends, err
}

// Shutdown drains the gateway, at most until ctx ends, and stops it.
func (g *Gateway) Shutdown(ctx context.Context) {
	draining, cancel := endingBefore(ctx, closeTime)
	defer cancel()
	var drains sync.WaitGroup
	drains.Go(func() { g.tunnels.Drain(draining) })
	g.gateway.Drain(draining)
	drains.Wait()
	g.gateway.Stop()
	g.callers.Retire(ctx)
	g.follower.Close()
	g.close()
	_ = level.Info(g.logger).Log("event", laburnumlever.EventStopped, "role", "gateway")
}

// endingBefore returns a context that ends a time before the deadline of ctx, if it has one.
func endingBefore(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	if end, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, end.Add(-d))
	}
	return context.WithCancel(ctx)
}

// Reload applies changed settings: new seeds are polled in addition to the known control VMs.
func (g *Gateway) Reload(settings laburnumsettings.RoleSettings) { g.reload(settings, g.follower) }
