package laburnumbalance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumbalance"
)

// Guards against less urgent requests that take the last free slots of an engine while urgent ones find none.
func TestLessUrgentRequestsLeaveHeadroomFree(t *testing.T) {
	table := newTable(record(1, "brest", "m0"))
	table.SetHeadroom("quotes", map[int]float64{2: 0.5})
	batch := query("m0")
	batch.Rank = 2
	for running, verdicts := range map[int][2]laburnumbalance.Verdict{
		3: {laburnumbalance.Found, laburnumbalance.Found}, 4: {laburnumbalance.Full, laburnumbalance.Found}, 8: {laburnumbalance.Full, laburnumbalance.Full},
	} {
		table.Observe("i-1", laburnumbalance.AttemptResult{HasLoad: true, Running: running}, start)
		_, verdict := table.Pick(batch, start)
		require.Equal(t, verdicts[0], verdict, "less urgent beside %d", running)
		ticket, verdict := table.Pick(query("m0"), start)
		require.Equal(t, verdicts[1], verdict, "urgent beside %d", running)
		table.End(ticket, laburnumbalance.AttemptResult{}, start)
	}
	table.SetHeadroom("quotes", nil)
	table.Observe("i-1", laburnumbalance.AttemptResult{HasLoad: true, Running: 6}, start)
	_, verdict := table.Pick(batch, start)
	require.Equal(t, laburnumbalance.Found, verdict)
}

// Guards against an old load, in which the requests of other gateways have faded, that hides that an engine has no headroom.
func TestHeadroomIsReservedOnAnOldLoad(t *testing.T) {
	table := newTable(record(1, "brest", "m0"))
	table.SetHeadroom("quotes", map[int]float64{2: 0.5})
	table.Observe("i-1", laburnumbalance.AttemptResult{HasLoad: true, Running: 3}, start)
	batch := query("m0")
	batch.Rank = 2
	ticket, verdict := table.Pick(batch, start.Add(time.Second))
	require.Equal(t, laburnumbalance.Found, verdict)
	require.True(t, ticket.MayBeFull())
	require.True(t, table.Crowded(batch, 8, 4))
	require.False(t, table.Crowded(query("m0"), 8, 8), "the most urgent leave none")
}
