package laburnumbalance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumbalance"
)

// Guards against free slots that few gateways notice too late, and full engines that hundreds of them poll too often.
func TestRetryTimeGrowsWithTheNumberOfGateways(t *testing.T) {
	for gateways, wait := range map[int]time.Duration{6: 42 * time.Millisecond, 294: 150 * time.Millisecond} {
		table := newTable(record(1, "brest", "m0"))
		table.SetGateways(gateways)
		require.Equal(t, wait, table.RetryTime())
		ticket, _ := table.Pick(query("m0"), start)
		table.End(ticket, laburnumbalance.AttemptResult{ReservationRefused: true}, start)
		_, verdict := table.Pick(query("m0"), start.Add(wait-time.Millisecond))
		require.Equal(t, laburnumbalance.Full, verdict)
		_, verdict = table.Pick(query("m0"), start.Add(wait))
		require.Equal(t, laburnumbalance.Found, verdict)
	}
}
