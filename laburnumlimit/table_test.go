package laburnumlimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumlimit"
)

func observation(l laburnumlimit.Limit, sent time.Duration) laburnumlimit.Observation {
	return laburnumlimit.Observation{Limit: l, SentAt: at(sent)}
}

// Guards against the answer to an earlier request that ends a limit.
func TestOnlyLaterRequestsEndALimit(t *testing.T) {
	table := laburnumlimit.NewTable("vm-1")
	require.False(t, table.Observe(observation(ended(), 0), at(time.Second)), "no limit known")
	require.True(t, table.Observe(observation(limit(2), 0), at(2*time.Second)))
	require.False(t, table.Observe(observation(limit(2), 0), at(3*time.Second)), "the same limit")
	require.False(t, table.Observe(observation(ended(), 2*time.Second), at(4*time.Second)), "sent before the last answer that named it")
	l, ok := table.Limit("i-1", 7)
	require.True(t, ok)
	require.InDelta(t, 2, l.PerSecond, 0)
	require.True(t, table.Observe(observation(ended(), 3500*time.Millisecond), at(4*time.Second)))
	_, ok = table.Limit("i-1", 7)
	require.False(t, ok)
}

// Guards against the limit of a server that outlives its restart.
func TestLimitBelongsToAnIncarnation(t *testing.T) {
	table := laburnumlimit.NewTable("vm-1")
	require.True(t, table.Apply(limit(2), start))
	require.False(t, table.Apply(limit(2), start))
	_, ok := table.Limit("i-1", 8)
	require.False(t, ok)
	require.True(t, table.Apply(laburnumlimit.Limit{Backend: "i-1", Incarnation: 8, PerSecond: 3}, start))
	require.False(t, table.Apply(limit(2), start), "an earlier incarnation")
	require.False(t, table.Observe(observation(limit(2), 0), start), "an earlier incarnation")
	table.Forget("i-1")
	require.False(t, table.Apply(ended(), start))
}

// Guards against hearsay that overrides what another gateway has seen.
func TestReportTellsHearsayFromWhatWasSeen(t *testing.T) {
	told := laburnumlimit.NewTable("vm-1")
	told.Apply(limit(2), start)
	keeper := newKeeper(t, limit(5))
	r, ok := told.Report("i-1", "zone-a", at(time.Second))
	require.True(t, ok)
	require.False(t, keeper.Report(r, at(time.Second)))
	require.True(t, laburnumlimit.NewKeeper().Report(r, at(time.Second)), "a restarted control VM learns it")
	told.Observe(observation(limit(2), time.Second), at(2*time.Second))
	r, _ = told.Report("i-1", "zone-a", at(3*time.Second))
	require.Equal(t, time.Second, time.Duration(r.Age))
	require.True(t, keeper.Report(r, at(3*time.Second)))
}

// Guards against requests for slots that are known not to be granted.
func TestRefusedGatewayDoesNotAskAgainAtOnce(t *testing.T) {
	table := laburnumlimit.NewTable("vm-1")
	table.Apply(limit(2), start)
	require.Zero(t, table.RetryIn("i-1", time.Second, start))
	table.Refused("i-1", time.Second, 300*time.Millisecond, start)
	require.Equal(t, 200*time.Millisecond, table.RetryIn("i-1", time.Second, at(100*time.Millisecond)))
	require.Zero(t, table.RetryIn("i-1", 2*time.Second, at(100*time.Millisecond)), "it can wait longer")
	require.Zero(t, table.RetryIn("i-1", time.Second, at(300*time.Millisecond)))
	table.Refused("i-1", time.Second, time.Second, at(time.Second))
	table.Apply(limit(9), at(time.Second))
	require.Zero(t, table.RetryIn("i-1", time.Second, at(time.Second)), "the limit was raised")
}

// Guards against gateways that send their own limit each while no control VM answers.
func TestSharesAddUpWithoutControlVMs(t *testing.T) {
	for _, gateways := range []int{1, 3, 6, 780} {
		for _, perSecond := range []float64{0, 2.1, 20} {
			var sent []time.Time
			tables := make([]*laburnumlimit.Table, gateways)
			for i := range tables {
				tables[i] = laburnumlimit.NewTable(laburnumlever.VMID(fmt.Sprint("vm-", i)))
				tables[i].Apply(limit(perSecond), start)
			}
			for ms := 0; ms < 20_000; ms += 10 {
				for _, table := range tables {
					if now := at(time.Duration(ms) * time.Millisecond); table.Share("i-1", gateways, now) {
						sent = append(sent, now)
					}
				}
			}
			if perSecond > 0 {
				require.NotEmpty(t, sent, "%d gateways", gateways)
			}
			require.LessOrEqual(t, busiest(sent), allowed(perSecond), "%d gateways, %g a second", gateways, perSecond)
		}
	}
}
