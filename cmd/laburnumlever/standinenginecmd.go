package main

import (
	"strconv"
	"strings"

	"github.com/urfave/cli/v2"

	"laburnumlever"
	"laburnumlever/laburnumstandin"
)

const defaultAccelerator = "a0=24576"

func standInEngineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run a stand-in model engine",
		Description: "Its answers are a function of the prompt, so that a caller can check them.\n" +
			"GET /violations lists the orders that exceeded its memory.\n\n" +
			"Example: laburnumlever stand-in engine --id e1 --zone rennes-a --registry 127.0.0.1:8082\n\n" + exitCodesText,
		Flags: append(backendFlags(),
			&cli.StringSliceFlag{Name: "accelerator", Value: cli.NewStringSlice(defaultAccelerator), Usage: "`ID=MIB` of memory; may be repeated"},
			&cli.Float64Flag{Name: "prefill-rate", Value: defaultPrefillRate, Usage: "prompt tokens per second"},
			&cli.Float64Flag{Name: "token-rate", Value: defaultTokenRate, Usage: "generated tokens per second"},
			&cli.BoolFlag{Name: "checks-fencing", Usage: "refuse orders with a stale fencing number"},
			&cli.BoolFlag{Name: "can-resume", Usage: "resume broken streams"},
			&cli.StringFlag{Name: "weight-store", Usage: "`ADDRESS` of the weight store"},
			&cli.DurationFlag{Name: "load-time", Usage: "how long a load takes in addition to the weight store's time"},
		),
		OnUsageError: onUsageError,
		Before:       requireFlags("id", "zone"),
		Action:       runEngine,
	}
}

func runEngine(c *cli.Context) error {
	accelerators, err := parseAccelerators(c.StringSlice("accelerator"))
	if err != nil {
		return err
	}
	ln, err := listen(c.Context, c.String("listen"))
	if err != nil {
		return err
	}
	announcement := announcementOf(c, ln.Addr().String())
	announcement.Accelerators = accelerators
	announcement.PrefillTokensPerSecond = c.Float64("prefill-rate")
	announcement.TokensPerSecond = c.Float64("token-rate")
	announcement.ChecksFencing = c.Bool("checks-fencing")
	announcement.CanResume = c.Bool("can-resume")
	opts := append(backendOptions(c), laburnumstandin.WithLoadTime(c.Duration("load-time")))
	if store := c.String("weight-store"); store != "" {
		opts = append(opts, laburnumstandin.WithWeightStore(store))
	}
	return serveBackend(c, ln, laburnumstandin.NewEngine(announcement, opts...), "engine")
}

func parseAccelerators(specs []string) ([]laburnumlever.Accelerator, error) {
	accelerators := make([]laburnumlever.Accelerator, len(specs))
	for i, spec := range specs {
		id, size, found := strings.Cut(spec, "=")
		mib, err := strconv.Atoi(size)
		if !found || err != nil || mib <= 0 || id == "" {
			return nil, &usageError{Detail: "--accelerator " + spec + ": want an id and MiB, such as a0=24576"}
		}
		accelerators[i] = laburnumlever.Accelerator{ID: laburnumlever.AcceleratorID(id), MemoryMiB: mib}
	}
	return accelerators, nil
}
