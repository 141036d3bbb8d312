package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v2"

	"laburnumlever/laburnumsoak"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run a fault-injection soak test on a small platform of real processes",
		Description: "Starts control VMs, gateways and backend servers on loopback, injects faults in a sequence given by\n" +
			"a seed, and checks the guarantees of the system meanwhile. Logs of failed seeds are kept.\n\n" +
			"Example: laburnumlever soak --seed 1 --seeds 5 --length 15s\n" +
			"Example: laburnumlever soak --seed 1 --older /opt/laburnumlever-before/laburnumlever\n\n" + exitCodesText,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "how many seeds to run, one after the other"},
			&cli.DurationFlag{Name: "length", Value: 15 * time.Second, Usage: "how long to inject faults in each run"},
			&cli.BoolFlag{Name: "disks", Usage: "also inject disk faults into control VMs; Linux only"},
			&cli.IntFlag{Name: "gateways", Value: 2, Usage: fmt.Sprintf("how many gateways to run, up to %d", laburnumsoak.MaxGateways)},
			&cli.StringFlag{Name: "older", Usage: "the `PROGRAM` of an earlier build, from which VMs are started as well"},
			&cli.StringFlag{Name: "report", Usage: "write the result of each seed to this JSON `FILE`, to compare two programs"},
			&cli.StringFlag{Name: "folder", Usage: "`FOLDER` for logs; a temporary folder by default"},
		},
		OnUsageError: onUsageError,
		Action:       runSoak,
		Subcommands:  []*cli.Command{soakReturnsCommand()},
	}
}

func runSoak(c *cli.Context) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	root := c.String("folder")
	if root == "" {
		if root, err = os.MkdirTemp("", "laburnumlever-soak-"); err != nil {
			return err
		}
	}
	var reports []laburnumsoak.Report
	failed := 0
	for i := range c.Int("seeds") {
		seed := c.Uint64("seed") + uint64(i) //nolint:gosec // a count
		report, err := runSeed(c, laburnumsoak.Config{
			Program: program, Folder: filepath.Join(root, fmt.Sprintf("seed-%d", seed)), Seed: seed, Length: c.Duration("length"), Disks: c.Bool("disks"),
			Older: c.String("older"), Gateways: c.Int("gateways"),
		})
		if err != nil {
			return err
		}
		reports = append(reports, report)
		if len(report.Violations) > 0 {
			failed++
		}
	}
	if err := writeFile(c.String("report"), func(w io.Writer) error { return writeJSON(w, reports) }); err != nil {
		return err
	}
	if failed > 0 {
		return &soakFailedError{Seeds: failed, Folder: root}
	}
	return nil
}

// runSeed runs a seed and prints its result. Its logs are kept if there are violations.
func runSeed(c *cli.Context, cfg laburnumsoak.Config) (laburnumsoak.Report, error) {
	if err := os.MkdirAll(cfg.Folder, 0o700); err != nil {
		return laburnumsoak.Report{}, err
	}
	report, err := laburnumsoak.Run(c.Context, cfg)
	if err != nil {
		return report, err
	}
	printf(c.App.Writer, "seed %d: %d faults, %d requests, %d served, %d changes acknowledged, %d of %d broken streams taken up, %d violations\n",
		cfg.Seed, len(report.Faults), report.Sent, report.Served, report.Acknowledged, report.TakenUp, report.Broken, len(report.Violations))
	if len(report.Violations) == 0 {
		return report, os.RemoveAll(cfg.Folder)
	}
	for _, fault := range report.Faults {
		printf(c.App.Writer, "  fault %s\n", fault)
	}
	for _, violation := range report.Violations {
		printf(c.App.Writer, "  wrong: %s\n", violation)
	}
	return report, nil
}
