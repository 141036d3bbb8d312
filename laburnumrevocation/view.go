package laburnumrevocation

import "time"

// margin is the part of the limit that is left for clocks that differ in speed.
const margin = 0.02

// Confirmation says that at the time AsOf no table newer than Version had been acknowledged.
type Confirmation struct {
	Version uint64
	AsOf    time.Duration
}

// AgeAt returns the confirmation's age at a time, negative if it is later than that: how long after a question it was made, when it
// answers one that was held. Clocks that differ in speed must not make it seem later, at either end, so that less than that is told.
func (c Confirmation) AgeAt(t time.Duration) time.Duration {
	age := t - c.AsOf
	if age < 0 {
		age -= time.Duration(2 * margin * float64(age))
	}
	return age
}

// View is what one VM knows. It is not safe for concurrent use.
type View struct {
	limit time.Duration
	// version is that of the table in effect; confirmed reports whether asOf is valid.
	version   uint64
	confirmed bool
	asOf      time.Duration
	// ahead is the newest confirmation of a table that is not in effect yet; its version is 0 for none.
	ahead Confirmation
}

// NewView returns a view of a VM without a table. A table may be used until limit after the last time at which it
// was the newest; with 0 it may be used without end.
func NewView(limit time.Duration) *View {
	return &View{limit: limit - time.Duration(margin*float64(limit))}
}

// SetVersion records the version of the table in effect.
func (v *View) SetVersion(version uint64) {
	v.version = max(v.version, version)
	if v.ahead.Version > 0 && v.ahead.Version <= v.version {
		v.confirm(v.ahead.AsOf)
		v.ahead = Confirmation{}
	}
}

// Confirm records a confirmation. One of a table that is not in effect yet counts from when it is.
func (v *View) Confirm(c Confirmation) {
	if c.Version <= v.version {
		v.confirm(c.AsOf)
		return
	}
	if c.Version > v.ahead.Version || c.Version == v.ahead.Version && c.AsOf > v.ahead.AsOf {
		v.ahead = c
	}
}

func (v *View) confirm(asOf time.Duration) {
	if !v.confirmed || asOf > v.asOf {
		v.confirmed, v.asOf = true, asOf
	}
}

// Age returns the time since the table in effect was last known to be the newest, and whether it ever was.
func (v *View) Age(now time.Duration) (time.Duration, bool) { return now - v.asOf, v.confirmed }

// AcceptsVersion reports whether keys of a table may be accepted. One that is older than the table in effect is never
// accepted: what is known of the newer one doesn't hold for it.
func (v *View) AcceptsVersion(version uint64, now time.Duration) bool {
	return v.limit <= 0 || version >= v.version && v.Accepts(now)
}

// Accepts reports whether keys of the table in effect may be accepted.
func (v *View) Accepts(now time.Duration) bool {
	if v.limit <= 0 {
		return true
	}
	age, ok := v.Age(now)
	return ok && age < v.limit
}
