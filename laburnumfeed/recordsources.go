package laburnumfeed

import (
	"cmp"
	"slices"

	"laburnumlever"

	"github.com/cespare/xxhash/v2"
)

// recordSources is the number of control VMs that a VM polls for endpoint state. Control VMs
// replicate it to each other, so one would suffice; with three, two may fail before updates are
// delayed until the failure is detected. Polling all would multiply the traffic by their number.
const recordSources = 3

// controlState is a follower's view of one control VM.
type controlState struct {
	address string
	zone    laburnumlever.ZoneName
	// lost is set while polls to it fail, isolated while it reports that it can't reach a majority of
	// the control VMs.
	lost, isolated bool
}

// chooseRecordSources picks the control VMs that a VM polls for endpoint state. It prefers reachable
// ones, then those of the VM's own availability zone, which stay reachable when the zone is
// partitioned, and ranks the rest by rendezvous hashing, which balances load and keeps the choice
// stable.
func chooseRecordSources(self laburnumlever.VM, known []controlState) []string {
	ranked := slices.Clone(known)
	slices.SortFunc(ranked, func(a, b controlState) int {
		return cmp.Or(
			compareFlags(a.lost, b.lost),
			compareFlags(a.isolated, b.isolated),
			compareFlags(a.zone != self.Zone, b.zone != self.Zone),
			cmp.Compare(rendezvousHash(string(self.ID), a.address), rendezvousHash(string(self.ID), b.address)),
			cmp.Compare(a.address, b.address),
		)
	})
	var chosen []string
	for _, s := range ranked[:min(recordSources, len(ranked))] {
		chosen = append(chosen, s.address)
	}
	return chosen
}

// compareFlags orders false before true.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// compareFor orders the control VMs by which one serves a key of an availability zone: those of the
// zone first, each by rendezvous hash.
func compareFor(zone laburnumlever.ZoneName, key string) func(a, b controlState) int {
	return func(a, b controlState) int {
		return cmp.Or(
			compareFlags(a.zone != zone, b.zone != zone),
			cmp.Compare(rendezvousHash(key, a.address), rendezvousHash(key, b.address)),
			cmp.Compare(a.address, b.address),
		)
	}
}

// rendezvousHash is the rendezvous hash of an address for a key.
func rendezvousHash(key, address string) uint64 { return xxhash.Sum64String(key + "/" + address) }

// pickInZone returns the peer address of the VM in an availability zone with the lowest rendezvous
// hash for the key; empty if the zone has none.
func pickInZone(vms []laburnumlever.VM, zone laburnumlever.ZoneName, key string) string {
	best := ""
	for _, vm := range vms {
		if vm.Zone == zone && (best == "" || rendezvousHash(key, vm.PeerAddress) < rendezvousHash(key, best)) {
			best = vm.PeerAddress
		}
	}
	return best
}
