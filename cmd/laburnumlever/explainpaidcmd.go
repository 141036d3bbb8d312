package main

import (
	"io"
	"time"

	"github.com/urfave/cli/v2"

	"laburnumlever/laburnumexplain"
)

const (
	// defaultPaidWindow is the time window of explain paid.
	defaultPaidWindow = time.Second
	// defaultPayers is the number of rows per window.
	defaultPayers = 8
)

func explainPaidCommand() *cli.Command {
	return &cli.Command{
		Name:  "paid",
		Usage: "explain who paid where room was short",
		Description: "Joins the logs of gateways. Shows for each second which client account, route, zone and VM had\n" +
			"requests refused, late or failed, and by which decision. No VM is asked.\n\n" +
			"Example: laburnumlever explain paid --logs gateway-1.log --logs gateway-2.log --window 1s\n\n" + exitCodesText,
		Flags: []cli.Flag{
			logsFlag(),
			&cli.DurationFlag{Name: "window", Value: defaultPaidWindow, Usage: "the time window of a group of rows"},
			&cli.IntFlag{Name: "most", Value: defaultPayers, Usage: "how many rows to list per window"},
		},
		OnUsageError: onUsageError,
		Action:       explainPaid,
	}
}

func explainPaid(c *cli.Context) error {
	files := c.StringSlice("logs")
	if len(files) == 0 || c.Duration("window") <= 0 {
		return &usageError{Detail: "--logs names at least one file, and --window is longer than 0"}
	}
	var reader laburnumexplain.PaidReader
	for _, name := range files {
		err := withLog(c, name, func(in io.Reader) error {
			_, err := reader.Read(in)
			return err
		})
		if err != nil {
			return err
		}
	}
	return reader.WriteText(c.App.Writer, c.Duration("window"), c.Int("most"))
}
