// Command laburnumgateway runs a gateway VM of a platform. It is `laburnumlever gateway` without the libraries of the other
// commands, whose initialization would take most of a start's time and memory.
//
// # Usage
//
//	laburnumgateway --settings gateway.jsonc
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"laburnumlever"
	"laburnumlever/laburnumrunner"
	"laburnumlever/platform"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v2"
)

// The exit codes, as of laburnumlever.
const (
	exitFailure = 1
	exitUsage   = 2
	exitInvalid = 3
)

// usageError reports an invalid command line.
type usageError struct{ Detail string }

func (e *usageError) Error() string { return e.Detail }

func main() { os.Exit(run(os.Args)) }

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
	var usage *usageError
	var settings *laburnumlever.SettingsInvalidError
	if errors.As(err, &settings) {
		for _, fault := range settings.Faults { // each on a line of its own, so that editors can jump to it
			fmt.Fprintln(os.Stderr, fault)
		}
		return exitInvalid
	}
	fmt.Fprintln(os.Stderr, "laburnumgateway:", err)
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailure
}

func newApp() *cli.App {
	return &cli.App{
		Name:  "laburnumgateway",
		Usage: "run a gateway VM of a platform",
		Description: "Serves callers according to the operators' routes and stores nothing. SIGTERM shuts it down\n" +
			"gracefully within the grace of the settings.\n\n" +
			"Example: laburnumgateway --settings gateway.jsonc\n\n" +
			"Exit codes: 0 success; 1 failure; 2 invalid usage; 3 the settings file is invalid.",
		Flags:          []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "the settings `FILE`"}},
		HideVersion:    true,
		ExitErrHandler: func(*cli.Context, error) {},
		OnUsageError:   func(_ *cli.Context, err error, _ bool) error { return &usageError{Detail: err.Error()} },
		Action:         runGateway,
	}
}

func runGateway(c *cli.Context) error {
	if c.String("settings") == "" {
		return &usageError{Detail: "--settings is missing"}
	}
	runner, err := laburnumrunner.New(c.String("settings"), c.App.Writer)
	if err != nil {
		return err
	}
	return runner.RunGateway(c.Context, platform.Dialect{}, platform.NewReadyHandler)
}
