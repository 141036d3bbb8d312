package laburnumstate

import (
	"slices"

	"laburnumlever"
)

// Lease is a named lease. Fence is the fencing number of the last grant; Holder is empty
// if the lease is free.
type Lease struct {
	Name        string                 `json:"name"`
	Holder      laburnumlever.VMID     `json:"holder,omitempty"`
	Incarnation uint64                 `json:"incarnation,omitempty"`
	Fence       uint64                 `json:"fence"`
	TTL         laburnumlever.Duration `json:"ttl"`
	// Renewals is the number of renewals since the grant.
	Renewals uint64 `json:"renewals"`
	// Idle is at most the time for which the last holder had not renewed the lease when it
	// expired; 0 if it was released.
	Idle laburnumlever.Duration `json:"idle,omitempty"`
}

func (l Lease) heldBy(by laburnumlever.LeaseCommand) bool {
	return l.Holder == by.Holder && l.Incarnation == by.Incarnation && l.Holder != ""
}

// leaseTable holds leases and intents. All leases draw fencing numbers from one counter,
// so that a number is never granted twice.
type leaseTable struct {
	fence   uint64
	list    []Lease
	intents []laburnumlever.OrderIntent
}

func (t *leaseTable) find(name string) int {
	return slices.IndexFunc(t.list, func(l Lease) bool { return l.Name == name })
}

func (t *leaseTable) apply(limits Limits, kind laburnumlever.CommandKind, c laburnumlever.LeaseCommand) laburnumlever.Result {
	i := t.find(c.Name)
	switch kind {
	case laburnumlever.CommandAcquireLease:
		return t.acquire(limits, i, c)
	case laburnumlever.CommandRenewLease, laburnumlever.CommandReleaseLease, laburnumlever.CommandExpireLease:
	default:
		return laburnumlever.Result{Code: laburnumlever.ResultInvalid, Detail: "not a lease command"}
	}
	if i < 0 {
		return laburnumlever.Result{Code: laburnumlever.ResultUnknown, Detail: "no such lease"}
	}
	l := t.list[i]
	if kind == laburnumlever.CommandExpireLease {
		return t.expire(i, c)
	}
	if !l.heldBy(c) || l.Fence != c.Fence {
		return laburnumlever.Result{Code: laburnumlever.ResultNotHolder, Holder: l.Holder, Fence: l.Fence}
	}
	if kind == laburnumlever.CommandReleaseLease {
		return t.free(i, 0)
	}
	return t.renew(i, c)
}

func (t *leaseTable) acquire(limits Limits, i int, c laburnumlever.LeaseCommand) laburnumlever.Result {
	if c.Name == "" || c.Holder == "" || c.TTL <= 0 {
		return laburnumlever.Result{Code: laburnumlever.ResultInvalid, Detail: "the lease lacks a name, a holder or a positive TTL"}
	}
	switch {
	case i < 0 && len(t.list) >= limits.Leases:
		return laburnumlever.Result{Code: laburnumlever.ResultFull, Detail: "the lease table is full"}
	case i < 0:
		t.list = append(t.list, Lease{Name: c.Name})
		i = len(t.list) - 1
	case t.list[i].heldBy(c):
		return t.renew(i, c)
	case t.list[i].Holder != "":
		l := t.list[i]
		return laburnumlever.Result{Code: laburnumlever.ResultConflict, Holder: l.Holder, Fence: l.Fence}
	}
	t.fence++
	idle := t.list[i].Idle
	t.replace(i, Lease{Name: c.Name, Holder: c.Holder, Incarnation: c.Incarnation, Fence: t.fence, TTL: c.TTL})
	result := t.grantResult(i)
	result.Idle = idle
	return result
}

// grantResult returns the lease's holder and fence with the unresolved intents under it.
func (t *leaseTable) grantResult(i int) laburnumlever.Result {
	l := t.list[i]
	result := laburnumlever.Result{Code: laburnumlever.ResultOK, Holder: l.Holder, Fence: l.Fence}
	for _, in := range t.intents {
		if in.Lease == l.Name {
			result.Intents = append(result.Intents, in)
		}
	}
	return result
}

func (t *leaseTable) renew(i int, c laburnumlever.LeaseCommand) laburnumlever.Result {
	l := t.list[i]
	l.Renewals++
	if c.TTL > 0 {
		l.TTL = c.TTL
	}
	t.replace(i, l)
	return t.grantResult(i)
}

// expire frees the lease unless it was renewed or granted again since the leader proposed
// the expiry: a renewal that was in flight at that time wins.
func (t *leaseTable) expire(i int, c laburnumlever.LeaseCommand) laburnumlever.Result {
	l := t.list[i]
	if l.Holder == "" || l.Fence != c.Fence || l.Renewals != c.Renewals {
		return laburnumlever.Result{Code: laburnumlever.ResultNotHolder, Holder: l.Holder, Fence: l.Fence}
	}
	return t.free(i, c.Idle)
}

func (t *leaseTable) free(i int, idle laburnumlever.Duration) laburnumlever.Result {
	l := t.list[i]
	t.replace(i, Lease{Name: l.Name, Fence: l.Fence, TTL: l.TTL, Idle: idle})
	return laburnumlever.Result{Code: laburnumlever.ResultOK, Fence: l.Fence}
}

// replace sets one lease in a copy of the list, so that images and callers of Leases keep
// an unchanged list.
func (t *leaseTable) replace(i int, l Lease) {
	t.list = slices.Clone(t.list)
	t.list[i] = l
}

func (t *leaseTable) applyIntent(limits Limits, kind laburnumlever.CommandKind, in laburnumlever.OrderIntent) laburnumlever.Result {
	known := slices.IndexFunc(t.intents, func(k laburnumlever.OrderIntent) bool { return k.Order.ID == in.Order.ID })
	switch kind {
	case laburnumlever.CommandResolveIntent:
		if known < 0 {
			return laburnumlever.Result{Code: laburnumlever.ResultUnknown, Detail: "no intent has this order id"}
		}
		t.intents = slices.Delete(slices.Clone(t.intents), known, known+1)
		return laburnumlever.Result{Code: laburnumlever.ResultOK}
	case laburnumlever.CommandRecordIntent:
		return t.recordIntent(limits, known, in)
	default:
		return laburnumlever.Result{Code: laburnumlever.ResultInvalid, Detail: "not an intent command"}
	}
}

// recordIntent accepts an intent only with the lease's current fence: a holder that was
// frozen until its lease expired must not send further orders.
func (t *leaseTable) recordIntent(limits Limits, known int, in laburnumlever.OrderIntent) laburnumlever.Result {
	i := t.find(in.Lease)
	if i < 0 {
		return laburnumlever.Result{Code: laburnumlever.ResultUnknown, Detail: "no such lease"}
	}
	l := t.list[i]
	if l.Holder == "" || l.Fence != in.Order.Fence {
		return laburnumlever.Result{Code: laburnumlever.ResultNotHolder, Holder: l.Holder, Fence: l.Fence}
	}
	if known >= 0 {
		return laburnumlever.Result{Code: laburnumlever.ResultOK, Fence: l.Fence}
	}
	if len(t.intents) >= limits.Intents {
		return laburnumlever.Result{Code: laburnumlever.ResultFull, Detail: "the intent table is full"}
	}
	t.intents = append(slices.Clone(t.intents), in)
	return laburnumlever.Result{Code: laburnumlever.ResultOK, Fence: l.Fence}
}
