package laburnumplacement

import (
	"slices"
	"time"

	"laburnumlever"
)

// LoadQuota is one zone's fixed part of the weight store. The quotas of all zones add up to no more
// than the store's limits, so zones need not coordinate, not even when they are partitioned or
// while a zone changes its owner.
type LoadQuota struct {
	// ParallelLoads is the maximum number of concurrent loads in the zone.
	ParallelLoads int
	// Interval is the minimum time between the starts of two loads; 0 if the store has no rate
	// limit.
	Interval time.Duration
}

// LoadQuotaOf returns a zone's quota. The rate is divided equally; parallel loads are divided as
// whole numbers, and the remainder goes to the first zones of the deployment. A zone that the
// deployment does not list has no quota.
func LoadQuotaOf(d laburnumlever.Deployment, zone laburnumlever.ZoneName) LoadQuota {
	i := slices.Index(d.Zones, zone)
	if i < 0 {
		return LoadQuota{}
	}
	n := len(d.Zones)
	quota := LoadQuota{ParallelLoads: d.WeightStore.ParallelLoads / n}
	if i < d.WeightStore.ParallelLoads%n {
		quota.ParallelLoads++
	}
	if d.WeightStore.LoadsPerSecond > 0 {
		quota.Interval = time.Duration(float64(n) / d.WeightStore.LoadsPerSecond * float64(time.Second))
	}
	return quota
}

// LoadLimiter is a token bucket for the loads of one zone. It holds at most one token and starts
// empty, because a new owner does not know when the previous owner started its last load.
type LoadLimiter struct{ next time.Time }

// NewLoadLimiter returns an empty bucket.
func NewLoadLimiter(now time.Time, quota LoadQuota) LoadLimiter {
	return LoadLimiter{next: now.Add(quota.Interval)}
}

// Ready reports whether a load may start while inFlight loads are in flight.
func (l LoadLimiter) Ready(now time.Time, quota LoadQuota, inFlight int) bool {
	return inFlight < quota.ParallelLoads && !now.Before(l.next)
}

// AfterLoad returns the bucket after a load has started.
func (l LoadLimiter) AfterLoad(now time.Time, quota LoadQuota) LoadLimiter {
	return LoadLimiter{next: now.Add(quota.Interval)}
}
