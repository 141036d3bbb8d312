// Package laburnumdistribution distributes each new revision of the catalogue to every VM.
//
// # Usage
//
//	d := laburnumdistribution.New(loop, timers, peers, membership.VMs)
//	d.OnNewRevision(publishView) // on the control thread
//	d.Start()
//	d.Publish(catalogue) // on a voter: each revision that the log has committed
//	catalogue, ok := d.Catalogue()
//
// # Distribution
//
// A VM that adopts a newer revision offers its number at once to four VMs chosen at random
// and sends the catalogue itself only to those that answer that they lack it; these
// do the same. That misses about one VM in fifty. For these, and for VMs that were cut
// off, every VM also compares revisions with a random VM once a second, and the VM that is
// behind gets the newer revision by a push or a pull.
//
// A VM that has requested a revision declines further offers of it for a short time.
// Otherwise a VM that gets several offers at the same time would be sent the same hundreds
// of kilobytes several times.
//
// # Guarantees
//
// The current revision never goes back, whatever order messages arrive in: a VM in a
// zone that is cut off keeps its last revision, and an old revision that arrives late after
// the partition has healed is ignored. A VM that starts without a catalogue sends offers
// until a VM answers with a revision; until the catalogue arrives, Catalogue reports that
// there is none.
package laburnumdistribution
