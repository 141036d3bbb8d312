package laburnumbalance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumregistry"
)

var restStart = time.Unix(1_790_000_000, 0)

// restingTable returns a table of plain servers.
func restingTable(ids ...laburnumlever.BackendID) (*laburnumbalance.Table, map[laburnumlever.BackendID]laburnumlever.Heartbeat) {
	t := laburnumbalance.New("brest", 1)
	servers := map[laburnumlever.BackendID]laburnumlever.Heartbeat{}
	for _, id := range ids {
		h := laburnumlever.Heartbeat{Backend: id, Service: "booking", Zone: "brest", Incarnation: 1, Sequence: 1, Slots: 4}
		servers[id] = h
		t.Set(laburnumregistry.Record{Heartbeat: h})
	}
	return t, servers
}

var booking = laburnumbalance.Query{Service: "booking"}

// Guards against a rest that is cut short by a shorter one, or kept by another incarnation of the server.
func TestRestLastsAsLongAsItWasAskedFor(t *testing.T) {
	table, servers := restingTable("i-1")
	h := servers["i-1"]
	_, longer := table.Rest(h, 3*time.Second, restStart)
	require.True(t, longer)
	_, longer = table.Rest(h, time.Second, restStart.Add(time.Second))
	require.False(t, longer, "a shorter one")
	for _, age := range []time.Duration{0, time.Second, 2999 * time.Millisecond} {
		_, verdict := table.Pick(booking, restStart.Add(age))
		require.Equal(t, laburnumbalance.Resting, verdict, age)
	}
	_, verdict := table.Pick(booking, restStart.Add(3750*time.Millisecond))
	require.Equal(t, laburnumbalance.Found, verdict)

	earlier := h
	earlier.Incarnation = 0
	_, longer = table.Rest(earlier, time.Minute, restStart.Add(4*time.Second))
	require.False(t, longer, "of an earlier incarnation")
	restarted := h
	restarted.Incarnation = 2
	_, _ = table.Rest(h, time.Minute, restStart.Add(4*time.Second))
	table.Set(laburnumregistry.Record{Heartbeat: restarted})
	_, verdict = table.Pick(booking, restStart.Add(4*time.Second))
	require.Equal(t, laburnumbalance.Found, verdict, "the rest ends with the incarnation")
}

// Guards against a server that gets all waiting requests at once when its rest is over.
func TestServerGetsOneRequestAfterItsRestUntilItAnswers(t *testing.T) {
	table, servers := restingTable("i-1")
	before, _ := table.Pick(booking, restStart)
	end, _ := table.Rest(servers["i-1"], time.Second, restStart)
	table.RestOver(before) // an answer to a request from before the rest
	trial, verdict := table.Pick(booking, end)
	require.Equal(t, laburnumbalance.Found, verdict)
	_, verdict = table.Pick(booking, end)
	require.Equal(t, laburnumbalance.Full, verdict)
	table.End(trial, laburnumbalance.AttemptResult{}, end) // it was not sent
	trial, verdict = table.Pick(booking, end)
	require.Equal(t, laburnumbalance.Found, verdict)
	table.RestOver(trial)
	_, verdict = table.Pick(booking, end)
	require.Equal(t, laburnumbalance.Found, verdict)
}

// Guards against VMs that all return to a server at the same time.
func TestEndsOfRestsAreSpread(t *testing.T) {
	const vms = 780
	ends := map[time.Duration]int{}
	for vm := range uint64(vms) {
		table := laburnumbalance.New("brest", vm)
		h := laburnumlever.Heartbeat{Backend: "i-1", Service: "booking", Incarnation: 1, Sequence: 1, Slots: 4}
		table.Set(laburnumregistry.Record{Heartbeat: h})
		end, _ := table.Rest(h, 3*time.Second, restStart)
		require.False(t, end.Before(restStart.Add(3*time.Second)))
		ends[end.Sub(restStart)/(100*time.Millisecond)]++
	}
	for slot, n := range ends {
		require.Less(t, n, vms/4, "within the same 100 ms, %d", slot)
	}
}

// Guards against a rest that counts as a failure, so that the server is avoided or reported as an outlier afterwards.
func TestRestIsNoFailure(t *testing.T) {
	table, servers := restingTable("i-1", "i-2")
	ticket, _ := table.Pick(booking, restStart)
	id := ticket.Backend.Backend
	table.Rest(servers[id], time.Second, restStart)
	table.End(ticket, laburnumbalance.AttemptResult{Failed: true, Faulty: true, Rested: true}, restStart)
	require.Empty(t, table.Outcomes())
	later := restStart.Add(2 * time.Second)
	picked := map[laburnumlever.BackendID]int{}
	for range 20 {
		if next, verdict := table.Pick(booking, later); verdict == laburnumbalance.Found {
			picked[next.Backend.Backend]++
			table.RestOver(next)
			table.End(next, laburnumbalance.AttemptResult{}, later)
		}
	}
	require.Greater(t, picked[id], 3)
}

// Guards against callers that are refused for a rest although another server could take them, or told a later end than the first.
func TestAllServersMustRest(t *testing.T) {
	table, servers := restingTable("i-1", "i-2")
	_, _ = table.Rest(servers["i-1"], 5*time.Second, restStart)
	_, resting := table.RestsUntil(booking, restStart)
	require.False(t, resting)
	second, _ := table.Rest(servers["i-2"], time.Second, restStart)
	until, resting := table.RestsUntil(booking, restStart)
	require.True(t, resting)
	require.Equal(t, second, until)
	require.Equal(t, 2, table.Resting("booking", restStart))
}
