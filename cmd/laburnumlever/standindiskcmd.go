package main

import (
	"os"

	"github.com/urfave/cli/v2"

	"laburnumlever/laburnumdiskfault"
)

func standInDiskCommand() *cli.Command {
	return &cli.Command{
		Name:  "disk",
		Usage: "execute another laburnumlever command with disk faults injected by soak",
		Description: "Started by soak only, with a socket to it as file descriptor 3.\n\n" +
			"Example: laburnumlever stand-in disk -- control --settings control.jsonc\n\n" + exitCodesText,
		Hidden:       true,
		OnUsageError: onUsageError,
		Action:       runDisk,
	}
}

func runDisk(c *cli.Context) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	return laburnumdiskfault.Launch(program, append([]string{os.Args[0]}, c.Args().Slice()...))
}
