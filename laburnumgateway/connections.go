package laburnumgateway

import (
	"context"
	"fmt"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumconnections"
	"laburnumlever/laburnumtimer"
	"laburnumlever/laburnumupstream"

	"github.com/go-kit/log/level"
)

const (
	// connectionSweepPeriod is the interval between checks for leased connections that are not used.
	connectionSweepPeriod = 500 * time.Millisecond
	// connectionRetryAfter is the minimum Retry-After of a request that lacks a connection.
	connectionRetryAfter = 500 * time.Millisecond
	// maxLackingServers is the number of servers of which connections are leased for one request.
	maxLackingServers = 3
	// maxLackingRequests is the number of queued requests for which leases are asked for again.
	maxLackingRequests = 16
)

// ConnectionAnswer is the outcome of an ask for a lease of connections.
type ConnectionAnswer struct {
	Ask   laburnumconnections.Ask
	Grant laburnumconnections.Grant
	// Asked is when the ask was sent, in terms of laburnumtimer.SinceBoot.
	Asked time.Duration
	// Err is set if no control VM answered.
	Err error
}

// ConnectionKeepers are the control VMs that lease connections to backend servers.
type ConnectionKeepers interface {
	// Lease asks for leases. It does not block; answered is called once for each ask, on another goroutine.
	Lease(asks []laburnumconnections.Ask, answered func(ConnectionAnswer))
}

// WithConnectionKeepers sets the control VMs that lease connections; by default there are none.
func WithConnectionKeepers(keepers ConnectionKeepers) FleetOption {
	return func(f *Fleet) { f.connections.keepers = keepers }
}

// connections are what a gateway may have to backend servers with a limit. The fleet's mu guards them.
type connections struct {
	keepers ConnectionKeepers
	table   *laburnumconnections.Table
	// limits are those of the servers of each service.
	limits map[laburnumlever.ServiceName]int
	// retrying is set while another look at the queue is scheduled.
	retrying bool
}

// noConnectionKeepers are no control VMs.
type noConnectionKeepers struct{}

func (noConnectionKeepers) Lease(asks []laburnumconnections.Ask, answered func(ConnectionAnswer)) {
	go func() {
		for _, ask := range asks {
			answered(ConnectionAnswer{Ask: ask, Err: &laburnumlever.NotFoundError{Kind: "control VM", Name: "any"}})
		}
	}()
}

// setConnectionLimits takes the limits of a route table into effect. The caller must hold mu.
func (f *Fleet) setConnectionLimits(t laburnumlever.RouteTable) {
	limits := make(map[laburnumlever.ServiceName]int, len(t.Services))
	for _, s := range t.Services {
		if s.MaxConnections > 0 {
			limits[s.Name] = s.MaxConnections
		}
	}
	f.connections.limits = limits
	longest := time.Duration(0)
	for _, r := range t.Routes {
		longest = max(longest, time.Duration(r.Timeout))
	}
	f.connections.table.SetHold(longest)
}

// limitedServer returns a backend server with its service's connection limit, of 0 if it has none. The caller must hold mu.
func (f *Fleet) limitedServer(h laburnumlever.Heartbeat) laburnumconnections.Server {
	return laburnumconnections.Server{Backend: h.Backend, Service: h.Service, Zone: h.Zone, Limit: f.connections.limits[h.Service]}
}

// allowedConnections returns the number of connections that the gateway may have to each server of a service; nil for any. The caller
// must hold mu, then and when it calls the function.
func (f *Fleet) allowedConnections(service laburnumlever.ServiceName) func(laburnumlever.BackendID) int {
	limit, limited := f.connections.limits[service]
	if !limited {
		return nil
	}
	return func(backend laburnumlever.BackendID) int {
		return f.connections.table.Allowed(laburnumconnections.Server{Backend: backend, Limit: limit}, laburnumtimer.SinceBoot())
	}
}

// connectionLimit returns the number of connections that the gateway may have to a backend server, and whether there is a limit.
func (f *Fleet) connectionLimit(h laburnumlever.Heartbeat) (limit int, limited bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	allowed := f.allowedConnections(h.Service)
	if allowed == nil {
		return 0, false
	}
	return allowed(h.Backend), true
}

// openConnection returns a connection to a backend server, unless this gateway has all that it may have there. Errors:
// *laburnumupstream.DialError, *laburnumupstream.ConnectionLimitError.
func (g *Gateway) openConnection(ctx context.Context, h laburnumlever.Heartbeat) (*laburnumupstream.Conn, error) {
	limit, limited := g.fleet.connectionLimit(h)
	if limited && limit <= 0 {
		return nil, &laburnumupstream.ConnectionLimitError{Address: h.Address}
	}
	return g.pool.Get(ctx, h.Address, limit)
}

// take reserves a slot for a request, and leases connections before they are used up. The caller must hold mu.
func (f *Fleet) take(query laburnumbalance.Query, now time.Time) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
	ticket, verdict := f.balance.Pick(query, now)
	if query.Connections == nil {
		return ticket, verdict
	}
	var asks bool
	if verdict == laburnumbalance.Found {
		asks = f.useConnections(ticket.InUse())
	} else {
		asks = f.lackConnections(query, now)
	}
	if asks {
		f.askConnections()
	}
	return ticket, verdict
}

