package laburnumconnections_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumconnections"
)

var start = time.Date(2026, 12, 7, 8, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

const hold = 20 * time.Second

func limited(limit int) laburnumconnections.Server {
	return laburnumconnections.Server{Backend: "i-1", Service: "quotes", Zone: "brest", Limit: limit}
}

func ask(limit int, gateway laburnumlever.VMID, sequence uint64, held, want int) laburnumconnections.Ask {
	return laburnumconnections.Ask{
		Server: limited(limit), Gateway: gateway, Incarnation: 1, Sequence: sequence, Held: held, Want: want, Hold: laburnumlever.Duration(hold),
	}
}

func TestShares(t *testing.T) {
	for _, c := range []struct{ limit, gateways, share int }{{570, 69, 4}, {570, 1, 570}, {140, 69, 1}, {24, 12, 1}, {3, 2, 0}} {
		require.Equal(t, c.share, laburnumconnections.Share(limited(c.limit), "g-1", c.gateways), "%d among %d", c.limit, c.gateways)
	}
}

// Guards against one connection at each of more gateways than a server has connections.
func TestFewGatewaysHaveAShareOfASmallLimit(t *testing.T) {
	const limit, gateways = 570, 777
	sum := 0
	for i := range gateways {
		sum += laburnumconnections.Share(limited(limit), laburnumlever.VMID(rune('a'+i)), gateways)
	}
	require.LessOrEqual(t, sum, limit/2)
	require.GreaterOrEqual(t, sum, limit/8)
}

// Guards against a gateway that takes all that is free, so that the next one in need finds nothing.
func TestGatewayGetsHalfOfWhatIsFree(t *testing.T) {
	k := laburnumconnections.NewKeeper()
	require.Equal(t, 3, k.Lease(ask(24, "g-1", 1, 0, 12), laburnumconnections.Fleet{Gateways: 12}, at(0)).Connections)
	require.Equal(t, 2, k.Lease(ask(24, "g-2", 1, 0, 12), laburnumconnections.Fleet{Gateways: 12}, at(0)).Connections)
	require.Equal(t, 4, k.Lease(ask(24, "g-1", 2, 3, 12), laburnumconnections.Fleet{Gateways: 12}, at(0)).Connections)
	require.Equal(t, 4, k.Lease(ask(24, "g-1", 3, 4, 12), laburnumconnections.Fleet{Gateways: 12}, at(0)).Connections)
}

// Guards against connections of a gateway that is dead or stands still and are leased to others while its requests may run.
func TestLeaseCountsUntilItsRequestsHaveEnded(t *testing.T) {
	k := laburnumconnections.NewKeeper()
	fleet := laburnumconnections.Fleet{Gateways: 12}
	for sequence, held := uint64(1), 0; held < 6; sequence++ {
		held = k.Lease(ask(24, "g-1", sequence, held, 6), fleet, at(0)).Connections
	}
	require.Zero(t, k.Lease(ask(24, "g-2", 1, 0, 6), fleet, at(laburnumconnections.LeaseTime+hold)).Connections)
	require.Equal(t, 3, k.Lease(ask(24, "g-2", 2, 0, 6), fleet, at(laburnumconnections.LeaseTime+hold+laburnumconnections.Grace)).Connections)
}

// Guards against a late ask that lowers what a gateway has leased since, and against one of an earlier start.
func TestLateAskChangesNothing(t *testing.T) {
	k := laburnumconnections.NewKeeper()
	fleet := laburnumconnections.Fleet{Gateways: 12}
	require.Equal(t, 3, k.Lease(ask(24, "g-1", 2, 0, 3), fleet, at(0)).Connections)
	require.True(t, k.Lease(ask(24, "g-1", 1, 0, 0), fleet, at(0)).Late)
	restarted := ask(24, "g-1", 1, 0, 1)
	restarted.Incarnation = 2
	require.Equal(t, 1, k.Lease(restarted, fleet, at(0)).Connections)
	require.True(t, k.Lease(ask(24, "g-1", 9, 3, 6), fleet, at(0)).Late)
	require.Equal(t, []laburnumlever.ConnectionLeases{{Gateway: "g-1", Servers: 1, Connections: 1}}, k.Leased(at(0)))
}

// Guards against a sum beyond the limit while gateways of an earlier build use an even part of all of it.
func TestPartOfEarlierGatewaysIsSetAside(t *testing.T) {
	k := laburnumconnections.NewKeeper()
	require.Zero(t, k.Lease(ask(24, "g-1", 1, 0, 6), laburnumconnections.Fleet{Gateways: 12, Earlier: 11}, at(0)).Connections)
	require.Equal(t, 2, k.Lease(ask(24, "g-1", 2, 0, 6), laburnumconnections.Fleet{Gateways: 12, Earlier: 3}, at(0)).Connections)
}

// Guards against a new keeper that leases what the one before has leased.
func TestNewKeeperCountsWhatGatewaysHold(t *testing.T) {
	k := laburnumconnections.NewKeeper()
	fleet := laburnumconnections.Fleet{Gateways: 12}
	require.Equal(t, 6, k.Lease(ask(24, "g-1", 7, 6, 9), fleet, at(0)).Connections)
	require.Zero(t, k.Lease(ask(24, "g-2", 1, 0, 1), fleet, at(0)).Connections)
}

// Guards against leases that are kept after the load has gone elsewhere, and against connections that stay open after their return.
func TestUnusedLeaseIsReturned(t *testing.T) {
	k, table := laburnumconnections.NewKeeper(), laburnumconnections.NewTable(laburnumlever.VM{ID: "g-1", Incarnation: 1})
	table.SetGateways(12)
	server := limited(24)
	answerAll := func(now time.Duration) (asks int) {
		for _, a := range table.Due(now) {
			asks++
			table.Answered(a, k.Lease(a, laburnumconnections.Fleet{Gateways: 12}, at(now)), now, now)
		}
		return asks
	}
	require.Equal(t, 1, table.Allowed(server, 0))
	for inUse := 1; inUse <= 5; inUse++ {
		require.True(t, table.Use(server, inUse, 0) || table.Allowed(server, 0) > inUse)
		answerAll(0)
	}
	require.GreaterOrEqual(t, table.Allowed(server, 0), 6)
	require.Empty(t, table.Tick(time.Second))
	require.Empty(t, table.Tick(time.Second))
	excess := table.Tick(2 * time.Second)
	require.Equal(t, []laburnumconnections.Excess{{Backend: "i-1", Allowed: 1}}, excess)
	table.Keep("i-1", 3, 2*time.Second)
	require.Equal(t, 3, table.Allowed(server, 2*time.Second), "two requests still run beyond the share")
	require.Equal(t, 1, answerAll(2*time.Second))
	require.Equal(t, 2, k.Leased(at(2 * time.Second))[0].Connections)
	table.Tick(3 * time.Second)
	require.Equal(t, 1, table.Allowed(server, 3*time.Second))
	require.Equal(t, 1, answerAll(3*time.Second))
	require.Empty(t, k.Leased(at(3*time.Second)))
	require.Zero(t, answerAll(4*time.Second))
}

// Guards against leased connections that a gateway goes on to use while no control VM renews the lease.
func TestLeaseEndsWithoutControlVMs(t *testing.T) {
	k, table := laburnumconnections.NewKeeper(), laburnumconnections.NewTable(laburnumlever.VM{ID: "g-1", Incarnation: 1})
	table.SetGateways(12)
	server := limited(24)
	require.True(t, table.Use(server, 1, 0))
	asks := table.Due(0)
	require.Len(t, asks, 1)
	table.Answered(asks[0], k.Lease(asks[0], laburnumconnections.Fleet{Gateways: 12}, at(0)), 0, 100*time.Millisecond)
	require.Equal(t, 3, table.Allowed(server, laburnumconnections.LeaseTime-1))
	require.Equal(t, 1, table.Allowed(server, laburnumconnections.LeaseTime))
	require.True(t, table.Use(server, 1, laburnumconnections.LeaseTime), "it asks anew")
	lost := table.Due(laburnumconnections.LeaseTime)
	require.Len(t, lost, 1)
	require.Zero(t, lost[0].Held)
	table.Lost(lost[0], laburnumconnections.LeaseTime)
	require.Empty(t, table.Due(laburnumconnections.LeaseTime))
	require.Len(t, table.Due(laburnumconnections.LeaseTime+laburnumconnections.RetryTime), 1)
}

// Guards against a gateway without control VMs that goes on asking for connections which it doesn't need any more.
func TestUnansweredAskIsDroppedOnceItIsNotNeeded(t *testing.T) {
	table := laburnumconnections.NewTable(laburnumlever.VM{ID: "g-1", Incarnation: 1})
	table.SetGateways(12)
	require.True(t, table.Use(limited(24), 1, 0))
	for now := time.Duration(0); now < 5*laburnumconnections.RetryTime; now += laburnumconnections.RetryTime {
		asks := table.Due(now)
		require.Len(t, asks, 1)
		table.Lost(asks[0], now)
	}
	for now := time.Second; now < 3*time.Second; now += 500 * time.Millisecond {
		table.Tick(now)
	}
	require.Empty(t, table.Due(3*time.Second))
}
