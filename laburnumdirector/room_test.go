package laburnumdirector_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumroom"
)

// Guards against two control VMs that both decide headroom, and against a new one whose decisions count as old.
func TestOnlyTheDirectorDecidesHeadroom(t *testing.T) {
	w := newCluster(t, 2, 3, 2)
	var decided [2][]laburnumroom.Level
	for i, n := range w.directors {
		n.director.OnRoom(func(l laburnumroom.Level) { decided[i] = append(decided[i], l) })
	}
	sequence := uint64(0)
	report := func() {
		for range 4 {
			sequence++
			for _, n := range w.directors {
				n.director.SetGatewayReport("gateway", laburnumlever.GatewayReport{Room: laburnumlever.RoomReport{
					Sequence: sequence, Span: laburnumlever.Duration(500 * time.Millisecond), Services: []laburnumlever.ServiceRoom{{
						Service: "quotes", Ranks: []laburnumlever.RankRoom{{Rank: 0, Asked: 9, Served: 5, Refused: 4}, {Rank: 2, Asked: 9, Served: 9}},
					}},
				}})
			}
			w.advance(500 * time.Millisecond)
		}
	}
	w.sendHeartbeats()
	w.advance(2 * time.Second)
	report()
	require.NotEmpty(t, decided[0])
	require.Empty(t, decided[1])
	last := decided[0][len(decided[0])-1]
	require.Greater(t, last.Headroom(2), 0.5)

	w.directors[0].disconnected, w.directors[0].isLeader, w.directors[1].isLeader = true, false, true
	w.advance(1600 * time.Millisecond)
	w.expire()
	decided[0] = nil
	report()
	require.Empty(t, decided[0], "its lease is over")
	require.NotEmpty(t, decided[1])
	require.Greater(t, decided[1][0].Fence, last.Fence)
	require.Less(t, decided[1][0].Headroom(2), last.Headroom(2), "it begins by its own reports")
}
