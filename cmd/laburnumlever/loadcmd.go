package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v2"

	"laburnumlever/laburnumfleet"

	"laburnumlever/laburnumload"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "put load on a running system and check every answer as a caller would",
		Description: "Requests arrive whether or not earlier ones are answered. The callers' addresses are\n" +
			"asked of the VMs; with --fleet a whole fleet is run in this process, for experiments\n" +
			"whose events end VMs or slow engines. The exit code is 1 if a promise to callers was\n" +
			"broken.\n\n" +
			"Example: laburnumlever load --fleet examples/armor-pose/fleet.jsonc \\\n" +
			"  --experiment examples/experiments/armor-pose-dawn-rush.jsonc\n\n" + exitCodesText,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "experiment", Usage: "the experiment's `FILE`"},
			&cli.StringSliceFlag{Name: "vm", Value: cli.NewStringSlice(defaultVM), Usage: "`ADDRESS` of a VM's operators listener; name all of them to count all moves"},
			&cli.StringFlag{Name: "fleet", Usage: "run the fleet of this `FILE` and put the load on it"},
			&cli.DurationFlag{Name: "start-limit", Value: time.Minute, Usage: "how long a fleet may take until every model is loaded"},
			&cli.BoolFlag{Name: "verbose", Usage: "show the log of a fleet's VMs"},
			&cli.StringFlag{Name: "plot", Usage: "draw the run second by second into this SVG `FILE`"},
			&cli.BoolFlag{Name: "quiet", Usage: "show no progress"},
			outputFlag(),
		},
		OnUsageError: onUsageError,
		Action:       runLoad,
		Subcommands:  []*cli.Command{loadCompareCommand()},
	}
}

func runLoad(c *cli.Context) error {
	// Not by Before, which would run for the subcommands too.
	if err := requireFlags("experiment")(c); err != nil {
		return err
	}
	experiment, err := laburnumload.Load(c.String("experiment"))
	if err != nil {
		return err
	}
	result, err := runExperiment(c, experiment)
	if err != nil {
		return err
	}
	if err := writePlot(c.String("plot"), result); err != nil {
		return err
	}
	if err := reportWriter(c, result, result.WriteText); err != nil {
		return err
	}
	return result.Err()
}

func runExperiment(c *cli.Context, experiment laburnumload.Experiment) (laburnumload.Report, error) {
	var opts []laburnumload.Option
	if !c.Bool("quiet") && isTerminal(os.Stderr) {
		opts = append(opts, laburnumload.WithProgress(c.App.ErrWriter))
	}
	if c.String("fleet") == "" {
		return laburnumload.NewRunner(c.StringSlice("vm"), opts...).Run(c.Context, experiment)
	}
	fleet, err := startFleet(c, cutsZones(experiment))
	if err != nil {
		return laburnumload.Report{}, err
	}
	defer fleet.Close()
	opts = append(opts, laburnumload.WithActor(fleet))
	result, err := laburnumload.NewRunner(fleet.Operators(), opts...).Run(c.Context, experiment)
	if violations := fleet.Violations(); violations > 0 {
		result.Broken = append(result.Broken, fmt.Sprintf("%d orders asked an accelerator for more memory than it has", violations))
	}
	return result, err
}

// startFleet runs a fleet until every model has a ready copy.
func startFleet(c *cli.Context, links bool) (*laburnumfleet.Fleet, error) {
	spec, catalogue, err := laburnumfleet.Load(c.String("fleet"))
	if err != nil {
		return nil, err
	}
	var opts []laburnumfleet.Option
	if c.Bool("verbose") {
		opts = append(opts, laburnumfleet.WithLogger(log.NewLogfmtLogger(log.NewSyncWriter(c.App.ErrWriter))))
	}
	if links {
		opts = append(opts, laburnumfleet.WithLinks())
	}
	fleet, err := laburnumfleet.Start(c.Context, spec, catalogue, opts...)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(c.Context, c.Duration("start-limit"))
	defer cancel()
	revision, err := fleet.Apply(ctx)
	if err == nil {
		err = fleet.AwaitLoaded(ctx, revision)
	}
	if err != nil {
		fleet.Close()
		return nil, err
	}
	fleet.AwaitSettled(ctx, settleTime)
	return fleet, nil
}

// settleTime is how long a fleet makes no move before the load begins, so that the
// start's moves do not count as the experiment's.
const settleTime = 3 * time.Second

func cutsZones(experiment laburnumload.Experiment) bool {
	return slices.ContainsFunc(experiment.Events, func(e laburnumload.Event) bool {
		return e.Action == laburnumload.ActionCutZone
	})
}

// isTerminal tells whether someone watches; a log needs no progress lines.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func writePlot(file string, result laburnumload.Report) error {
	if file == "" {
		return nil
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := result.WriteSVG(f); err != nil {
		return err
	}
	return f.Close()
}

// reportWriter is report for values whose text form can fail.
func reportWriter(c *cli.Context, value any, text func(w io.Writer) error) error {
	var err error
	jsonErr := report(c, value, func(w io.Writer) { err = text(w) })
	if jsonErr != nil {
		return jsonErr
	}
	return err
}

func loadCompareCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "put two reports side by side",
		ArgsUsage: "A.json B.json",
		Description: "The files are what load --output json printed.\n\n" +
			"Example: laburnumlever load compare before.json after.json\n\n" + exitCodesText,
		Flags:        []cli.Flag{outputFlag()},
		OnUsageError: onUsageError,
		Action: func(c *cli.Context) error {
			if c.NArg() != 2 {
				return &usageError{Detail: "load compare: want two files"}
			}
			a, err := laburnumload.ReadReport(c.Args().Get(0))
			if err != nil {
				return err
			}
			b, err := laburnumload.ReadReport(c.Args().Get(1))
			if err != nil {
				return err
			}
			comparison := laburnumload.Compare(a, b)
			return reportWriter(c, comparison, comparison.WriteText)
		},
	}
}
