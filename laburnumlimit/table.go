package laburnumlimit

import (
	"time"

	"laburnumlever"

	"github.com/cespare/xxhash/v2"
)

// shareGateways is the average number of gateways that send to a limited server without a control VM.
const shareGateways = 3

// waitTolerance is the difference up to which two requests count as able to wait equally long.
const waitTolerance = 50 * time.Millisecond

// probePeriod is the time between two requests of all gateways that probe the same server.
const probePeriod = time.Second

// Observation is what an answer of a backend server tells of its limit.
type Observation struct {
	Limit
	// SentAt is when the request was sent.
	SentAt time.Time
}

// Table contains the limits that a gateway knows.
type Table struct {
	vm     laburnumlever.VMID
	limits map[laburnumlever.BackendID]*known
}

// known is a limit that the gateway knows.
type known struct {
	limit Limit
	// since is when the gateway learned of it; seen is set if it learned it from an answer.
	since time.Time
	seen  bool
	// askAt is when it is worth while to ask for a slot again, for requests that can wait no longer
	// than refusedWait.
	askAt       time.Time
	refusedWait time.Duration
	// probeAt is when the gateway next probes the server; zero before Probe.
	probeAt time.Time
	// shareAt is when the gateway may send its next request without a control VM; zero before Share.
	shareAt time.Time
}

// NewTable returns an empty table for the gateway on a VM.
func NewTable(vm laburnumlever.VMID) *Table {
	return &Table{vm: vm, limits: map[laburnumlever.BackendID]*known{}}
}

// Limit returns the limit of an incarnation of a backend server, if the gateway knows one.
func (t *Table) Limit(backend laburnumlever.BackendID, incarnation uint64) (Limit, bool) {
	if k := t.limits[backend]; k != nil && k.limit.Incarnation == incarnation {
		return k.limit, true
	}
	return Limit{}, false
}

// Observe records what an answer tells and reports whether it is news. The end of a limit counts only
// if the request was sent after the gateway learned of the limit, as answers overtake each other.
func (t *Table) Observe(o Observation, now time.Time) bool {
	k := t.limits[o.Backend]
	if o.Ended && (k == nil || k.limit.Incarnation != o.Incarnation || !o.SentAt.After(k.since)) {
		return false
	}
	if k != nil && o.Incarnation < k.limit.Incarnation {
		return false
	}
	return t.set(o.Limit, true, now)
}

// Apply records a limit that a control VM told, and reports whether it is news.
func (t *Table) Apply(l Limit, now time.Time) bool {
	k := t.limits[l.Backend]
	if k == nil && l.Ended || k != nil && (l.Incarnation < k.limit.Incarnation || k.limit.same(l)) {
		return false
	}
	return t.set(l, false, now)
}

// set records a limit or its end, and reports whether it differs from what was known.
func (t *Table) set(l Limit, seen bool, now time.Time) bool {
	k := t.limits[l.Backend]
	if l.Ended {
		delete(t.limits, l.Backend)
		return k != nil
	}
	if k == nil || k.limit.Incarnation != l.Incarnation {
		t.limits[l.Backend] = &known{limit: l, seen: seen, since: now}
		return true
	}
	news := !k.limit.same(l)
	if news {
		k.askAt = time.Time{}
	}
	k.limit, k.seen = l, seen || k.seen && !news
	if news || seen {
		k.since = now
	}
	return news
}

// Forget drops the limit of a backend server that is gone.
func (t *Table) Forget(backend laburnumlever.BackendID) { delete(t.limits, backend) }

// Report returns what the gateway tells a control VM of the limit of a server in the zone.
func (t *Table) Report(backend laburnumlever.BackendID, zone laburnumlever.ZoneName, now time.Time) (Report, bool) {
	k := t.limits[backend]
	if k == nil {
		return Report{}, false
	}
	age := retention
	if k.seen {
		age = now.Sub(k.since)
	}
	return Report{Limit: k.limit, Zone: zone, Age: laburnumlever.Duration(age)}, true
}

// Refused records that a request that could wait for the given time got no slot, and when it is worth
// while to ask again.
func (t *Table) Refused(backend laburnumlever.BackendID, wait, retryIn time.Duration, now time.Time) {
	if k := t.limits[backend]; k != nil {
		k.askAt, k.refusedWait = now.Add(retryIn), wait
	}
}

// RetryIn returns how long it is not worth while to ask for a slot for a request that can wait for the
// given time; 0 if it is.
func (t *Table) RetryIn(backend laburnumlever.BackendID, wait time.Duration, now time.Time) time.Duration {
	k := t.limits[backend]
	if k == nil || wait > k.refusedWait+waitTolerance {
		return 0
	}
	return max(0, k.askAt.Sub(now))
}

// Probe reports whether it is time to send a request to the limited server although others are free: all
// gateways together do so every probePeriod, to notice the end of the limit. Random is between 0 and 1.
func (t *Table) Probe(backend laburnumlever.BackendID, gateways int, random float64, now time.Time) bool {
	k := t.limits[backend]
	if k == nil || now.Before(k.probeAt) {
		return false
	}
	due := !k.probeAt.IsZero()
	period := time.Duration(max(1, gateways)) * probePeriod
	k.probeAt = now.Add(time.Duration((0.5 + random) * float64(period)))
	return due
}

// Len returns the number of limits that the gateway knows.
func (t *Table) Len() int { return len(t.limits) }

// Share grants a slot at once, if there is one, without a control VM. Of the given number of gateways
// about shareGateways are chosen for each server; the others get none.
func (t *Table) Share(backend laburnumlever.BackendID, gateways int, now time.Time) bool {
	k := t.limits[backend]
	if k == nil {
		return true
	}
	gateways = max(1, gateways)
	hash := xxhash.Sum64String(string(backend) + "/" + string(t.vm))
	if hash%uint64(gateways) >= shareGateways { //nolint:gosec // positive
		return false
	}
	interval := k.limit.interval(gatewayShare / float64(min(shareGateways, gateways)))
	if k.shareAt.IsZero() {
		phase := float64(hash>>32) / (1 << 32) // otherwise all would begin at once
		k.shareAt = now.Add(time.Duration(phase * float64(interval)))
	}
	if now.Before(k.shareAt) {
		return false
	}
	k.shareAt = now.Add(interval)
	return true
}
