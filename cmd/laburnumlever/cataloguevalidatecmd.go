package main

import (
	"io"

	"github.com/urfave/cli/v2"

	"laburnumlever/laburnumsettings"
)

func catalogueValidateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check a catalogue file or directory and list all faults",
		ArgsUsage: "FILE-OR-DIRECTORY",
		Description: "Works without a VM. To check whether the catalogue fits the fleet, use apply --dry-run.\n\n" +
			"Example: laburnumlever catalogue validate catalogue/\n\n" + exitCodesText,
		Flags:        []cli.Flag{outputFlag()},
		OnUsageError: onUsageError,
		Action: func(c *cli.Context) error {
			path, err := oneArgument(c, "FILE-OR-DIRECTORY")
			if err != nil {
				return err
			}
			catalogue, err := laburnumsettings.LoadCatalogue(path)
			if err != nil {
				return err
			}
			return report(c, catalogue, func(w io.Writer) {
				printf(w, "%s: valid catalogue of %s: %d owners, %d classes, %d models, %d services\n", path,
					catalogue.Deployment.Name, len(catalogue.Owners), len(catalogue.Classes), len(catalogue.Models), len(catalogue.Services))
			})
		},
	}
}
