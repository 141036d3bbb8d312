package laburnumroles

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumquota"
	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

const (
	// sharesPeriod is the interval between looks at which control VMs share the quotas.
	sharesPeriod = time.Second
	// maxQuotaAge is how long a control VM grants quotas without a confirmation that its route table is the newest, if
	// the settings name no time for revoked keys. It is shorter than the time for which control VMs that were cut off
	// are still counted.
	maxQuotaAge = 5 * time.Second
	// quotaLogPeriod is the interval between lines on the same account.
	quotaLogPeriod = 5 * time.Second
)

// quotas is the part of a control VM that grants its shares of client accounts' quotas. It is safe for concurrent use.
type quotas struct {
	timers        laburnumlever.Timers
	source        *laburnumfeed.Source
	confirmations *confirmations
	logger        log.Logger
	terms         laburnumquota.Terms
	maxAge        time.Duration
	// granted and refused count answers on a need.
	granted, refused tally.Counter

	mu       sync.Mutex
	keeper   *laburnumquota.Keeper
	accounts []laburnumlever.Account
	// routesVersion is the version of the route table that the accounts are of.
	routesVersion uint64
	// loggedAt is when a refusal was last logged for an account.
	loggedAt map[laburnumlever.AccountName]time.Time
}

func newQuotas(timers laburnumlever.Timers, source *laburnumfeed.Source, confirmations *confirmations, logger log.Logger, scope tally.Scope, terms laburnumquota.Terms, revoke time.Duration) *quotas {
	if revoke <= 0 {
		revoke = maxQuotaAge
	}
	return &quotas{
		timers: timers, source: source, confirmations: confirmations, logger: logger, terms: terms, maxAge: revoke,
		keeper: laburnumquota.NewKeeper(terms), loggedAt: map[laburnumlever.AccountName]time.Time{},
		granted: scope.Tagged(map[string]string{"outcome": "granted"}).Counter("quota_asks"),
		refused: scope.Tagged(map[string]string{"outcome": "refused"}).Counter("quota_asks"),
	}
}

// start begins the looks at the shares.
func (u *quotas) start() {
	u.timers.Every(sharesPeriod, func(time.Time) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.setShares()
	})
}

// setRoutes sets the accounts of the route table in effect.
func (u *quotas) setRoutes(t laburnumlever.RouteTable) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t.Version <= u.routesVersion {
		return
	}
	u.routesVersion, u.accounts = t.Version, t.Accounts
	maps.DeleteFunc(u.loggedAt, func(name laburnumlever.AccountName, _ time.Time) bool {
		_, known := t.Account(name)
		return !known
	})
	u.setShares()
}

// setShares sets the shares that this VM owns. The caller holds mu.
func (u *quotas) setShares() {
	if len(u.accounts) == 0 {
		return
	}
	u.keeper.SetShares(u.accounts, func(a laburnumlever.Account) float64 {
		rank, controls := u.source.Rank(string(a.Name))
		// A VM that has just started has heard of no other one yet, and would take the whole quota for its share.
		controls = max(controls, len(u.confirmations.voter.Status().Voters))
		holders := u.terms.Holders(a.Quota, controls)
		if rank >= holders {
			return 0
		}
		return 1 / float64(holders)
	}, laburnumtimer.SinceBoot())
}

func (u *quotas) handle(ctx context.Context, params laburnumlever.RawMessage) (any, error) {
	var q quotaRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, &laburnumfeed.MessageError{Method: methodQuotaGrant, Cause: err}
	}
	if err := u.confirm(ctx); err != nil {
		return nil, err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	grants := u.keeper.Answer(q.Asks, laburnumtimer.SinceBoot())
	for _, g := range grants {
		u.record(g)
	}
	return quotaAnswer{Grants: grants}, nil
}

// confirm returns an error if this VM may be cut off, so that others may share the quotas differently or have lowered
// them. It takes no longer than a gateway waits.
func (u *quotas) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	last, ok := u.confirmations.latest()
	age := laburnumtimer.SinceBoot() - last.AsOf
	if !ok || age > u.maxAge {
		confirmed, err := u.confirmations.confirm(ctx)
		if age = laburnumtimer.SinceBoot() - confirmed.AsOf; err == nil && age > u.maxAge {
			return &StaleConfirmationError{Age: age}
		}
		return err
	}
	if age > sharesPeriod {
		go func() { _, _ = u.confirmations.confirm(context.Background()) }() // an error shows at maxAge
	}
	return nil
}

// status returns the use of this VM's shares.
func (u *quotas) status() []laburnumlever.AccountStatus {
	u.mu.Lock()
	defer u.mu.Unlock()
	var list []laburnumlever.AccountStatus
	for _, usage := range u.keeper.Usage(laburnumtimer.SinceBoot()) {
		if len(list) == laburnumlever.MaxAccountStatuses {
			break
		}
		status := laburnumlever.AccountStatus{Account: usage.Account, Rate: usage.Rate, Used: usage.Used, Reserved: usage.Reserved, Refused: usage.Refused}
		if i := slices.IndexFunc(u.accounts, func(a laburnumlever.Account) bool { return a.Name == usage.Account }); i >= 0 {
			for _, key := range u.accounts[i].Keys {
				status.Keys = append(status.Keys, key.Fingerprint())
			}
		}
		list = append(list, status)
	}
	return list
}

// record counts an answer, and logs that an account has used up its quota. The caller holds mu.
func (u *quotas) record(g laburnumquota.Grant) {
	switch {
	case g.Elsewhere:
	case !g.Refused():
		u.granted.Inc(1)
	default:
		u.refused.Inc(1)
		if now := u.timers.Now(); now.Sub(u.loggedAt[g.Account]) >= quotaLogPeriod {
			u.loggedAt[g.Account] = now
			_ = level.Info(u.logger).Log("event", laburnumlever.EventQuotaUsedUp, "account", g.Account, "fits-in-ms", time.Duration(g.RetryIn).Milliseconds())
		}
	}
}
