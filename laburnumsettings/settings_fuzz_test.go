package laburnumsettings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumsettings"
)

// FuzzSettings guards against files that cause a panic or an error without a message.
func FuzzSettings(f *testing.F) {
	f.Add([]byte("{}"))
	f.Add([]byte("{ // comment\n\"times\": {\"lease\": \"3s\",},}"))
	f.Add([]byte(`{"times":{"lease":-1,"heartbeat":"x"},"unknown":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := laburnumsettings.ParseCatalogue("catalogue.jsonc", data)
		if err != nil {
			require.NotEmpty(t, err.Error())
		}
		file := filepath.Join(t.TempDir(), "role.jsonc")
		require.NoError(t, os.WriteFile(file, data, 0o600))
		if _, err := laburnumsettings.LoadRoleSettings(file); err != nil {
			require.NotEmpty(t, err.Error())
		}
		if _, err := laburnumsettings.Load(file); err != nil {
			require.NotEmpty(t, err.Error())
		}
	})
}
