package laburnumquota

import (
	"time"

	"laburnumlever"
)

const (
	// grantTimeShare is the part of the overshoot that is left for tokens granted before a window and spent in it.
	grantTimeShare = 0.6
	// capacityShare is the part of what remains of the allowance that may be used at once; the rest is for
	// keepers that disagree on their number.
	capacityShare = 0.9
	// defaultGrantTime applies where the terms allow no overshoot.
	defaultGrantTime = 100 * time.Millisecond
	// holderParts is the number of keepers of an account whose quota allows no more at once than the slack.
	holderParts = 2
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

// capacity returns what may be used of a quota at once, such that the allowance of no window is exceeded.
func (t Terms) capacity(q laburnumlever.Quota) float64 {
	window := t.Window.Seconds()
	allowance := (q.Rate*window+q.Burst)*(1+t.Overshoot) + t.Slack
	return max(q.Burst, capacityShare*(allowance-q.Rate*(window+t.GrantTime().Seconds())))
}

// Holders returns the number of keepers of an account, at most the number of control VMs: as many as leave each
// enough for a large request.
func (t Terms) Holders(q laburnumlever.Quota, controls int) int {
	if t.Slack <= 0 {
		return max(1, controls)
	}
	return max(1, min(controls, int(holderParts*t.capacity(q)/t.Slack)))
}
