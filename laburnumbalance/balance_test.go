package laburnumbalance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumregistry"
)

var start = time.Unix(1_000_000, 0)

func record(id int, zone laburnumlever.ZoneName, models ...string) laburnumregistry.Record {
	h := laburnumlever.Heartbeat{Backend: laburnumlever.BackendID(fmt.Sprintf("i-%d", id)), Service: "quotes", Zone: zone, Sequence: 1, Slots: 8}
	for _, m := range models {
		h.Models = append(h.Models, laburnumlever.EngineModel{Name: laburnumlever.ModelName(m)})
	}
	return laburnumregistry.Record{Heartbeat: h}
}

func query(model string, prompt ...laburnumlever.PromptPart) laburnumbalance.Query {
	return laburnumbalance.Query{Service: "quotes", Model: laburnumlever.ModelName(model), Prompt: prompt, Target: 300 * time.Millisecond}
}

func newTable(records ...laburnumregistry.Record) *laburnumbalance.Table {
	t := laburnumbalance.New("brest", 1)
	for _, r := range records {
		t.Set(r)
	}
	return t
}

// Guards against verdicts that confuse an absent model or adapter, which must be loaded, with a full service.
func TestVerdicts(t *testing.T) {
	table := newTable(record(1, "brest", "m0"))
	_, verdict := table.Pick(laburnumbalance.Query{Service: "other"}, start)
	require.Equal(t, laburnumbalance.NoServer, verdict)
	_, verdict = table.Pick(query("m1"), start)
	require.Equal(t, laburnumbalance.ModelAbsent, verdict)
	withAdapter := query("m0")
	withAdapter.Adapter = "a1"
	_, verdict = table.Pick(withAdapter, start)
	require.Equal(t, laburnumbalance.AdapterAbsent, verdict)
	table.ModelLoaded("i-1", "m0", "a1", start)
	_, verdict = table.Pick(withAdapter, start)
	require.Equal(t, laburnumbalance.Found, verdict)
	for verdict == laburnumbalance.Found {
		_, verdict = table.Pick(query("m0"), start)
	}
	require.Equal(t, laburnumbalance.Full, verdict)
}

// Guards against prompts that pile up at one engine, and delay its streams, while another has none to read.
func TestLongPromptsSpreadOverEngines(t *testing.T) {
	table := newTable(record(1, "brest", "m0"), record(2, "brest", "m0"))
	counts := map[laburnumlever.BackendID]int{}
	for i := range 8 {
		ticket, verdict := table.Pick(query("m0", laburnumlever.PromptPart{ID: uint64(i), Tokens: 900}), start)
		require.Equal(t, laburnumbalance.Found, verdict)
		counts[ticket.Backend.Backend]++
	}
	require.Equal(t, 4, counts["i-1"])
	require.Equal(t, 4, counts["i-2"])
}

// Guards against requests with a shared prompt prefix being sent to an engine that has not cached it.
func TestSharedPrefixGoesToTheEngineThatCachedIt(t *testing.T) {
	table := newTable(record(1, "brest", "m0"), record(2, "brest", "m0"))
	shared := laburnumlever.PromptPart{ID: 77, Tokens: 900}
	first, _ := table.Pick(query("m0", shared, laburnumlever.PromptPart{ID: 1, Tokens: 30}), start)
	table.AnswerStarted(first, start.Add(40*time.Millisecond))
	for i := range 3 {
		next, _ := table.Pick(query("m0", shared, laburnumlever.PromptPart{ID: uint64(10 + i), Tokens: 30}), start)
		require.Equal(t, first.Backend.Backend, next.Backend.Backend)
		table.AnswerStarted(next, start.Add(40*time.Millisecond))
	}
}

// Guards against an engine that fails requests at once, looks idle and attracts all, or gets none after it recovers.
func TestFailingServerIsAvoidedUntilItRecovers(t *testing.T) {
	table := newTable(record(1, "brest", "m0"), record(2, "brest", "m0"))
	now := start
	for range 20 {
		ticket, _ := table.Pick(query("m0"), now)
		table.End(ticket, laburnumbalance.AttemptResult{Failed: ticket.Backend.Backend == "i-1"}, now)
		now = now.Add(10 * time.Millisecond)
	}
	counts := map[laburnumlever.BackendID]int{}
	for range 50 {
		ticket, _ := table.Pick(query("m0"), now)
		counts[ticket.Backend.Backend]++
		table.End(ticket, laburnumbalance.AttemptResult{}, now)
	}
	require.Equal(t, 50, counts["i-2"])
	now = now.Add(time.Minute)
	for range 50 {
		ticket, _ := table.Pick(query("m0"), now)
		counts[ticket.Backend.Backend]++
		table.End(ticket, laburnumbalance.AttemptResult{}, now)
	}
	require.Positive(t, counts["i-1"])
}

// Guards against wasting attempts of requests on an engine that answered that it no longer holds the model.
func TestAbsentModelIsExcludedUntilTheNextHeartbeat(t *testing.T) {
	table := newTable(record(1, "brest", "m0"))
	ticket, _ := table.Pick(query("m0"), start)
	table.End(ticket, laburnumbalance.AttemptResult{Absent: true}, start)
	_, verdict := table.Pick(query("m0"), start.Add(time.Second))
	require.Equal(t, laburnumbalance.ModelAbsent, verdict)
	_, verdict = table.Pick(query("m0"), start.Add(2*time.Second))
	require.Equal(t, laburnumbalance.Found, verdict)
}

