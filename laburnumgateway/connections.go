package laburnumgateway

import (
	"fmt"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumroutes"
)

// connectionRetryAfter is the minimum Retry-After of a request that lacks a connection.
const connectionRetryAfter = 500 * time.Millisecond

// connectionShare is a gateway's share of the connection limit of each backend server of a service; 0 for no limit.
func connectionShare(service laburnumlever.RoutedService, gateways int) int {
	if service.MaxConnections == 0 {
		return 0
	}
	return max(1, service.MaxConnections/max(1, gateways))
}

// lacksConnections reports whether a backend server could serve a request if this gateway might open one more connection to it.
func (f *Fleet) lacksConnections(q *request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balance.LacksConnections(f.query(q), f.timers.Now())
}

// connectionRefusal refuses a request that backend servers with free slots could serve, but for the lack of a connection.
func (g *Gateway) connectionRefusal(q *request) error {
	detail := fmt.Sprintf("this gateway has all connections that it may open to the backend servers with free slots: %d to each, its share of %d among %d gateways",
		connectionShare(q.service, g.fleet.Gateways()), q.service.MaxConnections, g.fleet.Gateways())
	return newRefusal(laburnumlever.RefusedConnectionLimit, connectionRetryAfter, detail)
}

// connectionsStatus returns how this gateway shares the connection limit of a service; nil without a limit. The caller must hold mu.
func (f *Fleet) connectionsStatus(x *laburnumroutes.Index, name laburnumlever.ServiceName) *laburnumlever.ConnectionsStatus {
	for _, service := range x.Table().Services {
		if service.Name != name || service.MaxConnections == 0 {
			continue
		}
		share := connectionShare(service, f.gateways)
		busiest, usedUp := f.balance.Connections(name, share)
		return &laburnumlever.ConnectionsStatus{Limit: service.MaxConnections, Share: share, Busiest: busiest, UsedUp: usedUp}
	}
	return nil
}