// useConnections records the requests at a server, and reports whether a lease should be asked for. The caller must hold mu.
func (f *Fleet) useConnections(n laburnumbalance.InUse) bool {
	s := f.limitedServer(n.Server)
	return s.Limit > 0 && f.connections.table.Use(s, n.Requests, laburnumtimer.SinceBoot())
}

// lackConnections is useConnections for the servers that would take a request if this gateway might open one more connection. The
// caller must hold mu.
func (f *Fleet) lackConnections(query laburnumbalance.Query, now time.Time) bool {
	asks := false
	for _, n := range f.balance.LackingConnections(query, maxLackingServers, now) {
		asks = f.useConnections(n) || asks
	}
	return asks
}

// askConnections asks for the leases that are due. The caller must hold mu.
func (f *Fleet) askConnections() {
	if asks := f.connections.table.Due(laburnumtimer.SinceBoot()); len(asks) > 0 {
		f.connections.keepers.Lease(asks, f.connectionsAnswered)
	}
}

// connectionsAnswered puts the answer to an ask into effect.
func (f *Fleet) connectionsAnswered(a ConnectionAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := laburnumtimer.SinceBoot()
	outcome := slotGranted
	switch {
	case a.Err != nil:
		outcome = slotUnanswered
		f.connections.table.Lost(a.Ask, now)
	default:
		f.connections.table.Answered(a.Ask, a.Grant, a.Asked, now)
		if a.Grant.Connections < a.Ask.Want {
			outcome = slotRefused
		}
	}
	logger := level.Debug(f.logger)
	if outcome != slotGranted || a.Ask.Held == 0 {
		logger = level.Info(f.logger)
	}
	_ = logger.Log("event", laburnumlever.EventConnectionsLeased, "backend", a.Ask.Backend, "outcome", outcome, "share", f.connections.table.Share(a.Ask.Server),
		"held", a.Ask.Held, "wanted", a.Ask.Want, "leased", a.Grant.Connections, "cause", a.Err)
	f.serveQueue()
	f.askConnections()
	if outcome != slotGranted && !f.connections.retrying {
		f.connections.retrying = true
		f.timers.After(laburnumconnections.RetryTime, func(time.Time) { f.retryConnections() })
	}
}

// retryConnections asks again for what queued requests lack.
func (f *Fleet) retryConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connections.retrying = false
	now := f.timers.Now()
	queued := f.queue.Requests()
	for _, r := range queued[:min(maxLackingRequests, len(queued))] {
		if r.Query.Connections != nil {
			f.lackConnections(r.Query, now)
		}
	}
	f.askConnections()
}

// sweepConnections returns leased connections that were not used for a while, and renews the leases of the others.
func (g *Gateway) sweepConnections() {
	f := g.fleet
	for _, e := range f.excessConnections() {
		open := g.pool.Trim(e.address, e.Allowed)
		f.mu.Lock()
		f.connections.table.Keep(e.Backend, open, laburnumtimer.SinceBoot())
		f.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.askConnections()
	leased, _ := f.connections.table.Leased(laburnumtimer.SinceBoot())
	g.counters.connectionsLeased.Update(float64(leased))
}

// excess are connections to an address that are to be closed.
type excess struct {
	laburnumconnections.Excess
	address string
}

func (f *Fleet) excessConnections() []excess {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []excess
	for _, e := range f.connections.table.Tick(laburnumtimer.SinceBoot()) {
		if r, ok := f.registry.Record(e.Backend); ok {
			all = append(all, excess{Excess: e, address: r.Heartbeat.Address})
		}
	}
	return all
}

// noteFull records whether a request that begins to wait found all servers full, or lacks a connection only. The caller must hold mu.
func (f *Fleet) noteFull(q *request, query laburnumbalance.Query, verdict laburnumbalance.Verdict, now time.Time) {
	full := verdict == laburnumbalance.Full
	q.foundFull = q.foundFull || full
	q.lackedConnection = full && f.balance.LacksConnections(query, now)
}

// lacksConnections reports whether a backend server could serve a request if this gateway might open one more connection to it.
func (f *Fleet) lacksConnections(q *request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balance.LacksConnections(f.query(q), f.timers.Now())
}

// connectionRefusal refuses a request that backend servers with free slots could serve, but for the lack of a connection.
func (g *Gateway) connectionRefusal(q *request) error {
	f := g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	leased, servers := f.connections.table.Leased(laburnumtimer.SinceBoot())
	detail := fmt.Sprintf("this gateway has all connections that it may open to the backend servers with free slots: its share of the limit of %d to each among %d gateways, and %d leased to %d servers",
		q.service.MaxConnections, f.gateways, leased, servers)
	return newRefusal(laburnumlever.RefusedConnectionLimit, connectionRetryAfter, detail)
}

// connectionsStatus returns how this gateway shares the connection limit of a service; nil without a limit. The caller must hold mu.
func (f *Fleet) connectionsStatus(name laburnumlever.ServiceName) *laburnumlever.ConnectionsStatus {
	allowed := f.allowedConnections(name)
	if allowed == nil {
		return nil
	}
	limit := f.connections.limits[name]
	busiest, usedUp := f.balance.Connections(name, allowed)
	return &laburnumlever.ConnectionsStatus{
		Limit: limit, Share: f.connections.table.Share(laburnumconnections.Server{Limit: limit}), Leased: f.connections.table.LeasedOf(name, laburnumtimer.SinceBoot()),
		Busiest: busiest, UsedUp: usedUp,
	}
}
