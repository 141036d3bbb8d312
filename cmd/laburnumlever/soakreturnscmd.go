package main

import (
	"cmp"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v2"

	"laburnumlever/laburnumsoak"
)

func soakReturnsCommand() *cli.Command {
	return &cli.Command{
		Name:  "returns",
		Usage: "have all VMs of a larger platform fail together and return, and time the stages of each return",
		Description: "Starts eight control VMs, gateways and engines on loopback, and has VMs fail together and return, with disks\n" +
			"lost or VMs replaced. The stages of each return are read from the VMs' logs. The kind most-connections sends most\n" +
			"new connections to one gateway, in turn, without a fault.\n\n" +
			"Example: laburnumlever soak returns --seed 1 --returns 4\n\n" + exitCodesText,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "determines the faults"},
			&cli.IntFlag{Name: "returns", Value: 4, Usage: "how many returns to play, one after the other"},
			&cli.IntFlag{Name: "gateways", Value: 16, Usage: "how many gateways to run"},
			&cli.IntFlag{Name: "engines", Value: 60, Usage: "how many engines to run, in this process"},
			&cli.IntFlag{Name: "models", Value: 104, Usage: "how many models the manifest lists"},
			&cli.DurationFlag{Name: "event-pause", Value: 5 * time.Millisecond, Usage: "the time between two of the four events of a stream"},
			&cli.IntFlag{Name: "connections", Value: 570, Usage: "how many connections an engine accepts"},
			&cli.IntFlag{Name: "idle-routes", Value: 40, Usage: "how many routes without requests the manifest has"},
			&cli.Float64Flag{Name: "rate", Value: 200, Usage: "requests per second"},
			&cli.IntFlag{Name: "processors", Value: 1, Usage: "how many processors each VM uses at a time"},
			&cli.IntFlag{Name: "shared-processors", Usage: "how many processors all VMs share, which nothing else of the run uses; 0 for all; Linux only"},
			&cli.Float64Flag{Name: "control-share", Usage: "share of a processor that a control VM has; 0 for all"},
			&cli.Float64Flag{Name: "gateway-share", Usage: "the same of a gateway"},
			&cli.BoolFlag{Name: "dark", Usage: "have connections to VMs without power hang instead of being refused"},
			&cli.DurationFlag{Name: "sync-time", Usage: "what each sync of a control VM's disk takes longer; Linux only"},
			&cli.StringSliceFlag{Name: "kind", Usage: "`NAME` of a fault, in turn instead of at random; may be repeated"},
			&cli.DurationFlag{Name: "recover", Value: 15 * time.Second, Usage: "time after which a quarter has to be served"},
			&cli.DurationFlag{Name: "observe", Value: 18 * time.Second, Usage: "how long each return is observed"},
			&cli.StringFlag{Name: "program", Usage: "the `PROGRAM` that the VMs run; this one by default"},
			&cli.StringFlag{Name: "gateway-program", Usage: "the laburnumgateway `PROGRAM` for gateways; that of the other VMs by default"},
			&cli.StringFlag{Name: "report", Usage: "write the result to this JSON `FILE`"},
			&cli.StringFlag{Name: "folder", Usage: "`FOLDER` for logs; a temporary folder by default"},
		},
		OnUsageError: onUsageError,
		Action:       runSoakReturns,
	}
}

func runSoakReturns(c *cli.Context) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	program = cmp.Or(c.String("program"), program)
	folder := c.String("folder")
	if folder == "" {
		if folder, err = os.MkdirTemp("", "laburnumlever-returns-"); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	reports, err := laburnumsoak.RunReturns(c.Context, laburnumsoak.ReturnsConfig{
		Program: program, GatewayProgram: c.String("gateway-program"), Folder: folder, Seed: c.Uint64("seed"), Gateways: c.Int("gateways"), Engines: c.Int("engines"), Models: c.Int("models"),
		Rate: c.Float64("rate"), Returns: c.Int("returns"), Kinds: c.StringSlice("kind"), Processors: c.Int("processors"), SharedProcessors: c.Int("shared-processors"),
		EventPause: c.Duration("event-pause"), Connections: c.Int("connections"), IdleRoutes: c.Int("idle-routes"), Dark: c.Bool("dark"), SyncTime: c.Duration("sync-time"),
		ControlShare: c.Float64("control-share"), GatewayShare: c.Float64("gateway-share"), Recover: c.Duration("recover"), Observe: c.Duration("observe"),
		Print: func(line string) { printf(c.App.Writer, "%s\n", line) },
	})
	if err != nil {
		return err
	}
	failed := 0
	for _, r := range reports {
		if len(r.Violations) > 0 {
			failed++
		}
	}
	if err := writeFile(c.String("report"), func(w io.Writer) error { return writeJSON(w, reports) }); err != nil {
		return err
	}
	if failed > 0 {
		return &soakFailedError{Seeds: failed, Folder: folder}
	}
	return nil
}
