package laburnumorder

import (
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

// Ledger counts the memory of a zone's accelerators. It is not safe for use by many
// goroutines: the control thread owns it.
type Ledger struct {
	accounts map[laburnumlever.BackendID]*account
}

type account struct {
	accelerators []laburnumlever.Accelerator
	loaded       []laburnumlever.Loaded
	pending      []Entry
}

// Entry is a load order that may yet take effect.
type Entry struct {
	Order laburnumlever.Order
	// SettleAfter is when it can't arrive any more. Zero while it is not sent or
	// its answer is awaited.
	SettleAfter time.Time
}

// NewLedger makes an empty ledger.
func NewLedger() *Ledger { return &Ledger{accounts: make(map[laburnumlever.BackendID]*account)} }

func (l *Ledger) account(backend laburnumlever.BackendID) *account {
	a, ok := l.accounts[backend]
	if !ok {
		a = &account{}
		l.accounts[backend] = a
	}
	return a
}

// Open counts a load order from now on.
func (l *Ledger) Open(backend laburnumlever.BackendID, order laburnumlever.Order) {
	a := l.account(backend)
	if order.Kind != laburnumlever.Load || a.indexOf(order.ID) >= 0 {
		return
	}
	a.pending = append(a.pending, Entry{Order: order})
}

// Sent notes when an order that has been sent can't arrive any more.
func (l *Ledger) Sent(backend laburnumlever.BackendID, id laburnumlever.OrderID, settleAfter time.Time) {
	a := l.account(backend)
	if i := a.indexOf(id); i >= 0 {
		a.pending[i].SettleAfter = settleAfter
	}
}

// Drop takes out an order that surely never left this VM.
func (l *Ledger) Drop(backend laburnumlever.BackendID, id laburnumlever.OrderID) {
	a := l.account(backend)
	if i := a.indexOf(id); i >= 0 {
		a.pending = slices.Delete(a.pending, i, i+1)
	}
}

// Answered replaces the inventory by the one that came with an order's answer.
// Orders stay counted: a duplicate may still be under way.
func (l *Ledger) Answered(backend laburnumlever.BackendID, loaded []laburnumlever.Loaded) {
	l.account(backend).loaded = loaded
}

// Read replaces the inventory by one whose reading began at the given time, and
// takes out the orders that could not arrive any more by then.
func (l *Ledger) Read(backend laburnumlever.BackendID, inventory laburnumlever.Inventory, began time.Time) {
	a := l.account(backend)
	a.loaded = inventory.Loaded
	a.accelerators = inventory.Accelerators
	a.pending = slices.DeleteFunc(a.pending, func(e Entry) bool {
		return !e.SettleAfter.IsZero() && !began.Before(e.SettleAfter)
	})
}

// Counts tells whether an order is still counted.
func (l *Ledger) Counts(backend laburnumlever.BackendID, id laburnumlever.OrderID) bool {
	return l.account(backend).indexOf(id) >= 0
}

// CountsCopy tells whether an order that loads the copy is still counted, so that
// unloading it frees no memory yet.
func (l *Ledger) CountsCopy(backend laburnumlever.BackendID, c laburnumlever.Loaded) bool {
	key := copyKey(c)
	return slices.ContainsFunc(l.account(backend).pending, func(e Entry) bool { return copyKey(e.Order.Copy) == key })
}

// Loaded is the engine's last inventory.
func (l *Ledger) Loaded(backend laburnumlever.BackendID) []laburnumlever.Loaded {
	return l.account(backend).loaded
}

// Accelerators are those of the engine's last inventory.
func (l *Ledger) Accelerators(backend laburnumlever.BackendID) []laburnumlever.Accelerator {
	return l.account(backend).accelerators
}

// Unsettled are the engine's orders that are still counted.
func (l *Ledger) Unsettled(backend laburnumlever.BackendID) []Entry {
	return l.account(backend).pending
}

// Fits tells whether the engine has memory for the copy, whatever becomes of the
// orders that are open.
func (l *Ledger) Fits(backend laburnumlever.BackendID, c laburnumlever.Loaded) bool {
	a := l.account(backend)
	for _, id := range c.Accelerators {
		i := slices.IndexFunc(a.accelerators, func(acc laburnumlever.Accelerator) bool { return acc.ID == id })
		if i < 0 || a.committed(id, &c) > a.accelerators[i].MemoryMiB {
			return false
		}
	}
	return len(c.Accelerators) > 0
}

// Committed is the memory counted on an accelerator, in MiB.
func (l *Ledger) Committed(backend laburnumlever.BackendID, id laburnumlever.AcceleratorID) int {
	return l.account(backend).committed(id, nil)
}

// committed counts each copy once, at the largest size that any order or the
// inventory gives it: while a copy changes in place it may have either size.
func (a *account) committed(id laburnumlever.AcceleratorID, more *laburnumlever.Loaded) int {
	sizes := make(map[string]int, len(a.loaded)+len(a.pending))
	count := func(c laburnumlever.Loaded) {
		if slices.Contains(c.Accelerators, id) {
			key := copyKey(c)
			sizes[key] = max(sizes[key], c.PartMiB)
		}
	}
	for _, c := range a.loaded {
		count(c)
	}
	for _, e := range a.pending {
		count(e.Order.Copy)
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
	return slices.IndexFunc(a.pending, func(e Entry) bool { return e.Order.ID == id })
}

// copyKey names a copy: an engine holds a version of a model on the same
// accelerators only once.
func copyKey(c laburnumlever.Loaded) string {
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
