package laburnumfeed

import (
	"encoding/json"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumroom"

	"github.com/stretchr/testify/require"
)

// Guards against levels that don't reach gateways, outlast their director, or can't be read by builds without them.
func TestRoomLevelsReachGateways(t *testing.T) {
	s, peers, timers := newTestSource()
	var reported laburnumlever.GatewayReport
	s.OnGatewayReport(func(_ laburnumlever.VMID, r laburnumlever.GatewayReport) { reported = r })
	level := laburnumroom.Level{
		Service: "quotes", Fence: 3, Sequence: 8, Lifetime: laburnumlever.Duration(laburnumroom.Lifetime), Director: "10.0.0.1",
		Ranks: []laburnumroom.RankLevel{{Rank: 2, Headroom: 0.5}}, Surging: []laburnumlever.AccountName{"acme"},
	}
	s.SetRoom(laburnumroom.Level{Service: "quotes", Fence: 3, Sequence: 7})
	s.SetRoom(level)
	timers.Advance(time.Second)
	report := laburnumlever.GatewayReport{Room: laburnumlever.RoomReport{Sequence: 1, Span: laburnumlever.Duration(time.Second), Services: []laburnumlever.ServiceRoom{
		{Service: "quotes", Ranks: []laburnumlever.RankRoom{{Rank: 0, Asked: 3, Served: 2, Late: 1}}},
	}}}
	a := poll(t, peers, pollRequest{From: gateway(1), GatewayReport: report})
	require.Equal(t, []laburnumroom.Level{level}, a.Room)
	require.Equal(t, report, reported)
	s.ClearRoom()
	require.Empty(t, s.collect(answerKey{}, timers.Now()).Room)

	encoded, err := json.Marshal(laburnumlever.GatewayReport{})
	require.NoError(t, err)
	require.JSONEq(t, "{}", string(encoded), "nothing is sent where it is off")
}
