package main

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/urfave/cli/v2"

	"laburnumlever/laburnummetrics"
	"laburnumlever/laburnumnode"
	"laburnumlever/laburnumsettings"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry VM",
		Description: "Prints a line that starts with ready once all listeners accept connections; /readyz\n" +
			"reports whether the VM is ready to serve. SIGTERM or an interrupt shuts it down\n" +
			"gracefully: the readiness check fails, after the grace of the settings new requests are\n" +
			"refused, and requests in flight finish. A second signal terminates it immediately.\n\n" +
			"Example: laburnumlever serve --settings rennes-a-1.jsonc\n\n" + exitCodesText,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the settings `FILE`"},
		},
		OnUsageError: onUsageError,
		Before:       requireFlags("settings"),
		Action:       runServe,
	}
}

func runServe(c *cli.Context) error {
	settings, err := laburnumsettings.Load(c.String("settings"))
	if err != nil {
		return err
	}
	logger, err := newLevelLogger(c.App.ErrWriter, settings.Log.Level)
	if err != nil {
		return err
	}
	named := log.With(logger, "vm", settings.VM)
	metrics := laburnummetrics.New(laburnummetrics.WithLogger(named))
	node, err := laburnumnode.New(settings,
		laburnumnode.WithLogger(named), laburnumnode.WithLevel(logger.set), laburnumnode.WithMetrics(metrics))
	if err != nil {
		return err
	}
	if err := node.Start(); err != nil {
		return err
	}
	listen := node.Addresses()
	printf(c.App.Writer, "ready vm=%s callers=%s operators=%s backends=%s peers=%s\n",
		settings.VM, listen.Callers, listen.Operators, listen.Backends, listen.Peers)
	<-c.Done()
	return errors.CombineErrors(node.Shutdown(context.WithoutCancel(c.Context)), metrics.Close())
}
