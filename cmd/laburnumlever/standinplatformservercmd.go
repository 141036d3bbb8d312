package main

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v2"

	"laburnumlever/laburnumstandin"
)

func standInPlatformServerCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform-server",
		Usage: "run a stand-in backend server of a platform",
		Description: "It announces itself to control VMs, answers every request, and is a model engine if it holds models.\n\n" +
			"Example: laburnumlever stand-in platform-server --id i-1 --service quotes --model m0 --control 127.0.0.2:8080\n\n" + exitCodesText,
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "id", Usage: "instance `ID` of the backend server, a new one for each start"},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of its service"},
			&cli.StringSliceFlag{Name: "model", Usage: "`NAME` of a model that it holds; may be repeated"},
			&cli.StringSliceFlag{Name: "control", Usage: "`ADDRESS` of a control VM; may be repeated"},
			&cli.StringFlag{Name: "announce", Usage: "`ADDRESS` that it announces, if it differs from the listen address, as behind a link"},
			&cli.DurationFlag{Name: "announce-period", Value: time.Second, Usage: "how often it announces itself"},
			&cli.StringFlag{Name: "software", Usage: "software `VERSION` that it announces and names in the events of streams"},
			&cli.DurationFlag{Name: "event-pause", Usage: "time between two events of a stream, and between the halves of a plain answer"},
			&cli.IntFlag{Name: "break-after", Usage: "break off each stream after this number of `EVENTS`; 0 for never"},
			&cli.Float64Flag{Name: "spoil-share", Usage: "spoil this `SHARE` of the answers, 0 to 1, as a faulty server does"},
			&cli.StringSliceFlag{Name: "spoil", Usage: "a `FORM` in which answers are spoiled; may be repeated, all by default"},
			&cli.Uint64Flag{Name: "spoil-seed", Usage: "which answers are spoiled, and how"},
			&cli.BoolFlag{Name: "print-runs", Usage: "print a line with the id of each request that runs, whose begun answer is cut or whose answer is spoiled, and with each VM that sends more than the server asked for"},
			&cli.DurationFlag{Name: "delay", Usage: "delay before the start of each answer"},
			&cli.IntFlag{Name: "max-pace", Usage: "name load and pace in answers, and take up to this many `PERCENT` of the usual time, as on a machine shared with others; 0 for neither"},
			&cli.IntFlag{Name: "slots", Usage: "how many requests run at once; 0 for any number"},
			&cli.IntFlag{Name: "queue", Usage: "how many requests wait for a slot; more are rejected"},
			&cli.StringSliceFlag{Name: "crash-part", Usage: "exit in the same way at each request with this `PART` in its prompt, other than as the last one; may be repeated"},
			&cli.StringFlag{Name: "crash-text", Usage: "exit at each request whose body contains this `TEXT`, once it has begun to run"},
		},
		OnUsageError: onUsageError,
		Before:       requireFlags("id", "service"),
		Action: func(c *cli.Context) error {
			ln, err := listen(c.Context, c.String("listen"))
			if err != nil {
				return err
			}
			behaviour := laburnumstandin.PlatformBehaviour{
				AbortStreamAfter: c.Int("break-after"), Delay: c.Duration("delay"), Software: c.String("software"), EventPause: c.Duration("event-pause"), MaxPace: c.Int("max-pace"),
				Slots: c.Int("slots"), Queue: c.Int("queue"), CrashText: c.String("crash-text"), CrashParts: c.StringSlice("crash-part"), Crash: func() { os.Exit(exitFailure) },
			}
			if behaviour.Spoiling, err = spoilingOf(c); err != nil {
				return err
			}
			if c.Bool("print-runs") {
				behaviour.OnRun = func(run laburnumstandin.PlatformRun) { printRun(c.App.Writer, run) }
				behaviour.OnCut = func(id string) { printf(c.App.Writer, "cut %s\n", id) }
				behaviour.OnSpoil = func(id string, kind laburnumstandin.Spoil) { printf(c.App.Writer, "spoiled %s %s\n", id, kind) }
				behaviour.OnBroken = func(vm, text string) { printf(c.App.Writer, "broken %s %s\n", vm, text) }
			}
			address := c.String("announce")
			if address == "" {
				address = ln.Addr().String()
			}
			server := laburnumstandin.NewPlatformServer(c.String("id"), c.String("service"), address,
				c.StringSlice("control"), c.StringSlice("model"), behaviour)
			return serveBackend(c, ln, platformBackend{Handler: server, server: server, period: c.Duration("announce-period")}, "platform-server")
		},
	}
}

// spoilingOf reads how the server spoils answers.
func spoilingOf(c *cli.Context) (laburnumstandin.Spoiling, error) {
	spoiling := laburnumstandin.Spoiling{Seed: c.Uint64("spoil-seed"), Share: c.Float64("spoil-share"), Kinds: laburnumstandin.SpoilValues()}
	if names := c.StringSlice("spoil"); len(names) > 0 {
		spoiling.Kinds = nil
		for _, name := range names {
			kind, err := laburnumstandin.SpoilString(name)
			if err != nil {
				return spoiling, onUsageError(c, err, false)
			}
			spoiling.Kinds = append(spoiling.Kinds, kind)
		}
	}
	return spoiling, nil
}

// platformBackend adapts a PlatformServer to the backend interface.
type platformBackend struct {
	http.Handler
	server *laburnumstandin.PlatformServer
	period time.Duration
}

func (b platformBackend) Start() { b.server.Start(b.period) }
func (b platformBackend) Leave() { b.server.Leave() }
func (b platformBackend) Close() { b.server.Close() }

// printRun prints the id of a request, its client account if it has one, and that its key was passed on.
func printRun(w io.Writer, run laburnumstandin.PlatformRun) {
	line := "ran " + run.ID
	if run.Account != "" {
		line += " " + run.Account
	}
	if run.Key != "" {
		line += " with its key"
	}
	printf(w, "%s\n", line)
}
