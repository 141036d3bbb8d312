package laburnumgateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumquota"
	"laburnumlever/laburnumroutes"
	"laburnumlever/laburnumtimer"
)

// generousKeeper grants all that is asked for.
type generousKeeper struct{}

func (generousKeeper) Grant(_ context.Context, _ laburnumlever.Account, asks []laburnumquota.Ask, _ func([]laburnumquota.Grant)) ([]laburnumquota.Grant, time.Duration, error) {
	var grants []laburnumquota.Grant
	for _, a := range asks {
		grants = append(grants, laburnumquota.Grant{Account: a.Account, Tokens: a.Need + a.Want})
	}
	return grants, laburnumtimer.SinceBoot(), nil
}

// BenchmarkAccountWork measures what a client account adds to a request on its gateway: the key's look-ups and the quota, without
// the message to a control VM.
func BenchmarkAccountWork(b *testing.B) {
	timers := laburnumtimer.New()
	b.Cleanup(timers.Close)
	f := NewFleet(timers, laburnumlever.VM{ID: "10.0.0.1"}, time.Second, 1,
		WithQuotaKeepers(generousKeeper{}, laburnumquota.Terms{Window: 8 * time.Second, Overshoot: 0.1, Slack: 7400}))
	salt := []byte("salt")
	table := laburnumlever.RouteTable{Version: 1, Format: laburnumlever.TableFormat}.WithAccounts(salt, []laburnumlever.Account{{
		Name: "acme", Keys: []laburnumlever.KeyHash{laburnumlever.HashKey(salt, "k1")}, Quota: laburnumlever.Quota{Rate: 1e9, Burst: 1e9, Unit: laburnumlever.QuotaRequests},
	}})
	f.HandleRoutes(table)
	g := &Gateway{fleet: f}
	x := laburnumroutes.NewIndex(table)
	f.index.Store(x)
	for b.Loop() {
		q := &request{caller: laburnumlever.CallerRequest{Key: "k1"}, route: &laburnumlever.Route{}}
		require.NoError(b, f.identify(q, x))
		require.NoError(b, f.recheckKey(b.Context(), q))
		require.NoError(b, g.payQuota(b.Context(), q))
		f.quota.refund(q)
	}
}
