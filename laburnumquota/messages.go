package laburnumquota

import (
	"math"
	"slices"
	"time"

	"laburnumlever"
)

// maxAmount bounds the tokens of a message: sums of such amounts are exact enough and finite.
const maxAmount = 1e15

// amount returns tokens that another VM names, within bounds. One that is no number, or negative, counts as none: it would stay in
// all sums, or add tokens that nobody was charged for.
func amount(tokens float64) float64 {
	if math.IsNaN(tokens) || math.IsInf(tokens, 0) || tokens < 0 {
		return 0
	}
	return min(tokens, maxAmount)
}

// Ask asks a keeper for tokens of an account. A request for a large number of tokens is granted whole or not at all.
type Ask struct {
	Account laburnumlever.AccountName `json:"account"`
	// Need is what waiting requests cost, Want what is expected to be spent soon beyond it.
	Need float64 `json:"need,omitempty"`
	Want float64 `json:"want,omitempty"`
	// Held lists reserves to hold for longer, and Reserve is what to add to them.
	Held    []HeldReserve `json:"held,omitempty"`
	Reserve float64       `json:"reserve,omitempty"`
}

// checked returns the ask with amounts within bounds.
func (a Ask) checked() Ask {
	a.Need, a.Want, a.Reserve = amount(a.Need), amount(a.Want), amount(a.Reserve)
	a.Held = slices.Clone(a.Held)
	for i, h := range a.Held {
		a.Held[i].Spent, a.Held[i].Dropped = amount(h.Spent), amount(h.Dropped)
	}
	return a
}

// Grant is a keeper's answer to an Ask.
type Grant struct {
	Account laburnumlever.AccountName `json:"account"`
	Tokens  float64                   `json:"tokens,omitempty"`
	// RetryIn, if the need was not granted, is the time until it will fit.
	RetryIn laburnumlever.Duration `json:"retry-in,omitempty"`
	// AskIn is when it is worth while to ask this keeper again, which may be sooner: what was refused is not kept for
	// who asked.
	AskIn laburnumlever.Duration `json:"ask-in,omitempty"`
	// Elsewhere is set if this keeper has no share of the quota, so that its refusal says nothing.
	Elsewhere bool `json:"elsewhere,omitempty"`
	// Asked is when the ask was sent, set by who sent it; 0 for the time that all grants have in common.
	Asked time.Duration `json:"-"`
	// Reserve is a new reserve, and Extended are the IDs of those that may be held for longer.
	Reserve  *Reserve `json:"reserve,omitempty"`
	Extended []uint64 `json:"extended,omitempty"`
}

// Refused reports whether the need of an ask was refused.
func (g Grant) Refused() bool { return g.RetryIn > 0 || g.Elsewhere }

// Granted reports whether a keeper granted the need of an account.
func Granted(grants []Grant, account laburnumlever.AccountName) bool {
	return slices.ContainsFunc(grants, func(g Grant) bool { return g.Account == account && !g.Refused() })
}

// Refusal returns the shortest times until a refused need will fit and until it is worth while to ask again, over all
// keepers that refused it.
func Refusal(grants []Grant, account laburnumlever.AccountName) (fitsIn, askIn time.Duration) {
	fitsIn, askIn = maxRetryIn, maxAskIn
	for _, g := range grants {
		if g.Account == account && g.RetryIn > 0 {
			fitsIn, askIn = min(fitsIn, time.Duration(g.RetryIn)), min(askIn, time.Duration(g.AskIn))
		}
	}
	return fitsIn, askIn
}
