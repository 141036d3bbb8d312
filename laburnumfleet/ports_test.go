package laburnumfleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumfleet"
)

// Guards against two sessions of one process that get the same address before either has bound it.
func TestReservedPortsAreNotGivenTwice(t *testing.T) {
	given := map[string]bool{}
	for range 50 {
		addresses, err := laburnumfleet.ReservePorts(t.Context(), 40)
		require.NoError(t, err)
		for _, address := range addresses {
			require.False(t, given[address], "%s is given twice", address)
			given[address] = true
		}
	}
}
