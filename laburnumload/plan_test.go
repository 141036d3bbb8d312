package laburnumload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumload"
)

func seconds(n int) laburnumlever.Duration {
	return laburnumlever.Duration(time.Duration(n) * time.Second)
}

func experiment(phases ...laburnumload.Phase) laburnumload.Experiment {
	return laburnumload.Experiment{
		Name: "e", Seed: 7, Phases: phases,
		Mix: []laburnumload.Entry{
			{Name: "quotes", Share: 9, Models: []laburnumlever.ModelName{"hot", "cold"}, ModelSkew: 2, CallerSkew: 1.5, Callers: 10, Stream: true},
			{Name: "visits", Share: 1, Service: "booking", Path: "/visits", Keyed: true, Resend: 0.5},
		},
	}
}

// Guards against load that does not have the rates and shapes of its experiment, or differs between runs of one seed.
func TestPlanFollowsRatesAndShapes(t *testing.T) {
	for _, tt := range []struct {
		name        string
		phase       laburnumload.Phase
		least, most int
	}{
		{"poisson", laburnumload.Phase{Duration: seconds(100), RequestsPerSecond: 40}, 3700, 4300},
		{"ramp", laburnumload.Phase{Duration: seconds(100), RequestsPerSecond: 10, EndRequestsPerSecond: 100}, 5200, 5800},
		{"steady", laburnumload.Phase{Duration: seconds(100), RequestsPerSecond: 40, Shape: laburnumload.ShapeSteady}, 3990, 4010},
		{"bursts", laburnumload.Phase{Duration: seconds(1000), RequestsPerSecond: 40, Shape: laburnumload.ShapeBurst, BurstSize: 20}, 36400, 43600},
		{"silence", laburnumload.Phase{Duration: seconds(10)}, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			plan := laburnumload.Plan(experiment(tt.phase), "run")
			firsts := 0
			for _, a := range plan {
				if !a.Resend {
					firsts++
				}
			}
			// The bounds are wide, as the counts are random: about four standard deviations of a Poisson count, or of a count of bursts.
			require.GreaterOrEqual(t, firsts, tt.least)
			require.LessOrEqual(t, firsts, tt.most)
			require.Equal(t, plan, laburnumload.Plan(experiment(tt.phase), "run"), "the same seed gives the same plan")
		})
	}
}

func TestPlanFollowsMixAndSkew(t *testing.T) {
	rush := laburnumload.Phase{Duration: seconds(100), RequestsPerSecond: 20, Shares: []laburnumload.Share{{Entry: "quotes", Share: 1}}}
	plan := laburnumload.Plan(experiment(laburnumload.Phase{Duration: seconds(100), RequestsPerSecond: 20}, rush), "run")
	var calm, rushed, hot, quotes, firstCaller, resends int
	keys := map[string]int{}
	for i, a := range plan {
		require.Equal(t, i, a.Number)
		if a.Resend {
			resends++
			require.Equal(t, 1, keys[a.Key], "a resend follows its call")
		}
		if a.Service != "" {
			keys[a.Key]++
		}
		if a.Service == "" {
			quotes++
			if a.Model == "hot" {
				hot++
			}
			if a.Caller == "quotes-0" {
				firstCaller++
			}
		}
		switch {
		case a.Service != "" && !a.Resend && a.At < 100*time.Second:
			calm++
		case a.Service != "" && !a.Resend:
			rushed++
		}
	}
	require.InDelta(t, 200, calm, 60)
	require.InDelta(t, 1000, rushed, 130)
	require.InDelta(t, 0.5, float64(resends)/float64(len(keys)), 0.1)
	require.InDelta(t, 0.8, float64(hot)/float64(quotes), 0.05)
	require.Greater(t, firstCaller, quotes/3, "a few callers take most of the load")
}

func TestPlanFromTrace(t *testing.T) {
	e := experiment(laburnumload.Phase{Duration: seconds(10), RequestsPerSecond: 50})
	e.Trace = []laburnumload.TraceEntry{{At: seconds(2), Entry: "visits"}, {At: seconds(1), Entry: "quotes"}}
	e.Mix[1].Resend = 0
	plan := laburnumload.Plan(e, "run")
	require.Len(t, plan, 2)
	require.Equal(t, "quotes", plan[0].Entry)
	require.Equal(t, 2*time.Second, plan[1].At)
}
