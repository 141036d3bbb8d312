package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v2"

	"laburnumlever"
	"laburnumlever/laburnumsettings"
)

// Guards against commands without an example or their exit codes in the help text.
func TestEveryCommandHasHelp(t *testing.T) {
	var check func(name string, commands []*cli.Command)
	check = func(name string, commands []*cli.Command) {
		for _, command := range commands {
			full := name + " " + command.Name
			require.NotEmpty(t, command.Usage, full)
			if command.Action != nil {
				require.Contains(t, command.Description, "Example: "+full, full)
				require.Contains(t, command.Description, exitCodesText, full)
				require.NotNil(t, command.OnUsageError, full)
			}
			check(full, command.Subcommands)
		}
	}
	check("laburnumlever", newApp().Commands)
}

func readDoc(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", name))
	require.NoError(t, err)
	return string(text)
}

// Guards against refusal and retry counters that the on-call page does not explain.
func TestOnCallPageNamesEveryReason(t *testing.T) {
	text := readDoc(t, "on-call.md")
	for _, name := range laburnumlever.RefusalReasonStrings() {
		require.Contains(t, text, "| `"+name+"` |")
	}
	for _, name := range laburnumlever.RetryReasonStrings() {
		require.Contains(t, text, "| `"+name+"` |")
	}
}

// Guards against log events that the operations page does not explain.
func TestOperationsPageNamesEveryEvent(t *testing.T) {
	text := readDoc(t, "OPERATIONS.md")
	for _, name := range laburnumlever.LogEventStrings() {
		require.Contains(t, text, "`"+name+"`")
	}
}

func TestReferencePagesNameEveryKey(t *testing.T) {
	settings, catalogue := readDoc(t, "settings.md"), readDoc(t, "catalogue.md")
	for _, key := range laburnumsettings.Reference() {
		name := key.Key
		switch {
		case key.File == "settings":
			require.Contains(t, settings, "`"+name+"`")
		case strings.Contains(name, "limits."):
			require.Contains(t, catalogue, "`limits."+name[strings.Index(name, "limits.")+len("limits."):]+"`")
		case key.Value != "a list" && key.Value != "an object":
			require.Contains(t, catalogue, "`"+name+"`")
		}
	}
}
