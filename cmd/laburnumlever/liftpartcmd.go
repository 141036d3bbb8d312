package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v2"

	"laburnumlever"
)

func liftPartCommand() *cli.Command {
	return &cli.Command{
		Name:      "lift-part",
		Usage:     "serve requests again that are refused for a part of their prompts",
		ArgsUsage: "SERVICE PART",
		Description: "Requests with a part under which backend servers have crashed are refused (`status` of a control VM lists the parts).\n" +
			"This has all control VMs serve them again. If they crash servers still, the part is refused after three more.\n\n" +
			"Example: laburnumlever lift-part --vm 10.0.1.7:9464 devis 5c1e07a2\n\n" + exitCodesText,
		Flags:        []cli.Flag{vmFlag(), timeoutFlag()},
		OnUsageError: onUsageError,
		Action: func(c *cli.Context) error {
			const arguments = 2
			if c.NArg() != arguments {
				return &usageError{Detail: fmt.Sprintf("%s: want two arguments, SERVICE and PART; have %d", commandName(c), c.NArg())}
			}
			lift := laburnumlever.PartLift{Service: laburnumlever.ServiceName(c.Args().Get(0))}
			if err := lift.Part.UnmarshalText([]byte(c.Args().Get(1))); err != nil {
				return &usageError{Detail: err.Error()}
			}
			ctx, cancel := context.WithTimeout(c.Context, c.Duration("timeout"))
			defer cancel()
			if err := clientOf(c).LiftPart(ctx, lift); err != nil {
				return err
			}
			printLine(c.App.Writer, "served again:", string(lift.Service), lift.Part.String())
			return nil
		},
	}
}
