package laburnumgateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumquota"
	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log/level"
)

const (
	// quotaTimeout bounds the time that a request waits for a part of its account's quota.
	quotaTimeout = 400 * time.Millisecond
	// quotaUnansweredRetryAfter is the minimum Retry-After if no control VM answers.
	quotaUnansweredRetryAfter = time.Second
	// exactRetrySpread is the part by which a Retry-After that is told as it is spreads callers that wait for the same.
	exactRetrySpread = 0.5
)

// QuotaKeepers are the control VMs that grant tokens of client accounts' quotas.
type QuotaKeepers interface {
	// Grant asks the keepers of an account in turn until one grants the need of the first ask. The grants are
	// dated from when the first keeper was asked, in terms of laburnumtimer.SinceBoot. An error means that no keeper
	// answered in time. Grants that come later, dated each by itself, are passed to late: their reserves may still be spent.
	Grant(ctx context.Context, account laburnumlever.Account, asks []laburnumquota.Ask, late func([]laburnumquota.Grant)) (grants []laburnumquota.Grant, asked time.Duration, err error)
}

// WithQuotaKeepers sets the control VMs that grant quotas; by default quotas are not kept.
func WithQuotaKeepers(keepers QuotaKeepers, terms laburnumquota.Terms) FleetOption {
	return func(f *Fleet) {
		f.quota.keepers, f.quota.wallet = keepers, laburnumquota.NewWallet(terms)
	}
}

// quota is what a gateway holds of the quotas of client accounts. It is safe for concurrent use.
type quota struct {
	keepers QuotaKeepers

	mu     sync.Mutex
	wallet *laburnumquota.Wallet
}

// setAccounts drops the tokens of accounts that are gone, and the reserves of those whose quota has changed.
func (k *quota) setAccounts(accounts []laburnumlever.Account) {
	if k.keepers == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.wallet.Keep(accounts)
}

// spend spends tokens on a request. If there are too few it returns what to ask the keepers for, or the time until
// the request will fit.
func (k *quota) spend(q *request, cost float64) (asks []laburnumquota.Ask, retryIn time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := laburnumtimer.SinceBoot()
	receipt, ok := k.wallet.Spend(q.account.Name, cost, now)
	if ok {
		q.receipt = receipt
		return nil, 0
	}
	if in := k.wallet.RetryIn(q.account.Name, now); in > 0 {
		if k.wallet.SpendReserve(q.account.Name, cost, now) {
			return nil, 0
		}
		return nil, in
	}
	return k.wallet.Asks(q.account.Name, cost, now), 0
}

// receive adds the keepers' grants and spends tokens on a request. If there are too few it returns the time until the
// request will fit, or that the grant came too late to be spent.
func (k *quota) receive(q *request, cost float64, grants []laburnumquota.Grant, asked time.Duration) (retryIn time.Duration, late bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := laburnumtimer.SinceBoot()
	k.wallet.Apply(grants, asked)
	receipt, ok := k.wallet.Spend(q.account.Name, cost, now)
	if ok {
		q.receipt = receipt
		return 0, false
	}
	if laburnumquota.Granted(grants, q.account.Name) {
		return 0, !k.wallet.SpendReserve(q.account.Name, cost, now)
	}
	fitsIn, askIn := laburnumquota.Refusal(grants, q.account.Name)
	k.wallet.UsedUp(q.account.Name, fitsIn, askIn, now)
	if k.wallet.SpendReserve(q.account.Name, cost, now) {
		return 0, false
	}
	return fitsIn, false
}

// receiveLate adds grants that came later than the request waited for them.
func (k *quota) receiveLate(grants []laburnumquota.Grant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.wallet.Apply(grants, 0)
}

// spendReserve spends tokens of the reserves on a request that no control VM grants tokens for, if there are enough.
func (k *quota) spendReserve(q *request, cost float64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.wallet.SpendReserve(q.account.Name, cost, laburnumtimer.SinceBoot())
}

// refund returns the tokens of a request that certainly did not run.
func (k *quota) refund(q *request) {
	if q.mayHaveRun || q.receipt.Tokens == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.wallet.Refund(q.receipt, laburnumtimer.SinceBoot())
}

// limited reports whether a request is charged to a quota.
func (k *quota) limited(q *request) bool {
	return k.keepers != nil && q.account != nil && q.account.Quota.Limited()
}

// refuse refuses a request whose account is known to have used up its quota. The error is a
// *laburnumlever.RefusalError.
func (k *quota) refuse(q *request) error {
	if !k.limited(q) {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := laburnumtimer.SinceBoot()
	if k.wallet.HasReserve(q.account.Name, q.account.Quota.Cost(q.caller), now) {
		return nil
	}
	return overQuota(q, k.wallet.RetryIn(q.account.Name, now))
}

// payQuota charges a request to its account's quota. That is done when it has a slot: one that waits in vain uses
// nothing. Repeated attempts are not charged again. The error is a *laburnumlever.RefusalError.
func (g *Gateway) payQuota(ctx context.Context, q *request) error {
	k := &g.fleet.quota
	if !k.limited(q) || q.charged {
		return nil
	}
	cost := q.account.Quota.Cost(q.caller)
	asks, retryIn := k.spend(q, cost)
	if asks == nil {
		q.charged = retryIn == 0
		return overQuota(q, retryIn)
	}
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	grants, asked, err := k.keepers.Grant(ctx, *q.account, asks, k.receiveLate)
	if err != nil {
		q.charged = k.spendReserve(q, cost)
		_ = level.Info(g.logger).Log("event", laburnumlever.EventQuotaUnanswered, "request-id", q.caller.ID, "account", q.account.Name, "reserve", q.charged, "cause", err)
		if q.charged {
			return nil
		}
		return newRefusal(laburnumlever.RefusedQuotaUnanswered, quotaUnansweredRetryAfter, "no control VM grants a part of the account's quota, and the gateway has no reserve of it left")
	}
	retryIn, late := k.receive(q, cost, grants, asked)
	q.charged = retryIn == 0 && !late
	if late {
		_ = level.Info(g.logger).Log("event", laburnumlever.EventQuotaUnanswered, "request-id", q.caller.ID, "account", q.account.Name, "reserve", false, "cause", "the grant came too late", "ms", millis(laburnumtimer.SinceBoot()-asked))
		return newRefusal(laburnumlever.RefusedQuotaUnanswered, quotaUnansweredRetryAfter, "the part of the account's quota that a control VM granted came too late, and the gateway has no reserve of it left")
	}
	return overQuota(q, retryIn)
}

// overQuota refuses a request that does not fit its account's quota yet; nil for a time of 0.
func overQuota(q *request, retryIn time.Duration) error {
	if retryIn <= 0 {
		return nil
	}
	return newRefusal(laburnumlever.RefusedOverQuota, retryIn, fmt.Sprintf("client account %q has used up its quota", q.account.Name))
}
