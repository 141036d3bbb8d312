package laburnumstate_test

import (
	"encoding/json"
	"testing"

	"laburnumlever"
	"laburnumlever/laburnumstate"

	"github.com/stretchr/testify/require"
)

// FuzzCommand guards against commands that cause a panic or leave a state that can't be encoded and decoded, at which all voters stop.
func FuzzCommand(f *testing.F) {
	for _, cmd := range []laburnumlever.Command{
		claim("k", 1, "c"), answer("k", laburnumlever.OutcomeAnswered, "yes"), apply("x", 0, "one"),
		lease(laburnumlever.CommandAcquireLease, "vm-1", 0, 0), intent(laburnumlever.CommandRecordIntent, "o", 1),
	} {
		data, err := json.Marshal(cmd)
		require.NoError(f, err)
		f.Add(data, int64(1))
	}
	f.Add([]byte(`{"kind":"apply-routes","routes":{"version":3,"packed":"bm90IGNvbXByZXNzZWQ="}}`), int64(-1))
	f.Add([]byte(`{"kind":"apply-routes"}`), int64(0))
	f.Fuzz(func(t *testing.T, data []byte, at int64) {
		var cmd laburnumlever.Command
		if json.Unmarshal(data, &cmd) != nil {
			return
		}
		m := laburnumstate.New()
		m.Apply(1, claim("k", 1, "c"))
		m.Apply(at, cmd)
		m.Apply(at, cmd)
		image, err := m.Image().Encode()
		require.NoError(t, err)
		_, err = laburnumstate.Decode(image)
		require.NoError(t, err)
	})
}