// Guards against VMs that overload an engine with prompts because they don't see each other's.
func TestLateAnswersLowerThePromptLimit(t *testing.T) {
	concurrentPrompts := func(took time.Duration) int {
		table := newTable(record(1, "brest", "m0"))
		now := start
		for range 100 {
			ticket, _ := table.Pick(query("m0", laburnumlever.PromptPart{ID: uint64(now.UnixNano()), Tokens: 300}), now)
			now = now.Add(took)
			table.AnswerStarted(ticket, now)
			table.End(ticket, laburnumbalance.AttemptResult{}, now)
		}
		n := 0
		for i := range uint64(100) {
			if _, verdict := table.Pick(query("m0", laburnumlever.PromptPart{ID: i, Tokens: 300}), now); verdict != laburnumbalance.Found {
				break
			}
			n++
		}
		return n
	}
	require.Greater(t, concurrentPrompts(20*time.Millisecond), 2*concurrentPrompts(400*time.Millisecond))
	require.Positive(t, concurrentPrompts(400*time.Millisecond))
}

// Guards against billed traffic to another zone while the own one has slots, and against queueing while another zone has some.
func TestOwnZoneIsPreferredUntilFull(t *testing.T) {
	table := newTable(record(1, "brest", "m0"), record(2, "vannes", "m0"))
	counts := map[laburnumlever.BackendID]int{}
	for range 12 {
		ticket, verdict := table.Pick(query("m0"), start)
		require.Equal(t, laburnumbalance.Found, verdict)
		counts[ticket.Backend.Backend]++
	}
	require.GreaterOrEqual(t, counts["i-1"], 8)
	require.Positive(t, counts["i-2"])
}

func TestLeavingServerGetsNoRequests(t *testing.T) {
	table := newTable(record(1, "brest", "m0"))
	r := record(1, "brest", "m0")
	r.Heartbeat.Leaving = true
	table.Set(r)
	_, verdict := table.Pick(query("m0"), start)
	require.Equal(t, laburnumbalance.NoServer, verdict)
}

// Guards against wasting attempts on an idle engine that refuses requests as full while its health check passes.
func TestIdleServerThatRefusesIsAvoided(t *testing.T) {
	table := newTable(record(1, "brest", "m0"), record(2, "brest", "m0"))
	now := start
	refused := 0
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		ticket, verdict := table.Pick(query("m0"), now)
		require.Equal(t, laburnumbalance.Found, verdict)
		faulty := ticket.Backend.Backend == "i-1"
		if faulty {
			refused++
		}
		table.End(ticket, laburnumbalance.AttemptResult{Full: faulty}, now.Add(20*time.Millisecond))
	}
	require.Less(t, refused, 20)
}

// Guards against requests that each wait for the dial timeout of an unreachable engine, and against never using it again.
func TestUnreachableServerIsBackedOff(t *testing.T) {
	table := newTable(record(1, "brest", "m0"))
	now := start
	tries := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if ticket, verdict := table.Pick(query("m0"), now); verdict == laburnumbalance.Found {
			tries++
			table.End(ticket, laburnumbalance.AttemptResult{Unreachable: true, Failed: true}, now)
		}
	}
	require.LessOrEqual(t, tries, 13)
	now = now.Add(3 * time.Second)
	ticket, verdict := table.Pick(query("m0"), now)
	require.Equal(t, laburnumbalance.Found, verdict)
	table.End(ticket, laburnumbalance.AttemptResult{}, now)
	ticket, _ = table.Pick(query("m0"), now)
	table.End(ticket, laburnumbalance.AttemptResult{Unreachable: true}, now)
	_, verdict = table.Pick(query("m0"), now.Add(301*time.Millisecond))
	require.Equal(t, laburnumbalance.Found, verdict)
}

// BenchmarkPick measures a decision among the engines of one deployment.
func BenchmarkPick(b *testing.B) {
	table := laburnumbalance.New("brest", 1)
	for i := range 112 {
		table.Set(record(i, "brest", "m0", fmt.Sprintf("m%d", i)))
	}
	now := start
	for b.Loop() {
		ticket, _ := table.Pick(query("m0", laburnumlever.PromptPart{ID: 7, Tokens: 500}), now)
		table.End(ticket, laburnumbalance.AttemptResult{}, now)
	}
}

// Guards against requests sent to a server to which this VM has no connection left, while another server is free.
func TestServerWithoutAConnectionIsFull(t *testing.T) {
	now := start
	table := laburnumbalance.New("brest", 1)
	for _, h := range []laburnumlever.Heartbeat{
		{Backend: "i-1", Service: "quotes", Zone: "brest", Slots: 8}, {Backend: "i-2", Service: "quotes", Zone: "lannion", Slots: 8},
	} {
		table.Set(laburnumregistry.Record{Heartbeat: h})
	}
	query := laburnumbalance.Query{Service: "quotes", Connections: func(laburnumlever.BackendID) int { return 1 }}
	var picked []laburnumlever.BackendID
	var first *laburnumbalance.Ticket
	for range 2 {
		ticket, verdict := table.Pick(query, now)
		require.Equal(t, laburnumbalance.Found, verdict)
		picked = append(picked, ticket.Backend.Backend)
		if first == nil {
			first = ticket
		}
	}
	require.Equal(t, []laburnumlever.BackendID{"i-1", "i-2"}, picked)
	_, verdict := table.Pick(query, now)
	require.Equal(t, laburnumbalance.Full, verdict)
	require.True(t, table.LacksConnections(query, now))
	table.End(first, laburnumbalance.AttemptResult{NoConnection: true}, now)
	require.False(t, table.HasRoom(query, now), "the last request got no connection")
	require.True(t, table.HasRoom(query, now.Add(table.RetryTime())))
}
