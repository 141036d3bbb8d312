package laburnumbalance_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
)

// Three engines hold a model, one of them can't be reached and one is full: whoever asks
// for an adapter of it must be told of the third alone.
func TestUnavailableEnginesAreListed(t *testing.T) {
	table := newTable(record(1, "brest", "m0"), record(2, "brest", "m0"), record(3, "brest", "m0"), record(4, "brest", "m1"))
	require.Empty(t, table.Useless(query("m0"), start))
	table.Learn("i-1", laburnumbalance.Sample{Full: true}, start)
	table.Learn("i-2", laburnumbalance.Sample{Unreachable: true}, start)
	table.Learn("i-4", laburnumbalance.Sample{Full: true}, start)
	require.ElementsMatch(t, []laburnumlever.BackendID{"i-1", "i-2"}, table.Useless(query("m0"), start))
}
