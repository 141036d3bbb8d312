package laburnumbalance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
)

// longQuery is a request whose prompt takes 40 ms to read, at a service whose streams have an event each 50 ms.
func longQuery() laburnumbalance.Query {
	q := query("m0", laburnumlever.PromptPart{ID: 1, Tokens: 1600})
	q.ReadTime, q.Interval, q.PauseTarget = 25*time.Microsecond, 50*time.Millisecond, 200*time.Millisecond
	return q
}

// Guards against streams that pause for a long prompt on a slow machine, and against prompts that wait while all are slow.
func TestLongPromptIsReadElsewhere(t *testing.T) {
	near, far := record(1, "brest", "m0"), record(2, "lyon", "m0")
	for _, c := range []struct {
		name      string
		near, far float64
		query     laburnumbalance.Query
		age       time.Duration
		want      laburnumlever.BackendID
	}{
		{"usual pace", 1, 1, longQuery(), 0, "i-1"},
		{"slow", 2.5, 1, longQuery(), 0, "i-2"},
		{"slow a while ago", 2.5, 1, longQuery(), time.Second, "i-1"},
		{"short prompt", 2.5, 1, query("m0"), 0, "i-1"},
		{"both slow", 2.5, 3, longQuery(), 0, "i-1"},
		{"both slow, the near one more", 1e300, 2.5, longQuery(), 0, "i-2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable(near, far)
			table.ObservePace(near.Heartbeat, c.near, 2, start)
			table.ObservePace(far.Heartbeat, c.far, 2, start)
			ticket, _ := table.Pick(c.query, start.Add(c.age))
			require.Equal(t, c.want, ticket.Backend.Backend)
		})
	}
}

// Guards against an engine that was passed over and counts as caching the prompt, or as slow after a restart under its id.
func TestPassedOverEngineIsUsedAgainAfterARestart(t *testing.T) {
	before := record(1, "brest", "m0")
	after := before
	after.Heartbeat.Incarnation = 7
	table := newTable(before, record(2, "lyon", "m0"))
	ticket, _ := table.Pick(longQuery(), start)
	require.True(t, table.LookDecides(ticket, 2.5, start))
	require.False(t, table.LookDecides(ticket, 1.1, start), "no machine is slow enough")
	table.ObservePace(before.Heartbeat, 2.5, 2, start)
	require.True(t, table.Overruns(ticket, start))
	table.End(ticket, laburnumbalance.AttemptResult{PassedOver: true}, start)
	ticket, _ = table.Pick(longQuery(), start)
	require.Equal(t, laburnumlever.BackendID("i-2"), ticket.Backend.Backend)
	table.Set(after)
	table.ObservePace(before.Heartbeat, 2.5, 2, start) // an answer that was on its way
	require.Zero(t, table.SlowServers("quotes", start))
	ticket, _ = table.Pick(longQuery(), start)
	require.Equal(t, laburnumlever.BackendID("i-1"), ticket.Backend.Backend)
}
