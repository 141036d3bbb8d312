package laburnumorder

import (
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

// Ledger accounts for the memory of a zone's accelerators, in MiB. It is not safe for
// concurrent use: only the control thread uses it.
type Ledger struct {
	accounts map[laburnumlever.BackendID]*account
}

type account struct {
	accelerators []laburnumlever.Accelerator
	loaded       []laburnumlever.ModelCopy
	pending      []PendingOrder
}

// PendingOrder is a load order that may still take effect.
type PendingOrder struct {
	Order laburnumlever.Order
	// SettleAfter is the time from which the order, or a duplicate of it, can no longer reach
	// the engine. It is zero until the order is answered or its answer is lost; an order that
	// an earlier owner may have sent has it from the start.
	SettleAfter time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{accounts: make(map[laburnumlever.BackendID]*account)} }

func (l *Ledger) account(backend laburnumlever.BackendID) *account {
	a, ok := l.accounts[backend]
	if !ok {
		a = &account{}
		l.accounts[backend] = a
	}
	return a
}

// AddOrder adds a load order. It ignores an unload order, and an order that is already pending.
func (l *Ledger) AddOrder(backend laburnumlever.BackendID, order laburnumlever.Order) {
	a := l.account(backend)
	if order.Kind != laburnumlever.Load || a.indexOf(order.ID) >= 0 {
		return
	}
	a.pending = append(a.pending, PendingOrder{Order: order})
}

// SetSettleTime sets the time from which a pending order can no longer reach the engine.
func (l *Ledger) SetSettleTime(backend laburnumlever.BackendID, id laburnumlever.OrderID, settleAfter time.Time) {
	a := l.account(backend)
	if i := a.indexOf(id); i >= 0 {
		a.pending[i].SettleAfter = settleAfter
	}
}

// RemoveOrder removes an order that was certainly never sent.
func (l *Ledger) RemoveOrder(backend laburnumlever.BackendID, id laburnumlever.OrderID) {
	a := l.account(backend)
	if i := a.indexOf(id); i >= 0 {
		a.pending = slices.Delete(a.pending, i, i+1)
	}
}

// SetLoaded replaces the loaded copies by those in the answer to an order. Pending orders
// stay counted: a duplicate may still be in flight.
func (l *Ledger) SetLoaded(backend laburnumlever.BackendID, loaded []laburnumlever.ModelCopy) {
	l.account(backend).loaded = loaded
}

// ApplyInventory replaces the inventory by one whose read started at began, and removes
// the orders that could no longer reach the engine by then.
func (l *Ledger) ApplyInventory(backend laburnumlever.BackendID, inventory laburnumlever.Inventory, began time.Time) {
	a := l.account(backend)
	a.loaded = inventory.Loaded
	a.accelerators = inventory.Accelerators
	a.pending = slices.DeleteFunc(a.pending, func(p PendingOrder) bool {
		return !p.SettleAfter.IsZero() && !began.Before(p.SettleAfter)
	})
}

// HasOrder reports whether an order is pending.
func (l *Ledger) HasOrder(backend laburnumlever.BackendID, id laburnumlever.OrderID) bool {
	return l.account(backend).indexOf(id) >= 0
}

// HasOrderFor reports whether a load order for the copy is pending, so that unloading the
// copy frees no memory yet.
func (l *Ledger) HasOrderFor(backend laburnumlever.BackendID, c laburnumlever.ModelCopy) bool {
	key := copyKey(c)
	return slices.ContainsFunc(l.account(backend).pending, func(p PendingOrder) bool { return copyKey(p.Order.Copy) == key })
}

// Loaded returns the copies in the engine's last inventory.
func (l *Ledger) Loaded(backend laburnumlever.BackendID) []laburnumlever.ModelCopy {
	return l.account(backend).loaded
}

// Accelerators returns the accelerators in the engine's last inventory.
func (l *Ledger) Accelerators(backend laburnumlever.BackendID) []laburnumlever.Accelerator {
	return l.account(backend).accelerators
}

// PendingOrders returns the engine's pending orders.
func (l *Ledger) PendingOrders(backend laburnumlever.BackendID) []PendingOrder {
	return l.account(backend).pending
}

// Fits reports whether the engine has memory for the copy even if all pending orders take
// effect.
func (l *Ledger) Fits(backend laburnumlever.BackendID, c laburnumlever.ModelCopy) bool {
	a := l.account(backend)
	for _, id := range c.Accelerators {
		i := slices.IndexFunc(a.accelerators, func(acc laburnumlever.Accelerator) bool { return acc.ID == id })
		if i < 0 || a.committed(id, &c) > a.accelerators[i].MemoryMiB {
			return false
		}
	}
	return len(c.Accelerators) > 0
}

// Committed returns the memory committed on an accelerator, in MiB.
func (l *Ledger) Committed(backend laburnumlever.BackendID, id laburnumlever.AcceleratorID) int {
	return l.account(backend).committed(id, nil)
}

// committed returns the memory committed on an accelerator, in MiB, including the copy more
// unless it is nil. It counts each copy once, at its largest size in the inventory and the
// pending orders: until an order that changes a copy's size settles, either size may hold.
func (a *account) committed(id laburnumlever.AcceleratorID, more *laburnumlever.ModelCopy) int {
	sizes := make(map[string]int, len(a.loaded)+len(a.pending))
	count := func(c laburnumlever.ModelCopy) {
		if slices.Contains(c.Accelerators, id) {
			key := copyKey(c)
			sizes[key] = max(sizes[key], c.PartMiB)
		}
	}
	for _, c := range a.loaded {
		count(c)
	}
	for _, p := range a.pending {
		count(p.Order.Copy)
	}
	if more != nil {
		count(*more)
	}
	total := 0
	for _, size := range sizes {
		total += size
	}
	return total
}

func (a *account) indexOf(id laburnumlever.OrderID) int {
	return slices.IndexFunc(a.pending, func(p PendingOrder) bool { return p.Order.ID == id })
}

// copyKey identifies a copy within an engine, which holds a version of a model at most once on
// the same accelerators.
func copyKey(c laburnumlever.ModelCopy) string {
	var b strings.Builder
	b.WriteString(string(c.Model))
	b.WriteByte(0)
	b.WriteString(string(c.Version))
	for _, id := range c.Accelerators {
		b.WriteByte(0)
		b.WriteString(string(id))
	}
	return b.String()
}
