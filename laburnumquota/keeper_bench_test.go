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
