package laburnumfeed

import (
	"cmp"
	"slices"

	"laburnumlever"

	"github.com/cespare/xxhash/v2"
)

// recordSources is from how many control VMs a VM hears of backend servers. Control VMs
// tell each other what they hear, so one would do; with three, two may be lost or cut off
// at once before news waits for the loss to be noticed. With all of them, what a control
// VM sends grows with the number of control VMs too, and every VM hears everything that
// often: eight times at 300 VMs.
const recordSources = 3

// standing is what a follower knows of one control VM.
type standing struct {
	address string
	zone    laburnumlever.ZoneName
	// lost tells that the last question failed, isolated that it hears no majority of
	// the control VMs.
	lost, isolated bool
}

// chooseRecordSources picks the control VMs that a VM hears of backend servers from. Those
// that answer and hear the others go first, then the VM's own availability zone, which a
// cut of the zone leaves it; the rest are spread over the VMs by a hash, so that all
// control VMs have an equal share and keep it while others come and go.
func chooseRecordSources(self laburnumlever.VM, known []standing) []string {
	ranked := slices.Clone(known)
	slices.SortFunc(ranked, func(a, b standing) int {
		return cmp.Or(
			compareFlags(a.lost, b.lost),
			compareFlags(a.isolated, b.isolated),
			compareFlags(a.zone != self.Zone, b.zone != self.Zone),
			cmp.Compare(spread(string(self.ID), a.address), spread(string(self.ID), b.address)),
			cmp.Compare(a.address, b.address),
		)
	})
	var chosen []string
	for _, s := range ranked[:min(recordSources, len(ranked))] {
		chosen = append(chosen, s.address)
	}
	return chosen
}

// compareFlags puts false before true.
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

// spread ranks an address for a key: each key has an order of its own.
func spread(key, address string) uint64 { return xxhash.Sum64String(key + "/" + address) }

// nearest is the peer address of one of the VMs in an availability zone, the same for a key
// while they are the same; empty where none is.
func nearest(vms []laburnumlever.VM, zone laburnumlever.ZoneName, key string) string {
	best := ""
	for _, vm := range vms {
		if vm.Zone == zone && (best == "" || spread(key, vm.PeerAddress) < spread(key, best)) {
			best = vm.PeerAddress
		}
	}
	return best
}
