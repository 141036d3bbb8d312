package laburnumfeed

import (
	"fmt"
	"testing"

	"laburnumlever"

	"github.com/stretchr/testify/require"
)

func eightControls() []controlState {
	var known []controlState
	for i := range 8 {
		known = append(known, controlState{
			address: fmt.Sprintf("10.0.0.%d:7000", i),
			zone:    laburnumlever.ZoneName(fmt.Sprintf("zone-%d", i%4)),
		})
	}
	return known
}

// Guards against gateways in a partitioned zone that lose the state of the zone's own backend servers.
func TestControlVMsOfOwnZoneAreChosenFirst(t *testing.T) {
	self := laburnumlever.VM{ID: "10.0.1.1", Zone: "zone-2"}
	chosen := chooseRecordSources(self, eightControls())
	require.Len(t, chosen, recordSources)
	require.Contains(t, chosen, "10.0.0.2:7000")
	require.Contains(t, chosen, "10.0.0.6:7000")
}

// Guards against stale endpoint state from control VMs that fail to answer or are isolated from the majority.
func TestLostAndIsolatedControlVMsAreAvoided(t *testing.T) {
	known := eightControls()
	for i := range known {
		known[i].isolated = i < 4
		known[i].lost = i == 4
	}
	chosen := chooseRecordSources(laburnumlever.VM{ID: "10.0.1.1", Zone: "zone-0"}, known)
	require.ElementsMatch(t, []string{"10.0.0.5:7000", "10.0.0.6:7000", "10.0.0.7:7000"}, chosen)
	require.Len(t, chooseRecordSources(laburnumlever.VM{}, known[:2]), 2)
}

// Guards against an uneven load of the gateways' polls on the control VMs, also after one of them fails.
func TestPollsAreBalancedOverControlVMs(t *testing.T) {
	count := func(known []controlState) map[string]int {
		n := map[string]int{}
		for i := range 300 {
			self := laburnumlever.VM{ID: laburnumlever.VMID(fmt.Sprintf("10.0.1.%d", i)), Zone: laburnumlever.ZoneName(fmt.Sprintf("zone-%d", i%4))}
			for _, address := range chooseRecordSources(self, known) {
				n[address]++
			}
		}
		return n
	}
	for address, n := range count(eightControls()) {
		require.InDelta(t, 300*recordSources/8.0, n, 30, address)
	}
	known := eightControls()
	known[0].lost = true
	for address, n := range count(known) {
		require.InDelta(t, 300*recordSources/7.0, n, 90, address)
	}
}

// Guards against a control VM that runs out of file descriptors because thousands of backend servers connect to it.
func TestBackendServersAreBalancedOverControlVMsOfTheirZone(t *testing.T) {
	var vms []laburnumlever.VM
	for i := range 8 {
		vms = append(vms, laburnumlever.VM{PeerAddress: fmt.Sprintf("10.0.0.%d:7000", i), Zone: laburnumlever.ZoneName(fmt.Sprintf("zone-%d", i%4))})
	}
	n := map[string]int{}
	for i := range 1000 {
		key := fmt.Sprintf("i-%d", i)
		address := pickInZone(vms, "zone-1", key)
		n[address]++
		require.Equal(t, address, pickInZone(vms[1:], "zone-1", key))
	}
	require.InDelta(t, 500, n["10.0.0.1:7000"], 60)
	require.InDelta(t, 500, n["10.0.0.5:7000"], 60)
	require.Empty(t, pickInZone(vms, "zone-9", "i-1"))
}
