package laburnumstate_test

import (
	"testing"

	"laburnumlever"
	"laburnumlever/laburnumstate"

	"github.com/stretchr/testify/require"
)

// Guards against snapshots that cause a panic, or that change when they are decoded and encoded.
func FuzzSnapshot(f *testing.F) {
	m := laburnumstate.New()
	for i, cmd := range []laburnumlever.Command{
		claim("k", 1, "c"), answer("k", laburnumlever.OutcomeAnswered, "yes"), apply("x", 0, "one"),
		lease(laburnumlever.CommandAcquireLease, "vm-1", 0, 0), intent(laburnumlever.CommandRecordIntent, "o", 1),
	} {
		m.Apply(int64(i), cmd)
	}
	good, err := m.Image().Encode()
	require.NoError(f, err)
	f.Add(good)
	f.Add([]byte(`{"claims":[{},{}],"leases":[{}],"changes":[null],"routes":{}}`))
	f.Add([]byte(`{"clock":-9223372036854775808,"fence":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := laburnumstate.Decode(data)
		if err != nil {
			return
		}
		first, err := m.Image().Encode()
		require.NoError(t, err)
		again, err := laburnumstate.Decode(first)
		require.NoError(t, err)
		second, err := again.Image().Encode()
		require.NoError(t, err)
		require.Equal(t, string(first), string(second))
		for i, cmd := range []laburnumlever.Command{claim("k", 2, "d"), apply("y", 1, "two"), lease(laburnumlever.CommandAcquireLease, "vm-2", 0, 0)} {
			m.Apply(int64(100+i), cmd)
		}
	})
}
