package laburnumbalance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
)

// Guards against less urgent requests that take the last free slots of an engine while urgent ones find none.
func TestLessUrgentRequestsLeaveHeadroomFree(t *testing.T) {
	table := newTable(record(1, "brest", "m0"))
	table.SetHeadroom("quotes", map[int]float64{2: 0.5})
	table.Asked(query("m0"), 0, start)
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
	table.Asked(query("m0"), 0, start)
	table.Observe("i-1", laburnumbalance.AttemptResult{HasLoad: true, Running: 3}, start)
	batch := query("m0")
	batch.Rank = 2
	ticket, verdict := table.Pick(batch, start.Add(time.Second))
	require.Equal(t, laburnumbalance.Found, verdict)
	require.True(t, ticket.MayBeFull())
	require.True(t, table.Crowded(ticket, 4, start.Add(time.Second)))
	require.False(t, table.Crowded(ticket, 3, start.Add(time.Second)))
}

// Guards against slots that stay idle at engines that no urgent request can use.
func TestEnginesWithoutUrgentModelsNeedNoHeadroom(t *testing.T) {
	table := newTable(record(1, "brest", "m0", "m1"), record(2, "brest", "m1"))
	table.SetHeadroom("quotes", map[int]float64{2: 0.5})
	table.Asked(query("m0"), 0, start)
	batch := query("m1")
	batch.Rank = 2
	table.Asked(batch, 2, start)
	for _, id := range []laburnumlever.BackendID{"i-1", "i-2"} {
		table.Observe(id, laburnumbalance.AttemptResult{HasLoad: true, Running: 4}, start)
	}
	ticket, verdict := table.Pick(batch, start)
	require.Equal(t, laburnumbalance.Found, verdict)
	require.Equal(t, laburnumlever.BackendID("i-2"), ticket.Backend.Backend)
	table.Observe("i-2", laburnumbalance.AttemptResult{HasLoad: true, Running: 8}, start)
	_, verdict = table.Pick(batch, start)
	require.Equal(t, laburnumbalance.Full, verdict)
	later := start.Add(11 * time.Second)
	table.Observe("i-1", laburnumbalance.AttemptResult{HasLoad: true, Running: 4}, later)
	table.Observe("i-2", laburnumbalance.AttemptResult{HasLoad: true, Running: 8}, later)
	_, verdict = table.Pick(batch, later)
	require.Equal(t, laburnumbalance.Found, verdict, "nobody asks for the urgent model any more")
}
