package laburnumquota

import (
	"time"

	"laburnumlever"
)

const (
	// grantTimeShare is the part of the overshoot that is left for tokens granted before a window and spent in it.
	grantTimeShare = 0.2
	// defaultGrantTime applies where the terms allow no overshoot, defaultWindow where they name no window.
	defaultGrantTime = 100 * time.Millisecond
	defaultWindow    = 8 * time.Second
	// allowanceShare and slackShare are the parts of a window's allowance and of the slack in it that are given out. The
	// rest is for keepers that disagree on their number or were restarted.
	allowanceShare = 0.95
	slackShare     = 0.5
	// minPart times the slack is the least that a keeper of an account may grant in a window.
	minPart = 1.5
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
func (t Terms) span() time.Duration { return t.window() + t.GrantTime() }

func (t Terms) window() time.Duration {
	if t.Window > 0 {
		return t.Window
	}
	return defaultWindow
}

// allowance returns what may be granted of a quota in a span.
func (t Terms) allowance(q laburnumlever.Quota) float64 {
	return allowanceShare*(q.Rate*t.window().Seconds()+q.Burst)*(1+t.Overshoot) + slackShare*t.Slack
}

// Holders returns the number of keepers of an account, at most the number of control VMs: as many as leave each
// enough for some large requests.
func (t Terms) Holders(q laburnumlever.Quota, controls int) int {
	if t.Slack <= 0 {
		return max(1, controls)
	}
	return max(1, min(controls, int(t.allowance(q)/(minPart*t.Slack))))
}
