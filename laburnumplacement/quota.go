package laburnumplacement

import (
	"slices"
	"time"

	"laburnumlever"
)

// Share is one zone's part of the weight store. The parts of all zones add up to
// no more than the whole, so no zone has to ask another: also when they are cut
// apart, and while a zone changes its owner.
type Share struct {
	// Parallel is how many loads the zone may have under way.
	Parallel int
	// Interval is the shortest time between the starts of two loads; 0 when
	// the store sets no rate.
	Interval time.Duration
}

// ShareOf works out a zone's part: the rate in equal parts, the parallel loads in
// whole ones, the first zones of the deployment taking what is left over. A zone
// that the deployment does not list has no part.
func ShareOf(d laburnumlever.Deployment, zone laburnumlever.ZoneName) Share {
	i := slices.Index(d.Zones, zone)
	if i < 0 {
		return Share{}
	}
	n := len(d.Zones)
	quota := Share{Parallel: d.WeightStore.ParallelLoads / n}
	if i < d.WeightStore.ParallelLoads%n {
		quota.Parallel++
	}
	if d.WeightStore.LoadsPerSecond > 0 {
		quota.Interval = time.Duration(float64(n) / d.WeightStore.LoadsPerSecond * float64(time.Second))
	}
	return quota
}

// Pace is the bucket of one zone's loads. It holds one load at most, and a new
// owner's is empty: it does not know when the last owner began its last load.
type Pace struct{ next time.Time }

// NewPace makes an empty bucket.
func NewPace(now time.Time, quota Share) Pace { return Pace{next: now.Add(quota.Interval)} }

// Ready tells whether a load may begin, with that many under way.
func (p Pace) Ready(now time.Time, quota Share, inFlight int) bool {
	return inFlight < quota.Parallel && !now.Before(p.next)
}

// WithLoad is the bucket after a load has begun.
func (p Pace) WithLoad(now time.Time, quota Share) Pace { return Pace{next: now.Add(quota.Interval)} }
