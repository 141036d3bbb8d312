// Package laburnumstream decides at which software version a broken stream may go on. What two versions of a
// backend server's software write doesn't fit together, so a stream goes on at the version that began it or not at
// all.
//
// While a service has had one version only, no stream needs a record. As soon as it has two, the gateway that
// begins a stream stores a Record at some control VMs before the first event leaves. A gateway that takes up a
// stream of another one asks all control VMs for their Opinion and resolves these.
//
// # Usage
//
//	keeper := laburnumstream.NewKeeper() // on a control VM
//	keeper.Put(record, now)
//	opinion := laburnumstream.Opinion{Record: keeper.Get(id, now), Versions: versions, Complete: complete}
//
//	software, verdict := laburnumstream.Resolve(own, opinions) // on a gateway
//
// # Safety
//
// A record that is found decides. Without one, the stream was begun while its service had one version, or its
// record is lost. The two are told apart by the versions that a majority of the control VMs know: a gateway learns of
// a version from a control VM and waits until all of them know it, so that no stream is begun at a version that a
// majority doesn't know. All else is refused: a version is never guessed.
package laburnumstream
