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

// Guards against streams that pause for a long prompt on a slow machine while another engine could have read it.
func TestLongPromptIsReadElsewhere(t *testing.T) {
	near, far := record(1, "brest", "m0"), record(2, "lyon", "m0")
	for _, c := range []struct {
		name    string
		pace    float64
		running int
		query   laburnumbalance.Query
		age     time.Duration
		want    laburnumlever.BackendID
	}{
		{"usual pace", 1, 2, longQuery(), 0, "i-1"},
		{"slow", 2.5, 2, longQuery(), 0, "i-2"},
		{"slower, and it runs nothing", 1.1, 0, longQuery(), 0, "i-1"},
		{"slow a while ago", 2.5, 2, longQuery(), time.Second, "i-1"},
		{"short prompt", 2.5, 2, query("m0"), 0, "i-1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable(near, far)
			table.ObservePace(near.Heartbeat, c.pace, c.running, start)
			ticket, _ := table.Pick(c.query, start.Add(c.age))
			require.Equal(t, c.want, ticket.Backend.Backend)
		})
	}
}

// Guards against prompts that wait while the only engine that could read them is slow.
func TestOnlySlowEnginesAreUsed(t *testing.T) {
	one, two := record(1, "brest", "m0"), record(2, "brest", "m0")
	table := newTable(one, two)
	table.ObservePace(one.Heartbeat, 3, 2, start)
	table.ObservePace(two.Heartbeat, 2.5, 2, start)
	ticket, verdict := table.Pick(longQuery(), start)
	require.Equal(t, laburnumbalance.Found, verdict)
	require.Equal(t, laburnumlever.BackendID("i-2"), ticket.Backend.Backend, "the quicker one")
}

// Guards against a prompt that counts as cached at an engine that was passed over, so that it is sent there after all.
func TestPassedOverEngineHasCachedNothing(t *testing.T) {
	one, two := record(1, "brest", "m0"), record(2, "lyon", "m0")
	table := newTable(one, two)
	ticket, _ := table.Pick(longQuery(), start)
	require.True(t, table.LookDecides(ticket, 2.5, start))
	table.ObservePace(one.Heartbeat, 2.5, 2, start)
	require.True(t, table.Overruns(ticket, start))
	table.End(ticket, laburnumbalance.AttemptResult{PassedOver: true}, start)
	ticket, _ = table.Pick(longQuery(), start)
	require.Equal(t, laburnumlever.BackendID("i-2"), ticket.Backend.Backend)
}

// Guards against a pace of an engine's last start that counts for its new one under the same id.
func TestRestartForgetsThePace(t *testing.T) {
	before := record(1, "brest", "m0")
	after := before
	after.Heartbeat.Incarnation = 7
	table := newTable(before, record(2, "lyon", "m0"))
	table.ObservePace(before.Heartbeat, 2.5, 2, start)
	require.Equal(t, 1, table.SlowServers("quotes", start))
	table.Set(after)
	require.Zero(t, table.SlowServers("quotes", start))
	table.ObservePace(before.Heartbeat, 2.5, 2, start) // an answer that was on its way
	ticket, _ := table.Pick(longQuery(), start)
	require.Equal(t, laburnumlever.BackendID("i-1"), ticket.Backend.Backend)
}

// Guards against questions that change nothing: no other engine could take the prompt, or the slowest machine is quick enough.
func TestLooksAreOnlyMadeWhereTheyDecide(t *testing.T) {
	one := record(1, "brest", "m0")
	alone, _ := newTable(one).Pick(longQuery(), start)
	table := newTable(one, record(2, "lyon", "m0"))
	require.False(t, table.LookDecides(alone, 2.5, start))
	long, _ := table.Pick(longQuery(), start)
	require.True(t, table.LookDecides(long, 2.5, start))
	require.False(t, table.LookDecides(long, 1.1, start))
	short, _ := table.Pick(query("m0", laburnumlever.PromptPart{ID: 2, Tokens: 40}), start)
	require.False(t, table.LookDecides(short, 2.5, start))
}
