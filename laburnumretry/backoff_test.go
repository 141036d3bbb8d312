package laburnumretry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumretry"
)

// Guards against retries at a short fixed interval while the resource stays unavailable.
func TestBackoffDoublesUpToItsMaximum(t *testing.T) {
	b := laburnumretry.Backoff{Least: 2 * time.Millisecond, Most: 50 * time.Millisecond}
	retries := 0
	for waited := time.Duration(0); waited < time.Second; waited += b.Next() {
		retries++
	}
	require.Less(t, retries, 30)
	require.Equal(t, 50*time.Millisecond, b.Next())
	first := laburnumretry.Backoff{Least: 2 * time.Millisecond, Most: 50 * time.Millisecond}
	require.Equal(t, 2*time.Millisecond, first.Next(), "most adapters are available at once")
}
