package laburnumsettings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumsettings"
)

// Guards against a switch that is misspelled or no boolean and is silently off.
func TestWrongSharedMachinesStopTheStart(t *testing.T) {
	for text, want := range map[string][]string{
		`{"look":true}`:        {"shared-machines.look", "looks"},
		`{"looks":"yes"}`:      {"shared-machines.looks", "yes", "true or false"},
		`{"by-urgency":1}`:     {"shared-machines.by-urgency", "1", "true or false"},
		`{"known-returns":{}}`: {"shared-machines.known-returns", "true or false"},
		`[]`:                   {"shared-machines", "an object"},
	} {
		file := filepath.Join(t.TempDir(), "role.jsonc")
		require.NoError(t, os.WriteFile(file, []byte(`{"shared-machines":`+text+`}`), 0o600))
		_, err := laburnumsettings.LoadRoleSettings(file)
		require.Error(t, err)
		for _, word := range want {
			require.ErrorContains(t, err, word, text)
		}
	}
}
