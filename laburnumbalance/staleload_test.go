package laburnumbalance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumbalance"
)

// Guards against requests that wait at an engine which other gateways have filled since its last report.
func TestServerMayBeFullOnceItsLoadIsStale(t *testing.T) {
	for _, c := range []struct {
		name      string
		running   int
		age       time.Duration
		mayBeFull bool
	}{
		{"fresh report of a busy engine", 6, 100 * time.Millisecond, false},
		{"old report of a busy engine", 6, 500 * time.Millisecond, true},
		{"old report of an idle engine", 1, 500 * time.Millisecond, false},
		{"very old report of an idle engine", 1, 4 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable(record(1, "brest", "m0"))
			table.Observe("i-1", laburnumbalance.AttemptResult{HasLoad: true, Running: c.running}, start)
			ticket, verdict := table.Pick(query("m0"), start.Add(c.age))
			require.Equal(t, laburnumbalance.Found, verdict)
			require.Equal(t, c.mayBeFull, ticket.MayBeFull())
		})
	}
}

// Guards against repeating a reservation at an engine that just refused one, and against requests sent there later without one.
func TestServerThatRefusedAReservationIsRetried(t *testing.T) {
	table := newTable(record(1, "brest", "m0"))
	ticket, _ := table.Pick(query("m0"), start)
	require.True(t, ticket.MayBeFull())
	table.End(ticket, laburnumbalance.AttemptResult{ReservationRefused: true}, start)
	_, verdict := table.Pick(query("m0"), start.Add(50*time.Millisecond))
	require.Equal(t, laburnumbalance.Full, verdict)
	queued := query("m0")
	queued.Queue = true
	ticket, verdict = table.Pick(queued, start.Add(50*time.Millisecond))
	require.Equal(t, laburnumbalance.Found, verdict, "a request that may queue at the engine is sent there")
	table.End(ticket, laburnumbalance.AttemptResult{}, start.Add(60*time.Millisecond))
	ticket, verdict = table.Pick(query("m0"), start.Add(300*time.Millisecond))
	require.Equal(t, laburnumbalance.Found, verdict)
	require.True(t, ticket.MayBeFull())
	table.End(ticket, laburnumbalance.AttemptResult{HasLoad: true, Running: 1}, start.Add(310*time.Millisecond))
	ticket, _ = table.Pick(query("m0"), start.Add(320*time.Millisecond))
	require.False(t, ticket.MayBeFull())
}
