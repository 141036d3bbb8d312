package main

import (
	"io"

	"github.com/urfave/cli/v2"

	"laburnumlever/laburnumsettings"
)

func catalogueDiffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what an apply would change in the fleet",
		ArgsUsage: "FILE-OR-DIRECTORY",
		Description: "Compares with the catalogue in effect on the VM, or with another file.\n\n" +
			"Example: laburnumlever catalogue diff --vm 10.0.1.7:8081 catalogue/\n\n" + exitCodesText,
		Flags: []cli.Flag{
			vmFlag(), timeoutFlag(), outputFlag(),
			&cli.StringFlag{Name: "from", Usage: "compare with this `FILE` or directory instead of a VM"},
		},
		OnUsageError: onUsageError,
		Action: func(c *cli.Context) error {
			path, err := oneArgument(c, "FILE-OR-DIRECTORY")
			if err != nil {
				return err
			}
			next, err := laburnumsettings.LoadCatalogue(path)
			if err != nil {
				return err
			}
			current, err := currentCatalogue(c)
			if err != nil {
				return err
			}
			changes := laburnumsettings.Diff(current, next)
			return report(c, changes, func(w io.Writer) {
				for _, change := range changes {
					printLine(w, change)
				}
				printf(w, "%d changes against revision %d\n", len(changes), current.Revision)
			})
		},
	}
}
