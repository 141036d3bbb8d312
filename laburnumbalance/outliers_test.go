package laburnumbalance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumregistry"
)

// Guards against failures that are not reported to the control VMs, or reported twice.
func TestFailuresAreReportedOnce(t *testing.T) {
	table := newTable(record(1, "brest", "m0"), record(2, "brest", "m0"))
	end := func(result laburnumbalance.AttemptResult) laburnumlever.BackendID {
		ticket, verdict := table.Pick(query("m0"), start)
		require.Equal(t, laburnumbalance.Found, verdict)
		table.End(ticket, result, start)
		return ticket.Backend.Backend
	}
	end(laburnumbalance.AttemptResult{})
	require.Empty(t, table.Outcomes(), "nothing failed")
	failed := end(laburnumbalance.AttemptResult{Failed: true, Faulty: true})
	outcomes := table.Outcomes()
	require.Len(t, outcomes, 1)
	require.Equal(t, failed, outcomes[0].Backend)
	require.Equal(t, 1, outcomes[0].Failed)
	require.Empty(t, table.Outcomes())
}

// Guards against a network partition that makes healthy servers count as outliers.
func TestUnreachableServersAreNotReported(t *testing.T) {
	table := newTable(record(1, "brest", "m0"))
	ticket, _ := table.Pick(query("m0"), start)
	table.End(ticket, laburnumbalance.AttemptResult{Failed: true, Unreachable: true}, start)
	require.Empty(t, table.Outcomes())
}

// Guards against a gateway that sends requests to a server that failed those of other gateways.
func TestOutlierIsAvoidedUntilItRecovers(t *testing.T) {
	table := newTable(record(1, "brest", "m0"), record(2, "brest", "m0"))
	overlay := laburnumregistry.Overlay{Backend: "i-1", Fence: 1, Outliers: 1}
	count := func(now time.Time) int {
		n := 0
		for range 50 {
			ticket, _ := table.Pick(query("m0"), now)
			if ticket.Backend.Backend == "i-1" {
				n++
			}
			table.End(ticket, laburnumbalance.AttemptResult{}, now)
		}
		return n
	}
	table.SetOverlay(overlay, start)
	require.Zero(t, count(start))
	later := start.Add(time.Minute)
	table.SetOverlay(overlay, later)
	require.Positive(t, count(later), "a repeated overlay is not a new detection")
	overlay.Outliers, overlay.Incarnation = 2, 77
	table.SetOverlay(overlay, later)
	require.Positive(t, count(later), "the overlay is of another incarnation of the server")
}
