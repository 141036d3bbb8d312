package main

import (
	"context"
	"io"

	"github.com/urfave/cli/v2"

	"laburnumlever"
	"laburnumlever/laburnumsettings"
)

func catalogueGetCommand() *cli.Command {
	return &cli.Command{
		Name:  "get",
		Usage: "print the catalogue in effect on a VM",
		Description: "The output of --output json is a valid input of apply.\n\n" +
			"Example: laburnumlever catalogue get --vm 10.0.1.7:8081 --output json > catalogue.json\n\n" + exitCodesText,
		Flags:        []cli.Flag{vmFlag(), timeoutFlag(), outputFlag()},
		OnUsageError: onUsageError,
		Action: func(c *cli.Context) error {
			catalogue, err := currentCatalogue(c)
			if err != nil {
				return err
			}
			return report(c, catalogue, func(w io.Writer) { printCatalogue(w, catalogue) })
		},
	}
}

// currentCatalogue returns the catalogue in effect on the VM, or that of the --from file if the
// command has that flag.
func currentCatalogue(c *cli.Context) (laburnumlever.Catalogue, error) {
	if from := c.String("from"); from != "" {
		return laburnumsettings.LoadCatalogue(from)
	}
	ctx, cancel := context.WithTimeout(c.Context, c.Duration("timeout"))
	defer cancel()
	return clientOf(c).Catalogue(ctx)
}

func printCatalogue(w io.Writer, c laburnumlever.Catalogue) {
	printf(w, "revision %d of %s\n", c.Revision, c.Deployment.Name)
	for _, m := range c.Models {
		printf(w, "model %s %s: owner %s, class %s, %d MiB, %d adapters\n",
			m.Name, m.Version, m.Owner, m.Class, m.SizeMiB(), len(m.Adapters))
	}
	for _, s := range c.Services {
		printf(w, "service %s: owner %s, class %s, %d non-idempotent calls\n", s.Name, s.Owner, s.Class, len(s.NonIdempotent))
	}
}
