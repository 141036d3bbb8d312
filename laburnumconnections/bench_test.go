package laburnumconnections_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumconnections"
)

// Guards against room that takes seconds to reach a gateway of a large fleet that had no share.
func TestNeedMovesInALargeFleet(t *testing.T) {
	const gateways, limit, need = 777, 570, 40
	k, now, asks := laburnumconnections.NewKeeper(), time.Duration(0), 0
	server := limited(limit)
	table := laburnumconnections.NewTable(laburnumlever.VM{ID: "g-none", Incarnation: 1})
	table.SetGateways(gateways)
	require.Zero(t, table.Share(server))
	for inUse := 0; inUse < need; now += 10 * time.Millisecond { // a round trip
		inUse = min(need, table.Allowed(server, now))
		table.Use(server, inUse, now)
		for _, a := range table.Due(now) {
			asks++
			table.Answered(a, k.Lease(a, laburnumconnections.Fleet{Gateways: gateways}, at(now)), now, now)
		}
	}
	t.Logf("%d connections after %v and %d asks", need, now, asks)
	require.Less(t, now, 2*time.Second)
}

func BenchmarkLease(b *testing.B) {
	k := laburnumconnections.NewKeeper()
	asks := make([]laburnumconnections.Ask, 777)
	for i := range asks {
		asks[i] = ask(570, laburnumlever.VMID(fmt.Sprintf("g-%d", i)), 0, 0, 1)
	}
	for n := range b.N {
		a := &asks[n%len(asks)]
		a.Sequence++
		k.Lease(*a, laburnumconnections.Fleet{Gateways: len(asks)}, at(time.Duration(n)*time.Microsecond))
	}
}

func BenchmarkAllowed(b *testing.B) {
	table := laburnumconnections.NewTable(laburnumlever.VM{ID: "g-1", Incarnation: 1})
	table.SetGateways(777)
	server := limited(570)
	for b.Loop() {
		table.Allowed(server, 0)
	}
}
