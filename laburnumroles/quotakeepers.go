package laburnumroles

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumquota"
	"laburnumlever/laburnumtimer"
)

const (
	// quotaAttempts is the number of control VMs that are asked for a part of a quota.
	quotaAttempts = 4
	// preferTime is how long the control VM that granted something is asked first.
	preferTime = 2 * time.Second
)

// quotaRequest asks a control VM for parts of quotas.
type quotaRequest struct {
	Asks []laburnumquota.Ask `json:"asks"`
}

// quotaAnswer answers a quotaRequest.
type quotaAnswer struct {
	Grants []laburnumquota.Grant `json:"grants"`
}

// datedFrom dates the grants from when they were asked for.
func (a *quotaAnswer) datedFrom(sent time.Duration) []laburnumquota.Grant {
	for i := range a.Grants {
		a.Grants[i].Asked = sent
	}
	return a.Grants
}

// quotaKeepers asks control VMs for tokens of client accounts' quotas.
type quotaKeepers struct {
	calls    *keeperCalls
	terms    laburnumquota.Terms
	self     laburnumlever.VM
	follower func() *laburnumfeed.Follower

	mu sync.Mutex
	// granted are the control VMs that last granted something of an account.
	granted map[laburnumlever.AccountName]lastGrant
}

type lastGrant struct {
	address string
	at      time.Duration
}

var _ laburnumgateway.QuotaKeepers = (*quotaKeepers)(nil)

// Grant implements laburnumgateway.QuotaKeepers. Errors: *laburnumlever.NotFoundError while no control VM answers in time, and
// those of a call to another VM.
func (k *quotaKeepers) Grant(ctx context.Context, account laburnumlever.Account, asks []laburnumquota.Ask, late func([]laburnumquota.Grant)) ([]laburnumquota.Grant, time.Duration, error) {
	var err error = &laburnumlever.NotFoundError{Kind: "control VM", Name: "any"}
	var grants []laburnumquota.Grant
	answered := false
	asked := laburnumtimer.SinceBoot()
	for _, address := range k.calls.answering(k.controls(account), quotaAttempts) {
		answer := &quotaAnswer{}
		sent := laburnumtimer.SinceBoot()
		failed := k.calls.callHeld(ctx, address, methodQuotaGrant, k.terms.ReserveTime(), quotaRequest{Asks: asks}, answer, func() {
			late(answer.datedFrom(sent))
		})
		if failed != nil {
			err = failed
			continue
		}
		answer.datedFrom(sent)
		grants = append(grants, answer.Grants...)
		for _, g := range answer.Grants {
			if g.Account != account.Name {
				continue
			}
			if !g.Refused() {
				k.noteGranted(account.Name, address, asked)
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

// controls returns the keepers of an account that answer, best first: the one that has just granted something, then
// those of the own availability zone.
func (k *quotaKeepers) controls(account laburnumlever.Account) []string {
	follower := k.follower()
	addresses := follower.ControlsFor(k.self.Zone, string(k.self.ID))
	if known := len(follower.Controls()); k.terms.Holders(account.Quota, known) < known {
		holders := follower.ControlsFor("", string(account.Name))
		holders = holders[:min(len(holders), k.terms.Holders(account.Quota, known))]
		addresses = slices.DeleteFunc(addresses, func(address string) bool { return !slices.Contains(holders, address) })
	}
	k.mu.Lock()
	last := k.granted[account.Name]
	k.mu.Unlock()
	if i := slices.Index(addresses, last.address); i > 0 && laburnumtimer.SinceBoot()-last.at < preferTime {
		addresses = slices.Insert(slices.Delete(addresses, i, i+1), 0, last.address)
	}
	return addresses
}

// noteGranted records which control VM granted something of an account. One that is not the first choice is asked first
// for preferTime.
func (k *quotaKeepers) noteGranted(account laburnumlever.AccountName, address string, at time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.granted == nil {
		k.granted = map[laburnumlever.AccountName]lastGrant{}
	}
	maps.DeleteFunc(k.granted, func(_ laburnumlever.AccountName, g lastGrant) bool { return at-g.at >= preferTime })
	if last := k.granted[account]; last.address != address {
		k.granted[account] = lastGrant{address: address, at: at}
	}
}
