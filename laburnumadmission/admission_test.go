package laburnumadmission_test

import (
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumadmission"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// Guards against owners exceeding their limits during a network partition, by shares that add up to more than the limit.
func TestSharesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := rapid.IntRange(1, 12).Draw(rt, "vms")
		limits := laburnumlever.Limits{
			InFlight:          rapid.IntRange(1, 40).Draw(rt, "in-flight"),
			RequestsPerSecond: rapid.Float64Range(0.5, 50).Draw(rt, "rate"),
		}
		inFlight, admitted := 0, 0
		const seconds = 10
		for rank := range vms {
			a := laburnumadmission.New()
			// a VM that is cut off knows only some of the others
			known := rapid.IntRange(rank+1, vms).Draw(rt, "known")
			a.SetShare(laburnumadmission.Share{VMs: vms, Known: known, Rank: rank})
			q := laburnumadmission.Request{Owner: "o", Entry: "m", OwnerLimits: laburnumlever.Limits{InFlight: limits.InFlight}}
			for a.Admit(start, q) == nil {
				inFlight++
			}
			a = laburnumadmission.New()
			a.SetShare(laburnumadmission.Share{VMs: vms, Known: known, Rank: rank})
			q.OwnerLimits = laburnumlever.Limits{RequestsPerSecond: limits.RequestsPerSecond}
			for ms := range seconds * 100 {
				if a.Admit(start.Add(time.Duration(ms)*10*time.Millisecond), q) == nil {
					admitted++
				}
			}
		}
		require.LessOrEqual(rt, inFlight, limits.InFlight)
		// over time the rate holds; each VM may start with one second's worth, at least one request
		most := limits.RequestsPerSecond*(seconds+1) + float64(vms)
		require.LessOrEqual(rt, float64(admitted), most)
	})
}

func TestTokenCostIsCorrectedOnRelease(t *testing.T) {
	a := laburnumadmission.New()
	q := laburnumadmission.Request{Owner: "o", Entry: "m", Tokens: 500, OwnerLimits: laburnumlever.Limits{TokensPerSecond: 100}}
	require.NoError(t, a.Admit(start, q)) // larger than the bucket, but admitted
	var refused *laburnumlever.RefusalError
	require.ErrorAs(t, a.Admit(start, q), &refused)
	require.Equal(t, laburnumlever.RefusedOwnerTokenRate, refused.Reason)
	require.InDelta(t, 4.01, refused.RetryAfter.Seconds(), 0.001)
	a.Release(start, q, 20) // it used only 20
	require.NoError(t, a.Admit(start.Add(time.Second), q))
}
