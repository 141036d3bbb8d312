package main

import (
	"github.com/urfave/cli/v2"

	"laburnumlever"
	"laburnumlever/laburnumstandin"
)

func standInServiceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "run a stand-in plain service",
		Description: "It answers every call with a sequence number and the body of the request.\n" +
			"GET /ledger lists the calls that ran.\n\n" +
			"Example: laburnumlever stand-in service --id b1 --zone rennes-a --service booking --registry 127.0.0.1:8082\n\n" + exitCodesText,
		Flags: append(backendFlags(),
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service in the catalogue"},
			&cli.DurationFlag{Name: "call-time", Usage: "how long each call takes"},
		),
		OnUsageError: onUsageError,
		Before:       requireFlags("id", "zone", "service"),
		Action: func(c *cli.Context) error {
			ln, err := listen(c.Context, c.String("listen"))
			if err != nil {
				return err
			}
			announcement := announcementOf(c, ln.Addr().String())
			announcement.Service = laburnumlever.ServiceName(c.String("service"))
			opts := append(backendOptions(c), laburnumstandin.WithLoadTime(c.Duration("call-time")))
			return serveBackend(c, ln, laburnumstandin.NewService(announcement, opts...), "service")
		},
	}
}
