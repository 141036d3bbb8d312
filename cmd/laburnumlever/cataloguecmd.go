package main

import (
	"github.com/urfave/cli/v2"
)

func catalogueCommand() *cli.Command {
	return &cli.Command{
		Name:  "catalogue",
		Usage: "check, compare, apply and read the catalogue",
		Subcommands: []*cli.Command{
			catalogueValidateCommand(),
			catalogueDiffCommand(),
			catalogueApplyCommand(),
			catalogueGetCommand(),
		},
	}
}
