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
		Description: "GET /stats tells how often its rate and its parallel loads were passed.\n\n" +
			"Example: laburnumlever stand-in weight-store --loads-per-second 3 --parallel-loads 10\n\n" + exitCodesText,
		Flags: []cli.Flag{
			listenFlag(),
			&cli.Float64Flag{Name: "loads-per-second", Value: 3, Usage: "how many loads begin a second at most"},
			&cli.IntFlag{Name: "parallel-loads", Value: 10, Usage: "how many loads it serves at once"},
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
