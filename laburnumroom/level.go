package laburnumroom

import (
	"slices"
	"time"

	"laburnumlever"
)

const (
	// Lifetime is how long a level holds that is not renewed: two renewals may be lost.
	Lifetime = 3 * time.Second
	// MaxHeadroom is the largest headroom of a rank.
	MaxHeadroom = 0.75
	// LeastWait is the least time that a request must be able to wait to be put off: that between two decisions.
	LeastWait = decidePeriod
	// FreePass is the share of a rank's requests to which no headroom applies, so that a rank gets at least this part of what it
	// would get otherwise.
	FreePass = 0.25
)

// Level is the headroom of a service's ranks in force.
type Level struct {
	Service laburnumlever.ServiceName `json:"service"`
	// Fence is the fencing number of the lease under which it was decided, Sequence orders the levels of one fence.
	Fence    uint64 `json:"fence"`
	Sequence uint64 `json:"sequence"`
	// Director is the control VM that decided it.
	Director laburnumlever.VMID `json:"director,omitempty"`
	// Lifetime is how long it holds from its arrival, unless it is renewed.
	Lifetime laburnumlever.Duration `json:"lifetime"`
	// Ranks are the ranks with a headroom, in order.
	Ranks []RankLevel `json:"ranks,omitempty"`
	// Surging are the client accounts that ask for far more than their usual, in order.
	Surging []laburnumlever.AccountName `json:"surging,omitempty"`
}

// RankLevel is the headroom of a rank: the share of an engine's slots that it must leave free.
type RankLevel struct {
	Rank     int     `json:"rank"`
	Headroom float64 `json:"headroom"`
}

// Headroom returns the headroom of a rank; 0 for none.
func (l Level) Headroom(rank int) float64 {
	for _, r := range l.Ranks {
		if r.Rank == rank {
			return min(MaxHeadroom, max(0, r.Headroom))
		}
	}
	return 0
}

// ByRank returns the headroom by rank; nil for none.
func (l Level) ByRank() map[int]float64 {
	if len(l.Ranks) == 0 {
		return nil
	}
	byRank := make(map[int]float64, len(l.Ranks))
	for _, r := range l.Ranks {
		byRank[r.Rank] = l.Headroom(r.Rank)
	}
	return byRank
}

// HoldsFor returns how long the level holds from its arrival; a wrong lifetime counts as the longest.
func (l Level) HoldsFor() time.Duration {
	if l.Lifetime <= 0 || time.Duration(l.Lifetime) > Lifetime {
		return Lifetime
	}
	return time.Duration(l.Lifetime)
}

// IsZero reports whether the level changes nothing.
func (l Level) IsZero() bool { return len(l.Ranks) == 0 && len(l.Surging) == 0 }

// Same reports whether two levels of a service say the same.
func (l Level) Same(other Level) bool {
	return slices.Equal(l.Ranks, other.Ranks) && slices.Equal(l.Surging, other.Surging)
}

// newerThan orders levels by the lease and then by the decision.
func (l Level) newerThan(other Level) bool {
	if l.Fence != other.Fence {
		return l.Fence > other.Fence
	}
	return l.Sequence > other.Sequence
}
