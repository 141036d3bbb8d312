package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v2"

	"laburnumlever/laburnumoperator"
)

// The values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// defaultVM is the default address of the operators listener in settings.
const defaultVM = "127.0.0.1:8081"

const defaultTimeout = 15 * time.Second

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "output",
		Value: outputText,
		Usage: "text or json",
		Action: func(_ *cli.Context, value string) error {
			if value != outputText && value != outputJSON {
				return &usageError{Detail: fmt.Sprintf("--output %q: want text or json", value)}
			}
			return nil
		},
	}
}

func vmFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "vm",
		Value:   defaultVM,
		Usage:   "`ADDRESS` (IP and port) of the operators listener of any entry VM",
		EnvVars: []string{"LABURNUMLEVER_VM"},
	}
}

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "how long to wait for the answer"}
}

func clientOf(c *cli.Context) *laburnumoperator.Client {
	return laburnumoperator.NewClient(c.String("vm"))
}

// oneArgument returns the only argument, or a usage error with the argument's name.
func oneArgument(c *cli.Context, name string) (string, error) {
	if c.NArg() != 1 {
		return "", &usageError{Detail: fmt.Sprintf("%s: want one argument, %s; have %d", commandName(c), name, c.NArg())}
	}
	return c.Args().First(), nil
}

// commandName returns the full command without the name of the program.
func commandName(c *cli.Context) string {
	return strings.TrimPrefix(c.Command.HelpName, c.App.Name+" ")
}

// requireFlags returns a usage error if one of the flags is missing. The check of the cli package
// has no error type that exitCode could recognize.
func requireFlags(names ...string) cli.BeforeFunc {
	return func(c *cli.Context) error {
		for _, name := range names {
			if c.String(name) == "" {
				return &usageError{Detail: commandName(c) + ": --" + name + " is missing"}
			}
		}
		return nil
	}
}

// report writes the value as JSON if --output is json, and calls text otherwise.
func report(c *cli.Context, value any, text func(w io.Writer)) error {
	if c.String("output") != outputJSON {
		text(c.App.Writer)
		return nil
	}
	return writeJSON(c.App.Writer, value)
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printf writes to the terminal and ignores errors: a closed terminal does not fail the command.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

func printLine(w io.Writer, values ...any) { _, _ = fmt.Fprintln(w, values...) }

// writeFile creates a file with the output of write; it does nothing if name is empty.
func writeFile(name string, write func(w io.Writer) error) error {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return &usageError{Detail: err.Error()}
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return errors.Wrapf(err, "write %s", name)
	}
	return errors.Wrapf(file.Close(), "close %s", name)
}
