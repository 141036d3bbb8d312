package laburnumroles

import (
	"context"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumtimer"
)

const (
	// confirmAttempts is the number of control VMs that a gateway asks for a confirmation.
	confirmAttempts = 3
	// confirmAttemptTimeout bounds one of them, which may ask the log's leader first.
	confirmAttemptTimeout = 300 * time.Millisecond
)

// routesConfirmer asks control VMs whether the gateway's route table is the newest.
type routesConfirmer struct {
	peers    laburnumlever.Peers
	self     laburnumlever.VM
	follower func() *laburnumfeed.Follower
	fleet    func() *laburnumgateway.Fleet
}

var _ laburnumgateway.RoutesConfirmer = routesConfirmer{}

// Confirm implements laburnumgateway.RoutesConfirmer. Errors: *laburnumlever.NotFoundError while no control VM
// answers, and those of a call to another VM.
func (r routesConfirmer) Confirm(ctx context.Context) error {
	var err error = &laburnumlever.NotFoundError{Kind: "control VM", Name: "any"}
	addresses := r.follower().ControlsFor(r.self.Zone, string(r.self.ID))
	for _, address := range addresses[:min(confirmAttempts, len(addresses))] {
		if err = r.confirmAt(ctx, address); err == nil {
			return nil
		}
	}
	return err
}

func (r routesConfirmer) confirmAt(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, confirmAttemptTimeout)
	defer cancel()
	asked := laburnumtimer.SinceBoot()
	var answer confirmAnswer
	if err := r.peers.Call(ctx, address, methodConfirmRoutes, confirmRequest{}, &answer); err != nil {
		return err
	}
	if answer.Version > r.fleet().RoutesVersion() {
		r.follower().FetchRoutes(address)
	}
	r.fleet().ConfirmRoutes(answer.Version, asked-time.Duration(answer.Age))
	return nil
}
