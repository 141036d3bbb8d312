// Package laburnumdisk keeps a replica's log, snapshot and identity in a data
// folder. It knows the values of laburnumlog but none of its rules.
//
// The folder holds an identity (identity), the latest snapshot
// (snapshot-….snap) and segments of the log (log-….seg). A segment is a sequence
// of frames; each frame holds one write, has a running number, a length and a
// CRC, and is synced before the next is written. This order tells two kinds
// of damage apart: a bad frame with nothing whole after it is the torn tail of a
// write that was never acknowledged, and is cut off; a bad frame with a whole one
// after it had been synced, so that to cut there would lose what was
// acknowledged, and Open fails with a *DamagedError instead. What this can't see
// is a last frame that was synced and spoiled later: the leader sees it, since the
// replica then lacks what it had acknowledged.
//
// Snapshots are written beside, synced, renamed, and the folder is synced before
// the segments that they cover are removed, so that the folder's size is bounded
// by the state and two segments.
//
// # Usage
//
//	store, recovered, err := laburnumdisk.Open(path)
//	…
//	err = store.Write(writes) // durable when it returns nil
//
// After an error of Write nothing more is written: what reached the disk is not
// known, and a second fsync may report success for data that was dropped. Rewind takes the
// folder back to what is known, and Open then goes on from there.
package laburnumdisk
