package laburnumstream

import (
	"slices"
	"time"

	"laburnumlever"

	"github.com/cespare/xxhash/v2"
)

// Life is how long a record is kept at least, and for how long a VM must have known all servers of a service to
// tell which versions its streams can have: longer than callers try to complete a stream.
const Life = 30 * time.Second

// maxRecords bounds the records of one generation.
const maxRecords = 1 << 20

// Record tells which software version began a stream.
type Record struct {
	// Stream is the ID of the caller's attempt that brought the first event.
	Stream   string                        `json:"stream"`
	Software laburnumlever.SoftwareVersion `json:"software"`
}

// versionIndex is the index of a version in a keeper's list.
type versionIndex uint16

// severalVersions marks an ID of several streams with different versions.
const severalVersions versionIndex = 0

// Keeper keeps records for Life to twice Life. It holds a hash of each ID only. It is not safe for concurrent use.
type Keeper struct {
	// versions are the versions of the records; the first one stands for severalVersions.
	versions []laburnumlever.SoftwareVersion
	// newer and older are the records of two generations.
	newer, older map[uint64]versionIndex
	turnedAt     time.Time
}

// NewKeeper returns an empty keeper.
func NewKeeper() *Keeper {
	return &Keeper{versions: []laburnumlever.SoftwareVersion{""}, newer: map[uint64]versionIndex{}, older: map[uint64]versionIndex{}}
}

// Put stores a record and reports whether it is kept. Records of one ID with different versions make the ID useless.
func (k *Keeper) Put(r Record, now time.Time) bool {
	k.turn(now)
	index, ok := k.indexOf(r.Software)
	if !ok || r.Software == "" || len(k.newer) >= maxRecords {
		return false
	}
	key := xxhash.Sum64String(r.Stream)
	if before, known := k.find(key); known && before != index {
		index = severalVersions
	}
	k.newer[key] = index
	return true
}

// Get returns what is known of a stream.
func (k *Keeper) Get(stream string, now time.Time) Known {
	k.turn(now)
	index, ok := k.find(xxhash.Sum64String(stream))
	switch {
	case !ok:
		return Known{}
	case index == severalVersions:
		return Known{Several: true}
	default:
		return Known{Software: k.versions[index]}
	}
}

// Len returns the number of records.
func (k *Keeper) Len() int { return len(k.newer) + len(k.older) }

func (k *Keeper) find(key uint64) (versionIndex, bool) {
	if index, ok := k.newer[key]; ok {
		return index, true
	}
	index, ok := k.older[key]
	return index, ok
}

// indexOf returns the index of a version, which is added if it is new; false if there are too many.
func (k *Keeper) indexOf(v laburnumlever.SoftwareVersion) (versionIndex, bool) {
	i := slices.Index(k.versions, v)
	if i >= 0 {
		return versionIndex(i), true //nolint:gosec // as many as fit
	}
	if len(k.versions) > int(^versionIndex(0)) {
		return 0, false
	}
	k.versions = append(k.versions, v)
	return versionIndex(len(k.versions) - 1), true //nolint:gosec // as many as fit
}

// turn drops the older generation once the newer one has lasted for Life.
func (k *Keeper) turn(now time.Time) {
	if k.turnedAt.IsZero() {
		k.turnedAt = now
	}
	switch age := now.Sub(k.turnedAt); {
	case age < Life:
		return
	case age < 2*Life:
		k.older = k.newer
	default:
		k.older = map[uint64]versionIndex{}
	}
	k.newer, k.turnedAt = map[uint64]versionIndex{}, now
}
