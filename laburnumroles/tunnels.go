package laburnumroles

import (
	"context"
	"encoding/json"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumtunnel"
)

const (
	// helpersNamed is the number of helpers that a gateway is told of at a time, helpersElsewhere that of those outside its
	// availability zone.
	helpersNamed, helpersElsewhere = 8, 2
	// helperAttempts is the number of control VMs that are asked for helpers.
	helperAttempts = 2
	// tunnelShare is the share of a gateway's file descriptors for tunnels of other gateways, each of which takes two.
	tunnelShare = 0.25
	// minTunnels is the least number of tunnels; it applies when the number of descriptors is not set.
	minTunnels = 64
)

// helpersRequest asks for gateways that open connections to backend servers for the VM.
type helpersRequest struct {
	From laburnumlever.VM `json:"from"`
}

// helpersAnswer lists their addresses.
type helpersAnswer struct {
	Helpers   []string `json:"helpers,omitempty"`
	Elsewhere []string `json:"elsewhere,omitempty"`
}

func (c *Control) handleHelpers(_ context.Context, params laburnumlever.RawMessage) (any, error) {
	var q helpersRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, &laburnumfeed.MessageError{Method: methodHelpers, Cause: err}
	}
	near, elsewhere := c.source.Helpers(q.From, helpersNamed, helpersElsewhere)
	return helpersAnswer{Helpers: near, Elsewhere: elsewhere}, nil
}

// helperDirectory asks control VMs for helpers.
type helperDirectory struct {
	calls    *keeperCalls
	self     laburnumlever.VM
	follower func() *laburnumfeed.Follower
}

var _ laburnumtunnel.Directory = helperDirectory{}

// Helpers implements laburnumtunnel.Directory. Errors: *laburnumlever.NotFoundError while no control VM answers, and
// those of a call to another VM.
func (d helperDirectory) Helpers(ctx context.Context) (laburnumtunnel.Helpers, error) {
	var err error = &laburnumlever.NotFoundError{Kind: "control VM", Name: "any"}
	for _, address := range d.calls.answering(d.follower().ControlsFor(d.self.Zone, string(d.self.ID)), helperAttempts) {
		var answer helpersAnswer
		if err = d.calls.call(ctx, address, methodHelpers, helpersRequest{From: d.self}, &answer); err == nil {
			return laburnumtunnel.Helpers{Near: answer.Helpers, Elsewhere: answer.Elsewhere}, nil
		}
	}
	return laburnumtunnel.Helpers{}, err
}

func (g *Gateway) newTunnelClient(calls *keeperCalls) *laburnumtunnel.Client {
	directory := helperDirectory{calls: calls, self: g.self, follower: func() *laburnumfeed.Follower { return g.follower }}
	return laburnumtunnel.NewClient(directory, g.timers, laburnumtunnel.WithSourceIP(g.localIP()))
}

func (g *Gateway) newTunnelServer() *laburnumtunnel.Server {
	return laburnumtunnel.NewServer(g.gateway.CanReach, g.gateway.CanHelp, laburnumtunnel.WithScope(g.metrics.Scope()), laburnumtunnel.WithDialFailed(g.gateway.HelpFailed), laburnumtunnel.WithNotices(g.gateway.HandleNotice),
		laburnumtunnel.WithLocalIP(g.localIP()), laburnumtunnel.WithLimit(max(minTunnels, int(tunnelShare*float64(g.settings.Descriptors)/2))))
}

// helperAddress is where other gateways open tunnels; empty while this one can't help.
func (g *Gateway) helperAddress() string {
	if !g.gateway.CanHelp() {
		return ""
	}
	return g.self.PeerAddress
}
