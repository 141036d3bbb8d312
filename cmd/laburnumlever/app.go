// Command laburnumlever contains all programs of the serving system. Every entry VM runs
// `laburnumlever serve`, the VMs of a platform run `gateway` or `control`; the other commands
// are for operators and developers.
//
// # Usage
//
//	laburnumlever quickstart
//	laburnumlever serve --settings rennes-a-1.jsonc
//	laburnumlever catalogue apply --vm 10.0.1.7:8081 catalogue/
//	laburnumlever help
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v2"
)

// run executes the command line and returns the exit code.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// The first signal restores the default handling, so that a second one terminates the
	// process immediately.
	defer context.AfterFunc(ctx, stop)()
	err := newApp().RunContext(ctx, args)
	if err == nil {
		return 0
	}
	printError(os.Stderr, err)
	return exitCode(err)
}

func newApp() *cli.App {
	return &cli.App{
		Name:        "laburnumlever",
		Usage:       "serve many models from fewer accelerators",
		Description: exitCodesText,
		Commands: []*cli.Command{
			serveCommand(),
			gatewayCommand(),
			controlCommand(),
			quickstartCommand(),
			settingsCommand(),
			catalogueCommand(),
			statusCommand(),
			explainCommand(),
			liftPartCommand(),
			logLevelCommand(),
			standInCommand(),
			loadCommand(),
			evaluateCommand(),
			soakCommand(),
		},
		HideVersion:    true,
		ExitErrHandler: func(*cli.Context, error) {},
		OnUsageError:   onUsageError,
		CommandNotFound: func(c *cli.Context, name string) {
			printf(c.App.ErrWriter, "laburnumlever: unknown command %q; see laburnumlever help\n", name)
			os.Exit(exitUsage)
		},
	}
}

func onUsageError(_ *cli.Context, err error, _ bool) error { return &usageError{Detail: err.Error()} }
