package laburnumroles

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumconnections"
	"laburnumlever/laburnumfeed"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

// connectionSweepPeriod is the interval between checks for leases that have ended.
const connectionSweepPeriod = time.Second

// connections is the part of a control VM that leases connections to backend servers. It is safe for concurrent use.
type connections struct {
	timers laburnumlever.Timers
	source *laburnumfeed.Source
	logger log.Logger
	// self is this VM's peer address.
	self string
	// checks tells which other control VMs answer.
	checks *keeperChecks
	// granted, refused and deferred count asks: refused are those that got fewer than they wanted, deferred those left to the keeper.
	granted, refused, deferred tally.Counter
	leased                     tally.Gauge

	mu     sync.Mutex
	keeper *laburnumconnections.Keeper
}

func newConnections(timers laburnumlever.Timers, peers laburnumlever.Peers, self string, source *laburnumfeed.Source, logger log.Logger, scope tally.Scope) *connections {
	counter := func(outcome string) tally.Counter {
		return scope.Tagged(map[string]string{"outcome": outcome}).Counter("connection_leases")
	}
	return &connections{
		timers: timers, source: source, logger: logger, self: self, checks: newKeeperChecks(peers, timers), keeper: laburnumconnections.NewKeeper(),
		granted: counter("granted"), refused: counter("refused"), deferred: counter("deferred"), leased: scope.Gauge("connections_leased"),
	}
}

// start begins the sweeps.
func (c *connections) start() {
	c.timers.Every(connectionSweepPeriod, func(now time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.keeper.Sweep(now)
		sum := 0
		for _, l := range c.keeper.Leased(now) {
			sum += l.Connections
		}
		c.leased.Update(float64(sum))
	})
}

func (c *connections) handle(_ context.Context, params laburnumlever.RawMessage) (any, error) {
	var asks []laburnumconnections.Ask
	if err := json.Unmarshal(params, &asks); err != nil {
		return nil, &laburnumfeed.MessageError{Method: methodLeaseConnections, Cause: err}
	}
	fleet := laburnumconnections.Fleet{Gateways: c.source.Gateways(), Earlier: c.source.EarlierGateways()}
	grants := make([]laburnumconnections.Grant, 0, len(asks))
	for _, ask := range asks {
		grants = append(grants, c.lease(ask, fleet))
	}
	return grants, nil
}

// lease leases connections, unless the server's keeper is another control VM that answers.
func (c *connections) lease(ask laburnumconnections.Ask, fleet laburnumconnections.Fleet) laburnumconnections.Grant {
	if first := c.source.FirstFor(ask.Zone, string(ask.Backend)); first != c.self && c.checks.answers(first) {
		c.deferred.Inc(1)
		return laburnumconnections.Grant{Keeper: first}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	grant := c.keeper.Lease(ask, fleet, c.timers.Now())
	if grant.Connections >= ask.Want {
		c.granted.Inc(1)
		return grant
	}
	c.refused.Inc(1)
	_ = level.Debug(c.logger).Log("event", laburnumlever.EventConnectionsLeased, "backend", ask.Backend, "gateway", ask.Gateway, "held", ask.Held, "wanted", ask.Want,
		"leased", grant.Connections, "limit", ask.Limit, "gateways", fleet.Gateways, "earlier", fleet.Earlier)
	return grant
}

// status returns the gateways that have leased most.
func (c *connections) status() []laburnumlever.ConnectionLeases {
	c.mu.Lock()
	defer c.mu.Unlock()
	leases := c.keeper.Leased(c.timers.Now())
	return leases[:min(laburnumlever.MaxConnectionLeases, len(leases))]
}
