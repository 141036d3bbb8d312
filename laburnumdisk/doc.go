// Package laburnumdisk stores a replica's log, snapshot and identity in a data
// folder. It uses the types of laburnumlog but implements none of its rules.
//
// The folder holds an identity (identity), the latest snapshot
// (snapshot-….snap) and segments of the log (log-….seg). A segment is a sequence
// of frames. Each frame holds one or more writes, has a sequence number, a length and a
// CRC, and is synced before the next one is written.
//
// # Damage
//
//   - An invalid frame without a valid one after it is the torn tail of a write that
//     was never acknowledged. Open truncates it.
//   - An invalid frame with a valid one after it had been synced. Truncating it would
//     lose acknowledged data, so Open fails with a *DamagedError.
//   - A last frame that was synced and damaged later can't be told from a torn tail. The
//     leader detects it, since the replica then lacks entries that it has acknowledged.
//
// A snapshot is written to a temporary file, synced and renamed, and the folder is synced
// before the segments that the snapshot covers are removed. The folder's size is bounded
// by the state and two segments.
//
// # Usage
//
//	store, recovered, err := laburnumdisk.Open(path)
//	…
//	err = store.Write(writes) // durable when it returns nil
//
// After Write has failed the store rejects further writes: it is unknown what reached the
// disk, and another fsync may report success for data that was dropped. DiscardUnsynced
// truncates the log to the synced data, after which Open can open the folder again.
package laburnumdisk
