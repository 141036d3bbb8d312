package main

import (
	"time"

	"github.com/urfave/cli/v2"

	"laburnumlever/laburnumstandin"
)

func standInWeightStoreCommand() *cli.Command {
	return &cli.Command{
		Name:  "weight-store",
		Usage: "run a stand-in weight store",
		Description: "GET /stats counts how often the limits on its rate and its parallel loads were exceeded.\n\n" +
			"Example: laburnumlever stand-in weight-store --loads-per-second 3 --parallel-loads 10\n\n" + exitCodesText,
		Flags: []cli.Flag{
			listenFlag(),
			&cli.Float64Flag{Name: "loads-per-second", Value: 3, Usage: "maximum number of loads that start per second"},
			&cli.IntFlag{Name: "parallel-loads", Value: 10, Usage: "maximum number of parallel loads"},
			&cli.DurationFlag{Name: "load-time", Value: 100 * time.Millisecond, Usage: "how long one load takes"},
		},
		OnUsageError: onUsageError,
		Action: func(c *cli.Context) error {
			ln, err := listen(c.Context, c.String("listen"))
			if err != nil {
				return err
			}
			store := laburnumstandin.NewWeightStore(c.Float64("loads-per-second"), c.Int("parallel-loads"),
				laburnumstandin.WithLoadTime(c.Duration("load-time")))
			printf(c.App.Writer, "ready weight-store address=%s\n", ln.Addr())
			return serveHandler(c.Context, ln, store)
		},
	}
}
