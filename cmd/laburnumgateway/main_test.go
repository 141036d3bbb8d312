package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against libraries of operators' calls in the gateways' program, which delay the start of each.
func TestProgramHasNoLibrariesOfOperatorsCalls(t *testing.T) {
	out, err := exec.CommandContext(t.Context(), "go", "list", "-deps", ".").Output()
	require.NoError(t, err)
	packages := strings.Fields(string(out))
	require.Contains(t, packages, "laburnumlever/laburnumgateway")
	for _, name := range packages {
		require.False(t, strings.HasPrefix(name, "github.com/kataras/"), name)
		require.NotEqual(t, "laburnumlever/laburnumoperator", name)
	}
}

func TestExitCodes(t *testing.T) {
	invalid := filepath.Join(t.TempDir(), "settings.jsonc")
	require.NoError(t, os.WriteFile(invalid, []byte(`{"vm": 7}`), 0o600))
	for name, test := range map[string]struct {
		args []string
		want int
	}{
		"no settings":      {want: exitUsage},
		"unknown flag":     {args: []string{"--seed", "1"}, want: exitUsage},
		"invalid settings": {args: []string{"--settings", invalid}, want: exitInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, run(append([]string{"laburnumgateway"}, test.args...)))
		})
	}
}
