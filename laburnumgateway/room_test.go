package laburnumgateway_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumroom"
	"laburnumlever/laburnumtimer"
)

const (
	batchRank      = 2
	priorityHeader = "X-Laburnumlever-Request-Priority"
)

// newRoomHarness is a gateway before one engine that says that seven of its eight slots are taken, and its pace. Drafts are less urgent
// than quotes.
func newRoomHarness(t *testing.T, decisions laburnumlever.SharedMachines) (*harness, *backend) {
	engine := newBackend(t, "i-1", func(conn net.Conn, a receivedRequest, _ int) {
		writeStream(conn, a, "X-Laburnumlever-Server-Load: 7,0,8,100")
	})
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	fleet := laburnumgateway.NewFleet(timers, laburnumlever.VM{ID: "10.0.0.1", Zone: "brest", Incarnation: 3}, time.Second, 1, laburnumgateway.WithSharedMachines(decisions))
	b := newHarnessOfFleet(t, fleet, timers)
	routes := testRoutes()
	draft := &routes.Routes[3]
	draft.Priority, draft.Target, draft.Timeout = batchRank, laburnumlever.Duration(6*time.Second), laburnumlever.Duration(20*time.Second)
	b.fleet.HandleRoutes(routes)
	b.announce(engine.heartbeat("quotes", "m0"))
	require.Equal(t, 200, b.request("quote", "first").status)
	return b, engine
}

func (b *harness) request(route, id string) callerResponse {
	return b.send("POST", "/"+route+"/x", "oak", "X-Laburnumlever-Model", "m0", idHeader, id)
}

// Guards against less urgent requests that are held back for good when the holder of the lease dies: they take no slots while its level
// holds, urgent ones do, and once it is not renewed the gateway serves by the order of its own queue.
func TestDeadHolderLeavesTheGatewaysOwnOrder(t *testing.T) {
	const drafts, lifetime = 60, 400 * time.Millisecond
	b, engine := newRoomHarness(t, laburnumlever.SharedMachines{ByUrgency: true})
	require.Equal(t, 200, b.request("quote", "second").status, "the engine has told its pace now")
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Room: []laburnumroom.Level{{
		Service: "quotes", Fence: 1, Sequence: 1, Lifetime: laburnumlever.Duration(lifetime), Ranks: []laburnumroom.RankLevel{{Rank: batchRank, Headroom: 0.5}},
	}}})
	require.Len(t, b.fleet.Status().Room, 1)
	began := time.Now()
	type outcome struct {
		callerResponse
		took time.Duration
	}
	outcomes := make(chan outcome, drafts)
	for n := range drafts {
		go func() {
			resp := b.request("draft", fmt.Sprintf("draft-%d", n))
			outcomes <- outcome{resp, time.Since(began)}
		}()
	}
	require.Eventually(t, func() bool { return b.fleet.Status().Queued > 0 }, 5*time.Second, time.Millisecond)
	require.Equal(t, 200, b.request("quote", "urgent").status)
	putOff := 0
	for range drafts {
		draft := <-outcomes
		require.Equal(t, 200, draft.status, draft.body)
		if draft.took >= lifetime/2 {
			putOff++
		}
	}
	require.Greater(t, putOff, drafts/2, "three quarters waited for the level to end")
	require.Empty(t, b.fleet.Status().Room)
	for _, r := range engine.requests()[1:] {
		want := fmt.Sprint(batchRank)
		if id := r.request.Header.Get(idHeader); id == "urgent" || id == "second" {
			want = "0"
		}
		require.Equal(t, want, r.request.Header.Get(priorityHeader))
	}
	report := laburnumlever.RoomReport{}
	require.Eventually(t, func() bool { report = b.fleet.GatewayReport().Room; return !report.IsZero() }, 5*time.Second, 10*time.Millisecond)
	require.Equal(t, uint64(3), report.Incarnation)
	require.Equal(t, []laburnumlever.RankRoom{{Rank: 0, Asked: 2, Served: 2}, {Rank: batchRank, Asked: drafts, Served: drafts}}, report.Services[0].Ranks)
}

// Guards against a switch that is off and yet changes what gateways send, count or keep free.
func TestSlotsAreNotGivenByUrgencyUnlessSwitchedOn(t *testing.T) {
	b, engine := newRoomHarness(t, laburnumlever.SharedMachines{})
	b.fleet.HandleAnswer("", laburnumfeed.Answer{Room: []laburnumroom.Level{{Service: "quotes", Fence: 1, Sequence: 1, Ranks: []laburnumroom.RankLevel{{Rank: batchRank, Headroom: 0.75}}}}})
	for n := range 4 {
		require.Equal(t, 200, b.request("draft", fmt.Sprint(n)).status)
	}
	require.Empty(t, b.fleet.Status().Room)
	time.Sleep(600 * time.Millisecond) // longer than the interval of reports
	require.True(t, b.fleet.GatewayReport().Room.IsZero())
	for _, r := range engine.requests() {
		require.Empty(t, r.request.Header.Get(priorityHeader))
	}
}
