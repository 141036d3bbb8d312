package laburnumquota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumquota"
)

// drained returns what a keeper still grants at once.
func drained(k *laburnumquota.Keeper, now time.Duration) float64 {
	const cost = 10
	total := 0.0
	for !k.Answer([]laburnumquota.Ask{{Account: account, Need: cost}}, now)[0].Refused() {
		total += cost
	}
	return total
}

func reserveOf(k *laburnumquota.Keeper, held []laburnumquota.HeldReserve, now time.Duration) laburnumquota.Grant {
	return k.Answer([]laburnumquota.Ask{{Account: account, Need: 1, Reserve: 1e6, Held: held}}, now)[0]
}

func fullKeeper() *laburnumquota.Keeper {
	k := laburnumquota.NewKeeper(terms)
	k.SetShares(accountsWith(quotaOf(10_000)), wholeShare, 0)
	return k
}

// Guards against reserves that are not charged to the quota.
func TestReserveIsCharged(t *testing.T) {
	k, other := fullKeeper(), fullKeeper()
	for _, k := range []*laburnumquota.Keeper{k, other} {
		require.False(t, k.Answer([]laburnumquota.Ask{{Account: account, Need: 2000}}, time.Minute)[0].Refused())
	}
	g := reserveOf(k, nil, time.Minute)
	require.NotNil(t, g.Reserve)
	require.InDelta(t, drained(other, time.Minute), drained(k, time.Minute)+g.Reserve.Tokens, 20)
}

// Guards against a keeper that forgets a reserve which a gateway was told to hold for longer.
func TestExtendedReserveStaysCharged(t *testing.T) {
	k, other := fullKeeper(), fullKeeper()
	g := reserveOf(k, nil, time.Minute)
	now := time.Minute
	for range 10 {
		now += terms.ReserveTime() / 2
		answer := k.Answer([]laburnumquota.Ask{{Account: account, Need: 1, Held: []laburnumquota.HeldReserve{{ID: g.Reserve.ID}}}}, now)[0]
		require.Equal(t, []uint64{g.Reserve.ID}, answer.Extended)
	}
	require.InDelta(t, drained(other, now), drained(k, now)+g.Reserve.Tokens, 20)
}

// Guards against tokens that come back twice to a keeper that hears twice that they were dropped.
func TestDroppedReserveComesBackOnce(t *testing.T) {
	k := fullKeeper()
	g := reserveOf(k, nil, time.Minute)
	drained(k, time.Minute)
	dropped := laburnumquota.HeldReserve{ID: g.Reserve.ID, Dropped: g.Reserve.Tokens / 2}
	for range 3 {
		k.Answer([]laburnumquota.Ask{{Account: account, Held: []laburnumquota.HeldReserve{dropped}}}, time.Minute)
	}
	require.InDelta(t, g.Reserve.Tokens/2, drained(k, time.Minute), 20)
}

// Guards against reserves that a gateway spends after their time, twice, or after the quota was changed.
func TestReserveIsSpentOnceInItsTimeAndQuota(t *testing.T) {
	quota := quotaOf(10_000)
	grants := []laburnumquota.Grant{{Account: account, Reserve: &laburnumquota.Reserve{ID: 1, Tokens: 100, Quota: quota}}}
	newWallet := func() *laburnumquota.Wallet {
		w := laburnumquota.NewWallet(terms)
		w.Keep(accountsWith(quota))
		w.Apply(grants, time.Second)
		return w
	}
	w := newWallet()
	require.True(t, w.SpendReserve(account, 60, time.Second))
	require.False(t, w.SpendReserve(account, 60, time.Second))
	require.True(t, w.SpendReserve(account, 40, time.Second))
	require.False(t, newWallet().SpendReserve(account, 60, time.Second+terms.ReserveTime()))
	w = newWallet()
	w.Apply([]laburnumquota.Grant{{Account: account, Extended: []uint64{1}}}, 2*time.Second)
	require.True(t, w.SpendReserve(account, 60, time.Second+terms.ReserveTime()))
	w = newWallet()
	w.Keep(accountsWith(quotaOf(5000)))
	require.False(t, w.SpendReserve(account, 1, time.Second))
	w.Apply(grants, time.Second)
	require.False(t, w.SpendReserve(account, 1, time.Second), "of a keeper that knows another quota")
}

// Guards against asks that grow with the reserves that were granted.
func TestAsksStaySmall(t *testing.T) {
	w := laburnumquota.NewWallet(terms)
	w.Keep(accountsWith(quotaOf(10_000)))
	for id := range uint64(40) {
		w.Apply([]laburnumquota.Grant{{Account: account, Reserve: &laburnumquota.Reserve{ID: id, Tokens: 10, Quota: quotaOf(10_000)}}}, time.Second)
	}
	require.True(t, w.SpendReserve(account, 200, time.Second))
	a := w.Asks(account, 1000, time.Second)[0]
	require.Len(t, a.Held, 20, "those that were spent")
	require.Zero(t, a.Reserve, "there are enough of them")
	require.Empty(t, w.Asks(account, 1000, time.Second)[0].Held)
	late := time.Second + terms.ReserveTime()*9/10
	require.Len(t, w.Asks(account, 1000, late)[0].Held, 20, "those that are left")
}

// Guards against reserves of a quota that was lowered and that a keeper lets gateways hold on to.
func TestReserveOfAnotherQuotaIsNotExtended(t *testing.T) {
	k := fullKeeper()
	g := reserveOf(k, nil, time.Minute)
	k.SetShares(accountsWith(quotaOf(5000)), func(laburnumlever.Account) float64 { return 1 }, time.Minute)
	require.Empty(t, reserveOf(k, []laburnumquota.HeldReserve{{ID: g.Reserve.ID}}, time.Minute).Extended)
}

// Guards against reserves that operators don't see.
func TestUsageTellsReserves(t *testing.T) {
	k := fullKeeper()
	g := reserveOf(k, nil, time.Minute)
	require.InDelta(t, g.Reserve.Tokens, k.Usage(time.Minute)[0].Reserved, 0.1)
	require.Zero(t, k.Usage(2 * time.Minute)[0].Reserved)
}

// Guards against reserves that leave an account less while it uses its quota.
func TestBusyAccountGetsNoReserves(t *testing.T) {
	k := fullKeeper()
	now := time.Minute
	for range 200 {
		now += 50 * time.Millisecond
		require.False(t, k.Answer([]laburnumquota.Ask{{Account: account, Need: 450}}, now)[0].Refused())
	}
	require.Nil(t, reserveOf(k, nil, now).Reserve)
}
