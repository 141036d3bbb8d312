package laburnumroles

import (
	"encoding/json"
	"net/http"

	"laburnumlever"

	"github.com/go-kit/log/level"
)

// Paths of the listener for metrics.
const (
	metricsPath = "/metrics"
	statusPath  = "/status"
)

// serveMetrics serves the metrics and the status. A port in use is logged, and the process serves
// callers without them.
func (p *process) serveMetrics(status func() laburnumlever.Status) {
	if err := p.serve("metrics", p.settings.MetricsAddress(), newServer(p.metricsHandler(status))); err != nil {
		_ = level.Error(p.logger).Log("event", laburnumlever.EventMetricsNotServed, "cause", err)
	}
}

// metricsHandler answers operators; any path but that of the status gets the metrics.
func (p *process) metricsHandler(status func() laburnumlever.Status) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", p.metrics.Handler())
	mux.Handle(metricsPath, p.metrics.Handler())
	mux.HandleFunc("GET "+statusPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status()) // an error means that the asker is gone
	})
	return mux
}

// status is what the gateway knows of itself and of the fleet.
func (g *Gateway) status() laburnumlever.Status {
	role := g.fleet.Status()
	role.Role, role.VM, role.Zone = "gateway", g.self.ID, g.self.Zone
	role.Director, role.Ready, role.InFlight = g.follower.Director(), g.gateway.Ready(), g.gateway.InFlight()
	return laburnumlever.Status{Role: &role}
}

// status is what the control VM knows of itself and of the fleet.
func (c *Control) status() laburnumlever.Status {
	role := laburnumlever.RoleStatus{Role: "control", VM: c.self.ID, Zone: c.self.Zone, Director: string(c.source.Director())}
	role.Gateways, role.Controls = c.source.Gateways(), len(c.source.Controls())+1
	if routes := c.routes.Load(); routes != nil {
		role.RoutesVersion = routes.Version
		c.mu.Lock()
		role.Services = c.registry.Summary(routes.Services)
		c.mu.Unlock()
	}
	return laburnumlever.Status{Role: &role, Voter: c.voter.Status()}
}
