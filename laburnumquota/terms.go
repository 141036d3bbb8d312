package laburnumquota

import (
	"time"

	"laburnumlever"
)

const (
	// grantTimeShare is the part of the overshoot that is left for tokens granted before a window and spent in it.
	grantTimeShare = 0.2
	// defaultGrantTime applies where the terms allow no overshoot.
	defaultGrantTime = 100 * time.Millisecond
	// What the allowance of a window holds beyond the rate is given out: rateShare of it evenly, capacityShare of it and
	// slackShare of the slack at once. The rest is for keepers that disagree on their number.
	rateShare     = 0.45
	capacityShare = 0.45
	slackShare    = 0.85
	// minPart times the slack is what each keeper of an account may at least grant at once.
	minPart = 0.45
	// needsShare is the part of the capacity that is not granted as reserves.
	needsShare = 0.5
)

// Terms are the terms on which quotas are checked, and what follows from them.
type Terms laburnumlever.QuotaTerms

// GrantTime returns how long granted tokens may be spent.
func (t Terms) GrantTime() time.Duration {
	if d := time.Duration(grantTimeShare * t.Overshoot * float64(t.Window)); d > 0 {
		return d
	}
	return defaultGrantTime
}

// span returns the time in which all tokens that are spent in one window were granted.
func (t Terms) span() time.Duration { return t.Window + t.GrantTime() }

// spare returns what the allowance of a window holds beyond the rate, without the slack.
func (t Terms) spare(q laburnumlever.Quota) float64 {
	return max(0, t.allowance(q)-q.Rate*t.span().Seconds())
}

// allowance returns what may be spent of a quota in a window, without the slack.
func (t Terms) allowance(q laburnumlever.Quota) float64 {
	return (q.Rate*t.Window.Seconds() + q.Burst) * (1 + t.Overshoot)
}

// rate returns what is granted of a quota in a second. It is above the quota's own rate as far as the allowance of a
// window permits.
func (t Terms) rate(q laburnumlever.Quota) float64 {
	return q.Rate + rateShare*t.spare(q)/t.span().Seconds()
}

// capacity returns what may be granted of a quota at once.
func (t Terms) capacity(q laburnumlever.Quota) float64 {
	return capacityShare*t.spare(q) + slackShare*t.Slack
}

// ReserveTime returns how long a gateway may spend a reserve after it last asked the keeper.
func (t Terms) ReserveTime() time.Duration {
	if d := time.Duration(reserveTimeShare * float64(t.Window)); d > 0 {
		return d
	}
	return defaultGrantTime
}

// keeperReserveTime returns how long a keeper counts a reserve.
func (t Terms) keeperReserveTime() time.Duration {
	return time.Duration(keeperTimeFactor * float64(t.ReserveTime()))
}

// share is what a keeper with a part of a quota may grant: rate a second and capacity at once. While it keeps reserves it is
// slower and has more at once, which together allow the same in a window.
type share struct {
	rate, capacity           float64
	slowRate, largerCapacity float64
	// needs is the part of largerCapacity that is not granted as reserves.
	needs float64
}

func (t Terms) share(q laburnumlever.Quota, part float64) share {
	rate, slowRate, capacity := part*t.rate(q), part*q.Rate, part*t.capacity(q)
	return share{
		rate: rate, capacity: capacity, slowRate: slowRate, largerCapacity: capacity + (rate-slowRate)*t.span().Seconds(),
		needs: max(needsShare*capacity, min(capacity, minPart*t.Slack)),
	}
}

// Holders returns the number of keepers of an account, at most the number of control VMs: as many as leave each
// enough for a large request.
func (t Terms) Holders(q laburnumlever.Quota, controls int) int {
	if t.Slack <= 0 {
		return max(1, controls)
	}
	return max(1, min(controls, int(t.capacity(q)/(minPart*t.Slack))))
}
