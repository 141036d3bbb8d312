package main

import (
	"context"

	"github.com/urfave/cli/v2"
)

func logLevelCommand() *cli.Command {
	return &cli.Command{
		Name:      "log-level",
		Usage:     "change the log level of a running VM",
		ArgsUsage: "debug|info|warn|error",
		Description: "The level applies until the VM restarts; the initial level is in the settings file.\n\n" +
			"Example: laburnumlever log-level --vm 10.0.1.7:8081 debug\n\n" + exitCodesText,
		Flags:        []cli.Flag{vmFlag(), timeoutFlag()},
		OnUsageError: onUsageError,
		Action: func(c *cli.Context) error {
			level, err := oneArgument(c, "LEVEL")
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context, c.Duration("timeout"))
			defer cancel()
			if err := clientOf(c).SetLogLevel(ctx, level); err != nil {
				return err
			}
			printLine(c.App.Writer, "log level is", level)
			return nil
		},
	}
}
