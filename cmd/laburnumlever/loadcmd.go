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
		Usage: "generate load on a running system and check every answer as a caller would",
		Description: "The load is open-loop: requests arrive whether or not earlier ones are answered. The\n" +
			"callers' addresses are read from the VMs. With --fleet a whole fleet runs in this\n" +
			"process, for experiments whose events kill VMs or slow engines down. The exit code is 1\n" +
			"if a guarantee to callers was violated.\n\n" +
			"Example: laburnumlever load --fleet examples/armor-pose/fleet.jsonc \\\n" +
			"  --experiment examples/experiments/armor-pose-dawn-rush.jsonc\n\n" + exitCodesText,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "experiment", Usage: "the experiment's `FILE`"},
			&cli.StringSliceFlag{Name: "vm", Value: cli.NewStringSlice(defaultVM), Usage: "`ADDRESS` of a VM's operators listener; name all of them to count all moves"},
			&cli.StringFlag{Name: "fleet", Usage: "run the fleet of this `FILE` and generate the load on it"},
			&cli.DurationFlag{Name: "start-limit", Value: time.Minute, Usage: "how long a fleet may take until every model is loaded"},
			&cli.BoolFlag{Name: "verbose", Usage: "show the log of a fleet's VMs"},
			&cli.StringFlag{Name: "plot", Usage: "write a per-second plot of the run to this SVG `FILE`"},
			&cli.BoolFlag{Name: "quiet", Usage: "show no progress"},
			outputFlag(),
		},
		OnUsageError: onUsageError,
		Action:       runLoad,
		Subcommands:  []*cli.Command{loadCompareCommand()},
	}
}

func runLoad(c *cli.Context) error {
	// Not checked in Before, which would run for the subcommands too.
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
	opts = append(opts, laburnumload.WithEventHandler(fleet))
	result, err := laburnumload.NewRunner(fleet.OperatorsAddresses(), opts...).Run(c.Context, experiment)
	if violations := fleet.Violations(); violations > 0 {
		result.Broken = append(result.Broken, fmt.Sprintf("%d orders asked an accelerator for more memory than it has", violations))
	}
	return result, err
}

// startFleet starts a fleet and waits until every model has a ready copy.
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

// settleTime is how long the fleet must make no move before the load starts, so that moves of
// the start are not counted in the experiment.
const settleTime = 3 * time.Second

func cutsZones(experiment laburnumload.Experiment) bool {
	return slices.ContainsFunc(experiment.Events, func(e laburnumload.Event) bool {
		return e.Action == laburnumload.ActionCutZone
	})
}

// isTerminal reports whether f is a terminal; progress lines are not written to files.
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

// reportWriter is like report, for text functions that return an error.
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
		Usage:     "compare two reports",
		ArgsUsage: "A.json B.json",
		Description: "The files are outputs of load --output json.\n\n" +
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
