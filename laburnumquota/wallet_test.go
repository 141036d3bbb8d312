package laburnumquota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumquota"
)

// Guards against tokens that a gateway spends long after they were granted, as after a freeze.
func TestTokensExpire(t *testing.T) {
	w := laburnumquota.NewWallet(terms)
	w.Apply([]laburnumquota.Grant{{Account: account, Tokens: 100}}, time.Second)
	receipt, ok := w.Spend(account, 40, time.Second)
	require.True(t, ok)
	late := time.Second + terms.GrantTime()
	_, ok = w.Spend(account, 40, late)
	require.False(t, ok)
	w.Refund(receipt, late)
	_, ok = w.Spend(account, 1, late)
	require.False(t, ok, "a refund doesn't make tokens last longer")
}

// Guards against a request for more than the keepers hold at once that is refused for good.
func TestRequestBeyondTheCapacityIsServedByAFullShare(t *testing.T) {
	k := laburnumquota.NewKeeper(terms)
	k.SetShares(accountsWith(quotaOf(1000)), wholeShare, 0)
	ask := []laburnumquota.Ask{{Account: account, Need: 17_000}}
	require.True(t, k.Answer(ask, time.Second)[0].Refused())
	require.False(t, k.Answer(ask, time.Minute)[0].Refused())
	require.Greater(t, time.Duration(k.Answer(ask, time.Minute)[0].RetryIn), 10*time.Second)
}

// Guards against a request that no window of the quota allows and that is granted once, and against others of its account that are
// refused for it.
func TestRequestBeyondTheWindowIsRefusedAlone(t *testing.T) {
	k := laburnumquota.NewKeeper(terms)
	k.SetShares(accountsWith(quotaOf(1000)), wholeShare, 0)
	w := laburnumquota.NewWallet(terms)
	grants := k.Answer([]laburnumquota.Ask{{Account: account, Need: 18_000}}, time.Minute)
	require.Equal(t, laburnumlever.Duration(30*time.Second), grants[0].RetryIn)
	w.UsedUp(account, time.Duration(grants[0].RetryIn), time.Duration(grants[0].AskIn), time.Minute)
	require.Zero(t, w.RetryIn(account, time.Minute), "the next request is asked for")
	require.False(t, k.Answer([]laburnumquota.Ask{{Account: account, Need: 4000}}, time.Minute)[0].Refused())
}

// Guards against callers beyond a quota who are all told to come back at the same time.
func TestRefusedCallersAreToldToComeBackOneAfterTheOther(t *testing.T) {
	k := laburnumquota.NewKeeper(terms)
	k.SetShares(accountsWith(quotaOf(1000)), wholeShare, 0)
	last := time.Duration(0)
	for range 5 {
		in := time.Duration(k.Answer([]laburnumquota.Ask{{Account: account, Need: 1000}}, 0)[0].RetryIn)
		require.Greater(t, in, last+500*time.Millisecond)
		last = in
	}
}

// Guards against a keeper that grants again after a restart what it granted before.
func TestRestartedKeeperStartsEmpty(t *testing.T) {
	k := laburnumquota.NewKeeper(terms)
	k.SetShares(accountsWith(quotaOf(1000)), wholeShare, time.Hour)
	require.True(t, k.Answer([]laburnumquota.Ask{{Account: account, Need: 1}}, time.Hour)[0].Refused())
}

// Guards against callers of an account with a huge deficit who are told to come back at once, again and again.
func TestHugeDeficitIsNoShortWait(t *testing.T) {
	k := laburnumquota.NewKeeper(terms)
	k.SetShares(accountsWith(quotaOf(1e14)), wholeShare, 0)
	require.False(t, k.Answer([]laburnumquota.Ask{{Account: account, Need: 8e14}}, time.Minute)[0].Refused())
	k.SetShares(accountsWith(quotaOf(1000)), wholeShare, time.Minute)
	g := k.Answer([]laburnumquota.Ask{{Account: account, Need: 1}}, time.Minute)[0]
	require.True(t, g.Refused())
	require.Greater(t, time.Duration(g.RetryIn), 20*time.Second)
	require.Greater(t, time.Duration(g.AskIn), 100*time.Millisecond)
}

// Guards against grants that expire on arrival since another control VM, asked before, did not answer.
func TestGrantIsDatedFromItsOwnAsk(t *testing.T) {
	terms := laburnumquota.Terms{Window: 8 * time.Second, Overshoot: 0.1}
	w := laburnumquota.NewWallet(terms)
	first, second := time.Hour, time.Hour+terms.GrantTime()
	w.Apply([]laburnumquota.Grant{{Account: "a", Tokens: 5, Asked: second}}, first)
	_, ok := w.Spend("a", 5, second+terms.GrantTime()/2)
	require.True(t, ok)
}
