package main

import (
	"maps"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"laburnumlever": func() { os.Exit(run(os.Args)) },
		"caller":        func() { os.Exit(runCaller(os.Args)) },
		"writer":        func() { os.Exit(runWriter(os.Args)) },
	})
}

// TestScripts runs the sessions in testdata/scripts with real processes.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                "testdata/scripts",
		Cmds:               scriptCommands(),
		Setup:              scriptSetup,
		UpdateScripts:      os.Getenv("UPDATE_GOLDEN") != "",
		RequireUniqueNames: true,
	})
}

// TestFaults runs the failure sessions in testdata/faults with real processes.
func TestFaults(t *testing.T) {
	cmds := scriptCommands()
	maps.Copy(cmds, fleetCommands())
	testscript.Run(t, testscript.Params{
		Dir:                "testdata/faults",
		Cmds:               cmds,
		Setup:              scriptSetup,
		RequireUniqueNames: true,
	})
}
