package laburnumroles

import (
	"context"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumrevocation"
	"laburnumlever/laburnumtimer"
)

const (
	// confirmAttemptTimeout is the time after which another control VM is asked as well. Earlier builds give the first one up then.
	confirmAttemptTimeout = 300 * time.Millisecond
	// confirmAttempts is the number of control VMs that are asked although all are only late, which more questions would make worse.
	// Further ones are asked as others fail; links to those that do not answer at all are closed within two seconds.
	confirmAttempts = 3
	// confirmTimeout bounds one round of questions. Answers that come later still count.
	confirmTimeout = confirmHold + time.Second
)

// routesConfirmer asks control VMs whether the gateway's route table is the newest.
type routesConfirmer struct {
	peers    laburnumlever.Peers
	timers   laburnumlever.Timers
	self     laburnumlever.VM
	follower func() *laburnumfeed.Follower
	fleet    func() *laburnumgateway.Fleet
}

var _ laburnumgateway.RoutesConfirmer = routesConfirmer{}

// Confirm implements laburnumgateway.RoutesConfirmer. Errors: *laburnumlever.NotFoundError while no control VM
// answers, *StaleConfirmationError if another one may have a newer confirmation, and those of a call to another VM.
func (r routesConfirmer) Confirm(ctx context.Context) error {
	addresses := r.follower().ControlsFor(r.self.Zone, string(r.self.ID))
	if len(addresses) == 0 {
		return &laburnumlever.NotFoundError{Kind: "control VM", Name: "any"}
	}
	round, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err := firstAnswer(round, r.timers, addresses, attemptPause, func(_ context.Context, address string) (laburnumrevocation.Confirmation, error) {
		return r.confirmAt(ctx, address)
	})
	return err
}

// attemptPause returns the time until the next control VM is asked, unless one fails.
func attemptPause(asked int) time.Duration {
	if asked < confirmAttempts {
		return confirmAttemptTimeout
	}
	return confirmTimeout
}

// confirmAt asks one control VM. What it tells counts in any case, but an old confirmation is no reason to ask no other one.
func (r routesConfirmer) confirmAt(ctx context.Context, address string) (laburnumrevocation.Confirmation, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmCallTimeout)
	defer cancel()
	asked := laburnumtimer.SinceBoot()
	q := confirmRequest{Hold: laburnumlever.Duration(confirmHold), Older: !r.fleet().AcceptsKeys()}
	var answer confirmAnswer
	if err := r.peers.Call(ctx, address, methodConfirmRoutes, q, &answer); err != nil {
		return laburnumrevocation.Confirmation{}, err
	}
	confirmed := laburnumrevocation.Confirmation{Version: answer.Version, AsOf: asked - time.Duration(answer.Age)}
	if answer.Version > r.fleet().RoutesVersion() {
		r.follower().FetchRoutes(address)
	}
	r.fleet().ConfirmRoutes(confirmed.Version, confirmed.AsOf)
	if age := laburnumtimer.SinceBoot() - confirmed.AsOf; age >= maxConfirmAge {
		return confirmed, &StaleConfirmationError{Age: age}
	}
	return confirmed, nil
}
