package laburnumconcurrency

import (
	"time"

	"laburnumlever"
)

// Call is a call for a lease that its keeper has not answered yet.
type Call struct {
	limit  Limit
	server *known
	waits  bool
	sentAt time.Time
}

// Limit is the bound of the server as it was known when the call began.
func (c *Call) Limit() Limit { return c.limit }

// calls are a gateway's unanswered calls for leases of one server. The keeper refuses a call that would wait behind too many others,
// so a window bounds those that wait. It is adjusted as in congestion control, one more after each window of leases and half as many
// after a refusal, which evens out the gateways' parts of the queue.
type calls struct {
	waiting, probing int
	// window is the number of calls that may wait, granted that of leases since it last changed, cutAt the time of the last refusal that
	// halved it.
	window, granted int
	cutAt           time.Time
	// fullUntil is until when no lease is free at once.
	fullUntil time.Time
}

// maxWindow is the number of calls that the keeper lets wait for a server.
func maxWindow(l Limit) int { return maxWaiting * max(1, l.Slots) }

// Begin begins a call for a lease, unless it would be refused. A call that doesn't wait gets none while others wait.
func (t *Table) Begin(backend laburnumlever.BackendID, waits bool, now time.Time) (*Call, bool) {
	k := t.servers[backend]
	switch {
	case k == nil:
		return nil, false
	case waits && !t.mayWait(k, now), !waits && !t.mayProbe(k, now):
		return nil, false
	case waits:
		k.calls.waiting++
	default:
		k.calls.probing++
	}
	return &Call{limit: k.limit, server: k, waits: waits, sentAt: now}, true
}

// MayWait reports whether a call may wait for a lease.
func (t *Table) MayWait(backend laburnumlever.BackendID, now time.Time) bool {
	k := t.servers[backend]
	return k == nil || t.mayWait(k, now)
}

// mayWait reports whether a call may wait. The window is what keepers have room for, and tells nothing while none answers.
func (t *Table) mayWait(k *known, now time.Time) bool {
	return (k.calls.waiting < k.calls.window || t.Alone(now)) && !now.Before(k.askAt)
}

func (t *Table) mayProbe(k *known, now time.Time) bool {
	return t.Alone(now) || k.calls.waiting+k.calls.probing == 0 && !now.Before(k.calls.fullUntil)
}

func (c *Call) end() {
	if c.waits {
		c.server.calls.waiting--
	} else {
		c.server.calls.probing--
	}
}

// Lost ends a call that no control VM answered.
func (t *Table) Lost(c *Call, now time.Time) {
	c.end()
	if t.lostSince.IsZero() {
		t.lostSince = now
	}
}

// Answered ends a call that a control VM answered.
func (t *Table) Answered(c *Call, a Answer, now time.Time) {
	t.lostSince = time.Time{}
	c.end()
	k := c.server
	switch {
	case a.Granted:
		k.calls.grow(c, maxWindow(k.limit))
	case c.waits:
		k.calls.fullUntil = now.Add(time.Duration(a.RetryIn))
		if a.Keeper == "" {
			k.calls.shrink(c, now)
		}
		k.refused(time.Duration(a.RetryIn), now)
	default:
		k.calls.fullUntil = now.Add(time.Duration(a.RetryIn))
	}
}

// grow enlarges the window: by one after a window of leases, to twice its size after a lease that was free at once, since nobody waits.
func (c *calls) grow(by *Call, most int) {
	c.granted++
	switch {
	case !by.waits:
		c.window, c.granted = min(2*c.window, most), 0
	case c.granted >= c.window:
		c.window, c.granted = min(c.window+1, most), 0
	}
}

// shrink halves the window, once for all calls that were under way.
func (c *calls) shrink(by *Call, now time.Time) {
	if by.sentAt.After(c.cutAt) {
		c.window, c.granted, c.cutAt = max(1, (c.waiting+1)/2), 0, now
	}
}
