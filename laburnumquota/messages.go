package laburnumquota

import (
	"time"

	"laburnumlever"
)

// Ask asks a keeper for tokens of an account. A request for a large number of tokens is granted whole or not at all.
type Ask struct {
	Account laburnumlever.AccountName `json:"account"`
	// Need is what waiting requests cost, Want what is expected to be spent soon beyond it.
	Need float64 `json:"need,omitempty"`
	Want float64 `json:"want,omitempty"`
}

// Grant is a keeper's answer to an Ask.
type Grant struct {
	Account laburnumlever.AccountName `json:"account"`
	Tokens  float64                   `json:"tokens,omitempty"`
	// RetryIn, if the need was not granted, is the time until it will fit.
	RetryIn laburnumlever.Duration `json:"retry-in,omitempty"`
	// Elsewhere is set if this keeper has no share of the quota, so that its refusal says nothing.
	Elsewhere bool `json:"elsewhere,omitempty"`
}

// Refused reports whether the need of an ask was refused.
func (g Grant) Refused() bool { return g.RetryIn > 0 || g.Elsewhere }

// FitsIn returns the shortest time until a keeper says that a refused need will fit.
func FitsIn(grants []Grant, account laburnumlever.AccountName) time.Duration {
	in := maxRetryIn
	for _, g := range grants {
		if g.Account == account && g.RetryIn > 0 {
			in = min(in, time.Duration(g.RetryIn))
		}
	}
	return in
}
