package main

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v2"

	"laburnumlever"
	"laburnumlever/laburnumexplain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "explain a model's placement, a request's outcome, or a day's lost requests",
		Subcommands: []*cli.Command{explainModelCommand(), explainRequestCommand(), explainDayCommand(), explainPaidCommand()},
	}
}

func explainModelCommand() *cli.Command {
	return &cli.Command{
		Name:      "model",
		Usage:     "explain where a model is placed and why",
		ArgsUsage: "NAME",
		Description: "Ask a VM in the availability zone in question: the owner of the zone decides placement there.\n\n" +
			"Example: laburnumlever explain model quote-small\n\n" + exitCodesText,
		Flags:        []cli.Flag{vmFlag(), timeoutFlag(), outputFlag()},
		OnUsageError: onUsageError,
		Action: func(c *cli.Context) error {
			name, err := oneArgument(c, "NAME")
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context, c.Duration("timeout"))
			defer cancel()
			explanation, err := clientOf(c).ExplainModel(ctx, laburnumlever.ModelName(name))
			return reportExplanation(c, explanation, err)
		},
	}
}

func explainRequestCommand() *cli.Command {
	return &cli.Command{
		Name:      "request",
		Usage:     "explain the outcome of a request",
		ArgsUsage: "ID",
		Description: "The id is the answer's X-Request-Id header. Ask the VM that received the request. For\n" +
			"gateways and control VMs pass their log files with --logs; no VM is asked then.\n\n" +
			"Example: laburnumlever explain request 5f0c9a6e\n" +
			"Example: laburnumlever explain request --logs gateway.log --logs control.log 9c41d07b\n\n" + exitCodesText,
		Flags: []cli.Flag{
			vmFlag(), timeoutFlag(), outputFlag(),
			logsFlag(),
		},
		OnUsageError: onUsageError,
		Action: func(c *cli.Context) error {
			id, err := oneArgument(c, "ID")
			if err != nil {
				return err
			}
			if files := c.StringSlice("logs"); len(files) > 0 {
				return explainFromLogs(c, id, files)
			}
			ctx, cancel := context.WithTimeout(c.Context, c.Duration("timeout"))
			defer cancel()
			explanation, err := clientOf(c).ExplainRequest(ctx, id)
			return reportExplanation(c, explanation, err)
		},
	}
}

// explainFromLogs explains a request from the lines about it in all logs.
func explainFromLogs(c *cli.Context, id string, files []string) error {
	lines, err := readLogs(c, files)
	if err != nil {
		return err
	}
	timeline, err := laburnumexplain.NewTimeline(id, lines)
	if err != nil {
		return err
	}
	return reportExplanation(c, laburnumlever.Explanation{Subject: "request " + id, Lines: timeline.Text()}, nil)
}

func logsFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "logs", Usage: "a log `FILE`, - for standard input; may be repeated"}
}

func readLogs(c *cli.Context, files []string) ([]laburnumexplain.Line, error) {
	var lines []laburnumexplain.Line
	for _, name := range files {
		more, err := readLog(c, name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

func readLog(c *cli.Context, name string) (lines []laburnumexplain.Line, err error) {
	err = withLog(c, name, func(in io.Reader) error {
		lines, _, err = laburnumexplain.Read(in)
		return err
	})
	return lines, err
}

// withLog calls read with a log file, or with standard input for -.
func withLog(c *cli.Context, name string, read func(in io.Reader) error) error {
	if name == "-" {
		return errors.Wrapf(read(c.App.Reader), "read %s", name)
	}
	file, err := os.Open(name)
	if err != nil {
		return &usageError{Detail: err.Error()}
	}
	defer func() { _ = file.Close() }() // read-only
	return errors.Wrapf(read(file), "read %s", name)
}

func reportExplanation(c *cli.Context, e laburnumlever.Explanation, err error) error {
	if err != nil {
		return err
	}
	return report(c, e, func(w io.Writer) {
		printLine(w, e.Subject)
		for _, line := range e.Lines {
			printLine(w, " ", line)
		}
	})
}
