package laburnumquota_test

import (
	"testing"
	"time"

	"laburnumlever/laburnumquota"
)

// BenchmarkAnswer measures a keeper's answer to one ask.
func BenchmarkAnswer(b *testing.B) {
	k := laburnumquota.NewKeeper(terms)
	k.SetShares(accountsWith(quotaOf(100_000)), wholeShare, 0)
	n := time.Duration(0)
	for b.Loop() {
		n += time.Millisecond
		k.Answer([]laburnumquota.Ask{{Account: account, Need: meanCost}}, n)
	}
}

// BenchmarkAnswerWithReserves measures an ask of one of many gateways with reserves.
func BenchmarkAnswerWithReserves(b *testing.B) {
	const gateways = 780
	k := laburnumquota.NewKeeper(terms)
	k.SetShares(accountsWith(quotaOf(100_000_000)), wholeShare, 0)
	n := time.Hour
	held := make([][]laburnumquota.HeldReserve, gateways)
	for i := 0; b.Loop(); i++ {
		n += time.Millisecond
		of := &held[i%gateways]
		if g := k.Answer([]laburnumquota.Ask{{Account: account, Need: meanCost, Reserve: meanCost, Held: *of}}, n)[0]; g.Reserve != nil && len(*of) == 0 {
			*of = []laburnumquota.HeldReserve{{ID: g.Reserve.ID}}
		}
	}
}

// BenchmarkSpend measures a request that a gateway has tokens for.
func BenchmarkSpend(b *testing.B) {
	w := laburnumquota.NewWallet(terms)
	n := time.Duration(0)
	for b.Loop() {
		n += time.Millisecond
		if _, ok := w.Spend(account, meanCost, n); !ok {
			w.Apply([]laburnumquota.Grant{{Account: account, Tokens: 10 * meanCost}}, n)
		}
	}
}
