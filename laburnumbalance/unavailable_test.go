package laburnumbalance_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
)

// Guards against adapter loads ordered on engines that hold the model but are full or unreachable.
func TestUnavailableEnginesAreListed(t *testing.T) {
	table := newTable(record(1, "brest", "m0"), record(2, "brest", "m0"), record(3, "brest", "m0"), record(4, "brest", "m1"))
	require.Empty(t, table.Unavailable(query("m0"), start))
	table.Observe("i-1", laburnumbalance.AttemptResult{Full: true}, start)
	table.Observe("i-2", laburnumbalance.AttemptResult{Unreachable: true}, start)
	table.Observe("i-4", laburnumbalance.AttemptResult{Full: true}, start)
	require.ElementsMatch(t, []laburnumlever.BackendID{"i-1", "i-2"}, table.Unavailable(query("m0"), start))
}
