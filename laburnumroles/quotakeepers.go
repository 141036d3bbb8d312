package laburnumroles

import (
	"context"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumquota"
	"laburnumlever/laburnumtimer"
)

// quotaAttempts is the number of control VMs that are asked for a part of a quota.
const quotaAttempts = 4

// quotaRequest asks a control VM for parts of quotas.
type quotaRequest struct {
	Asks []laburnumquota.Ask `json:"asks"`
}

// quotaAnswer answers a quotaRequest.
type quotaAnswer struct {
	Grants []laburnumquota.Grant `json:"grants"`
}

// quotaKeepers asks control VMs for tokens of client accounts' quotas.
type quotaKeepers struct {
	calls    *keeperCalls
	terms    laburnumquota.Terms
	self     laburnumlever.VM
	follower func() *laburnumfeed.Follower
}

var _ laburnumgateway.QuotaKeepers = (*quotaKeepers)(nil)

// Grant implements laburnumgateway.QuotaKeepers. Errors: *laburnumlever.NotFoundError while no control VM answers, and
// those of a call to another VM.
func (k *quotaKeepers) Grant(ctx context.Context, account laburnumlever.Account, asks []laburnumquota.Ask) ([]laburnumquota.Grant, time.Duration, error) {
	var err error = &laburnumlever.NotFoundError{Kind: "control VM", Name: "any"}
	var grants []laburnumquota.Grant
	answered := false
	asked := laburnumtimer.SinceBoot()
	for _, address := range k.calls.answering(k.controls(account), quotaAttempts) {
		var answer quotaAnswer
		if failed := k.calls.call(ctx, address, methodQuotaGrant, quotaRequest{Asks: asks}, &answer); failed != nil {
			err = failed
			continue
		}
		grants = append(grants, answer.Grants...)
		for _, g := range answer.Grants {
			if g.Account != account.Name {
				continue
			}
			if !g.Refused() {
				return grants, asked, nil
			}
			answered = answered || !g.Elsewhere
		}
		asks = []laburnumquota.Ask{{Account: account.Name, Need: asks[0].Need}}
	}
	if answered {
		return grants, asked, nil
	}
	return nil, 0, err
}

// controls returns the control VMs to ask, best first: for an account that all keep those of the own availability
// zone, else its keepers.
func (k *quotaKeepers) controls(account laburnumlever.Account) []string {
	follower := k.follower()
	known := len(follower.Controls())
	if k.terms.Holders(account.Quota, known) < known {
		return follower.ControlsFor("", string(account.Name))
	}
	return follower.ControlsFor(k.self.Zone, string(k.self.ID))
}
