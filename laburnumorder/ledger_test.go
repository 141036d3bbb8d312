package laburnumorder_test

import (
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumorder"

	"github.com/stretchr/testify/require"
)

func TestLedgerCommittedMemory(t *testing.T) {
	at := time.Unix(100, 0)
	part := func(version string, mib int) laburnumlever.ModelCopy {
		return laburnumlever.ModelCopy{Model: "m", Version: laburnumlever.Version(version), PartMiB: mib, Accelerators: []laburnumlever.AcceleratorID{"a0"}}
	}
	inventory := func(loaded ...laburnumlever.ModelCopy) laburnumlever.Inventory {
		return laburnumlever.Inventory{Loaded: loaded, Accelerators: []laburnumlever.Accelerator{{ID: "a0", MemoryMiB: 100}}}
	}
	order := laburnumlever.Order{ID: "o1", Kind: laburnumlever.Load, Copy: part("v1", 60)}
	for name, c := range map[string]struct {
		change func(l *laburnumorder.Ledger)
		want   int
	}{
		"pending order":                   {want: 60, change: func(*laburnumorder.Ledger) {}},
		"loaded and pending are one copy": {want: 70, change: func(l *laburnumorder.Ledger) { l.ApplyInventory("e", inventory(part("v1", 70)), at) }},
		"other version is another copy":   {want: 100, change: func(l *laburnumorder.Ledger) { l.ApplyInventory("e", inventory(part("v2", 40)), at) }},
		"answer pending, empty read":      {want: 60, change: func(l *laburnumorder.Ledger) { l.ApplyInventory("e", inventory(), at.Add(time.Hour)) }},
		"lost answer, read too early": {want: 60, change: func(l *laburnumorder.Ledger) {
			l.SetSettleTime("e", "o1", at)
			l.ApplyInventory("e", inventory(), at.Add(-1))
		}},
		"lost answer, read after settle time":  {want: 0, change: func(l *laburnumorder.Ledger) { l.SetSettleTime("e", "o1", at); l.ApplyInventory("e", inventory(), at) }},
		"lost answer, answer to another order": {want: 60, change: func(l *laburnumorder.Ledger) { l.SetSettleTime("e", "o1", at); l.SetLoaded("e", nil) }},
		"never sent":                           {want: 0, change: func(l *laburnumorder.Ledger) { l.RemoveOrder("e", "o1") }},
	} {
		t.Run(name, func(t *testing.T) {
			l := laburnumorder.NewLedger()
			l.ApplyInventory("e", inventory(), at)
			l.AddOrder("e", order)
			c.change(l)
			require.Equal(t, c.want, l.Committed("e", "a0"))
			require.Equal(t, c.want <= 40, l.Fits("e", part("v3", 60)))
			require.False(t, l.Fits("e", part("v3", 101)))
		})
	}
}
