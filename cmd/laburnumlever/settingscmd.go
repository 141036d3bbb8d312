package main

import (
	"io"

	"github.com/urfave/cli/v2"

	"laburnumlever/laburnumsettings"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:        "settings",
		Usage:       "check and describe settings files",
		Subcommands: []*cli.Command{settingsCheckCommand(), settingsReferenceCommand()},
	}
}

func settingsCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings file and list all faults",
		ArgsUsage: "FILE",
		Description: "Prints the settings with their defaults filled in.\n\n" +
			"Example: laburnumlever settings check rennes-a-1.jsonc\n\n" + exitCodesText,
		Flags:        []cli.Flag{outputFlag()},
		OnUsageError: onUsageError,
		Action: func(c *cli.Context) error {
			file, err := oneArgument(c, "FILE")
			if err != nil {
				return err
			}
			settings, err := laburnumsettings.Load(file)
			if err != nil {
				return err
			}
			return report(c, settings, func(w io.Writer) {
				printf(w, "%s: valid settings of VM %s in availability zone %s\n", file, settings.VM, settings.Zone)
			})
		},
	}
}

func settingsReferenceCommand() *cli.Command {
	return &cli.Command{
		Name:  "reference",
		Usage: "list all keys of settings and catalogue files",
		Description: "One line per key: its name, the type of its value, and whether it is required.\n\n" +
			"Example: laburnumlever settings reference\n\n" + exitCodesText,
		Flags:        []cli.Flag{outputFlag()},
		OnUsageError: onUsageError,
		Action: func(c *cli.Context) error {
			reference := laburnumsettings.Reference()
			return report(c, reference, func(w io.Writer) {
				for _, key := range reference {
					printLine(w, key)
				}
			})
		},
	}
}
