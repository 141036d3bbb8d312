package laburnumbalance_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
)

// Guards against adapter loads ordered on engines that hold the model but are full or unreachable:
// the caller excludes the engines listed here.
func TestUnavailableEnginesAreListed(t *testing.T) {
	table := newTable(record(1, "brest", "m0"), record(2, "brest", "m0"), record(3, "brest", "m0"), record(4, "brest", "m1"))
	require.Empty(t, table.Useless(query("m0"), start))
	table.Learn("i-1", laburnumbalance.Sample{Full: true}, start)
	table.Learn("i-2", laburnumbalance.Sample{Unreachable: true}, start)
	table.Learn("i-4", laburnumbalance.Sample{Full: true}, start)
	require.ElementsMatch(t, []laburnumlever.BackendID{"i-1", "i-2"}, table.Useless(query("m0"), start))
}
