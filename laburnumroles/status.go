package laburnumroles

import (
	"encoding/json"
	"net/http"

	"laburnumlever"

	"github.com/go-kit/log/level"
)

// Paths of the metrics listener.
const (
	metricsPath = "/metrics"
	statusPath  = "/status"
)

// serveMetrics serves the metrics and the status. If the port is in use, it logs this and the process
// runs without them.
func (p *process) serveMetrics(status func() laburnumlever.Status, calls ...operatorCall) {
	if err := p.serve("metrics", p.settings.MetricsAddress(), p.intake.Limits().Others(), newServer(p.metricsHandler(status, calls))); err != nil {
		_ = level.Error(p.logger).Log("event", laburnumlever.EventMetricsNotServed, "cause", err)
	}
}

// operatorCall is a further call of operators, a pattern of http.ServeMux with its handler.
type operatorCall struct {
	pattern string
	handle  http.HandlerFunc
}

// metricsHandler serves the status at statusPath and the metrics at every other path.
func (p *process) metricsHandler(status func() laburnumlever.Status, calls []operatorCall) http.Handler {
	mux := http.NewServeMux()
	for _, call := range calls {
		mux.HandleFunc(call.pattern, call.handle)
	}
	mux.Handle("/", p.metrics.Handler())
	mux.Handle(metricsPath, p.metrics.Handler())
	mux.HandleFunc("GET "+statusPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status()) // an error means that the client disconnected
	})
	return mux
}

// status returns the gateway's own state and its view of the fleet.
func (g *Gateway) status() laburnumlever.Status {
	role := g.fleet.Status()
	role.Role, role.VM, role.Zone = "gateway", g.self.ID, g.self.Zone
	role.Director, role.Ready, role.InFlight = g.follower.Director(), g.gateway.Ready(), g.gateway.InFlight()
	role.Refusals = g.gateway.Refusals()
	role.HeldBytes = g.gateway.HeldBytes()
	return laburnumlever.Status{Role: &role}
}

// status returns the control VM's own state and its view of the fleet.
func (c *Control) status() laburnumlever.Status {
	role := laburnumlever.RoleStatus{Role: "control", VM: c.self.ID, Zone: c.self.Zone, Director: string(c.source.Director())}
	role.Gateways, role.Controls = c.source.Gateways(), len(c.source.Controls())+1
	role.Accounts = c.quotas.status()
	role.Parts = c.quarantine.status()
	role.Room = c.roomStatus()
	role.ConnectionLeases = c.connections.status()
	if routes := c.routes.Load(); routes != nil {
		role.RoutesVersion, role.RoutesBytes = routes.Version, len(routes.Document)
		c.mu.Lock()
		role.Services = c.registry.Summary(routes.Services)
		c.mu.Unlock()
	}
	return laburnumlever.Status{Role: &role, Voter: c.voter.Status()}
}
