package laburnumbalance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumbalance"
)

// Sixty gateways send to one engine, and each hears of it every few seconds. Word of an idle
// engine stays good for a while, word of a busy one for moments; after that it may be full,
// and a request sent there on trust queued for a second.
func TestServerMayBeFullOnceItsLoadIsStale(t *testing.T) {
	for _, c := range []struct {
		name    string
		running int
		age     time.Duration
		unsure  bool
	}{
		{"fresh word of a busy one", 6, 100 * time.Millisecond, false},
		{"old word of a busy one", 6, 500 * time.Millisecond, true},
		{"old word of an idle one", 1, 500 * time.Millisecond, false},
		{"very old word of an idle one", 1, 4 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable(record(1, "brest", "m0"))
			table.Learn("i-1", laburnumbalance.Sample{HasLoad: true, Running: c.running}, start)
			ticket, verdict := table.Pick(query("m0"), start.Add(c.age))
			require.Equal(t, laburnumbalance.Found, verdict)
			require.Equal(t, c.unsure, ticket.Unsure())
		})
	}
}

// An engine had no place when it was asked. It is left out for a moment, so that the others
// are asked, and asked again before the next request goes there.
func TestServerThatRefusedAReservationIsRetried(t *testing.T) {
	table := newTable(record(1, "brest", "m0"))
	ticket, _ := table.Pick(query("m0"), start)
	require.True(t, ticket.Unsure())
	table.End(ticket, laburnumbalance.Sample{Taken: true}, start)
	_, verdict := table.Pick(query("m0"), start.Add(50*time.Millisecond))
	require.Equal(t, laburnumbalance.Full, verdict)
	queued := query("m0")
	queued.Queue = true
	ticket, verdict = table.Pick(queued, start.Add(50*time.Millisecond))
	require.Equal(t, laburnumbalance.Found, verdict, "one that may wait at the engine goes there")
	table.End(ticket, laburnumbalance.Sample{}, start.Add(60*time.Millisecond))
	ticket, verdict = table.Pick(query("m0"), start.Add(300*time.Millisecond))
	require.Equal(t, laburnumbalance.Found, verdict)
	require.True(t, ticket.Unsure())
	table.End(ticket, laburnumbalance.Sample{HasLoad: true, Running: 1}, start.Add(310*time.Millisecond))
	ticket, _ = table.Pick(query("m0"), start.Add(320*time.Millisecond))
	require.False(t, ticket.Unsure())
}
