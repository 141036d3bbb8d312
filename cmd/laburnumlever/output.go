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

// defaultVM is the operators listener that settings have by default.
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

// oneArgument returns the only argument or a usage error that names it.
func oneArgument(c *cli.Context, name string) (string, error) {
	if c.NArg() != 1 {
		return "", &usageError{Detail: fmt.Sprintf("%s: want one argument, %s; have %d", commandName(c), name, c.NArg())}
	}
	return c.Args().First(), nil
}

// commandName is the command as it was typed, without the program.
func commandName(c *cli.Context) string {
	return strings.TrimPrefix(c.Command.HelpName, c.App.Name+" ")
}

// requireFlags refuses a command line without these flags as wrong usage; cli's
// own check has no type to tell its error by.
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

// report writes the value as JSON if that was asked for, else as text does.
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

// printf writes to the terminal; a terminal that is gone is no error of the command.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

func printLine(w io.Writer, values ...any) { _, _ = fmt.Fprintln(w, values...) }

// writeFile makes a file with what write writes; without a name it does nothing.
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
