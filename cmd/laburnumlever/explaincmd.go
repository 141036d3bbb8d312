package main

import (
	"context"
	"io"

	"github.com/urfave/cli/v2"

	"laburnumlever"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "say why a model is where it is, or what became of a request",
		Subcommands: []*cli.Command{explainModelCommand(), explainRequestCommand()},
	}
}

func explainModelCommand() *cli.Command {
	return &cli.Command{
		Name:      "model",
		Usage:     "say why a model is where it is",
		ArgsUsage: "NAME",
		Description: "Best asked of a VM in the availability zone in question: its zone owner decides there.\n\n" +
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
		Usage:     "say what became of a request",
		ArgsUsage: "ID",
		Description: "The id is the answer's X-Request-Id header. Ask the VM that took the request.\n\n" +
			"Example: laburnumlever explain request 5f0c9a6e\n\n" + exitCodesText,
		Flags:        []cli.Flag{vmFlag(), timeoutFlag(), outputFlag()},
		OnUsageError: onUsageError,
		Action: func(c *cli.Context) error {
			id, err := oneArgument(c, "ID")
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context, c.Duration("timeout"))
			defer cancel()
			explanation, err := clientOf(c).ExplainRequest(ctx, id)
			return reportExplanation(c, explanation, err)
		},
	}
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
