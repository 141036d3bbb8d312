package main

import (
	"context"
	_ "embed" // for the sample catalogue
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v2"

	"laburnumlever/laburnumfleet"
	"laburnumlever/laburnumsettings"
)

// quickstartTimeout limits the start, which takes less than a second; it is generous to allow for
// a busy machine.
const quickstartTimeout = time.Minute

//go:embed quickstart.jsonc
var quickstartCatalogue []byte

// quickstartSpec has one VM, two engines and one plain service.
var quickstartSpec = laburnumfleet.Spec{
	VMs: []laburnumfleet.VMSpec{{VM: "vannes-1", Zone: "vannes", Disk: true}},
	Engines: []laburnumfleet.EngineSpec{{
		Name: "engine", Zone: "vannes", Count: 2, AcceleratorsMiB: []int{24576}, Slots: defaultSlots,
		PrefillTokensPerSecond: defaultPrefillRate, TokensPerSecond: defaultTokenRate, ChecksFencing: true, CanResume: true,
	}},
	Services: []laburnumfleet.ServiceSpec{{Service: "booking", Zone: "vannes", Count: 1, Slots: defaultSlots}},
}

func quickstartCommand() *cli.Command {
	return &cli.Command{
		Name:  "quickstart",
		Usage: "try the system: run one VM with stand-in engines and a plain service",
		Description: "Needs no settings. Prints ready and a command to try. With --once it runs a short\n" +
			"session, checks each step, and exits with 0 only if every step succeeded.\n\n" +
			"Example: laburnumlever quickstart --listen 127.0.0.1:8080\n\n" + exitCodesText,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8080", Usage: "`ADDRESS` for callers; the default with --once is a free port"},
			&cli.BoolFlag{Name: "once", Usage: "run a short session and exit"},
			&cli.BoolFlag{Name: "verbose", Usage: "show the VM's log"},
		},
		OnUsageError: onUsageError,
		Action:       runQuickstart,
	}
}

func runQuickstart(c *cli.Context) error {
	catalogue, err := laburnumsettings.ParseCatalogue("quickstart.jsonc", quickstartCatalogue)
	if err != nil {
		return err
	}
	address := c.String("listen")
	if c.Bool("once") && !c.IsSet("listen") {
		address = anyPort
	}
	opts := []laburnumfleet.Option{laburnumfleet.WithCallersAddress(address)}
	if c.Bool("verbose") {
		opts = append(opts, laburnumfleet.WithLogger(log.NewLogfmtLogger(log.NewSyncWriter(c.App.ErrWriter))))
	}
	fleet, err := laburnumfleet.Start(c.Context, quickstartSpec, catalogue, opts...)
	if err != nil {
		return err
	}
	defer fleet.Close()
	ctx, cancel := context.WithTimeout(c.Context, quickstartTimeout)
	defer cancel()
	if c.Bool("once") {
		return runSession(ctx, c.App.Writer, fleet)
	}
	return serveUntilInterrupted(ctx, c, fleet)
}

func serveUntilInterrupted(ctx context.Context, c *cli.Context, fleet *laburnumfleet.Fleet) error {
	revision, err := fleet.Apply(ctx)
	if err != nil {
		return err
	}
	if err := fleet.AwaitLoaded(ctx, revision); err != nil {
		return err
	}
	callers := fleet.CallersAddresses()[0]
	printf(c.App.Writer, "ready callers=%s operators=%s\n", callers, fleet.OperatorsAddresses()[0])
	printf(c.App.Writer, `try: curl -N http://%s/v1/chat/completions -d '{"model": "quote-small", "stream": true, "messages": [{"role": "user", "content": "oak parquet, 20 square metres"}]}'`+"\n", callers)
	<-c.Done()
	return nil
}
