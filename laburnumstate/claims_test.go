package laburnumstate_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumstate"
)

// Guards against running a request twice because a delayed release freed a later claim on the same key.
func TestLateReleaseDoesNotFreeALaterClaim(t *testing.T) {
	m := laburnumstate.New()
	claim := func(id string) laburnumlever.ResultCode {
		return m.Apply(0, laburnumlever.Command{Kind: laburnumlever.CommandClaimRequest, Claim: &laburnumlever.ClaimRequest{
			Owner: "quotes", Service: "booking", Key: "k", VM: "a", Claim: id,
		}}).Code
	}
	release := func(id string) laburnumlever.ResultCode {
		return m.Apply(0, laburnumlever.Command{Kind: laburnumlever.CommandRecordAnswer, Answer: &laburnumlever.RecordAnswer{
			Owner: "quotes", Service: "booking", Key: "k", VM: "a", Claim: id, Outcome: laburnumlever.OutcomeNotRun,
		}}).Code
	}
	require.Equal(t, laburnumlever.ResultOK, claim("first"))
	require.Equal(t, laburnumlever.ResultOK, release("first"))
	require.Equal(t, laburnumlever.ResultOK, claim("second"))
	require.Equal(t, laburnumlever.ResultNotHolder, release("first"))
	require.Equal(t, laburnumlever.ResultClaimed, claim("third"))
}
