package main

import (
	"github.com/urfave/cli/v2"

	"laburnumlever/laburnumroles"
	"laburnumlever/laburnumrunner"
	"laburnumlever/platform"
	"laburnumlever/platform/laburnumcontrolapi"
)

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run a gateway VM of a platform",
		Description: "Serves callers according to the operators' routes and stores nothing. SIGTERM shuts it down\n" +
			"gracefully within the grace of the settings. The program laburnumgateway is this command alone, and starts faster.\n\n" +
			"Example: laburnumlever gateway --settings gateway.jsonc\n\n" + exitCodesText,
		Flags:        []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "the settings `FILE`"}},
		OnUsageError: onUsageError,
		Before:       requireFlags("settings"),
		Action:       runGateway,
	}
}

func controlCommand() *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "run a control VM of a platform",
		Description: "Stores the routes, receives the heartbeats of backend servers and the changes of operators,\n" +
			"and sends orders to engines. SIGTERM shuts it down gracefully.\n\n" +
			"Example: laburnumlever control --settings control.jsonc\n\n" + exitCodesText,
		Flags:        []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "the settings `FILE`"}},
		OnUsageError: onUsageError,
		Before:       requireFlags("settings"),
		Action:       runControl,
	}
}

func runGateway(c *cli.Context) error {
	runner, err := laburnumrunner.New(c.String("settings"), c.App.Writer)
	if err != nil {
		return err
	}
	return runner.RunGateway(c.Context, platform.Dialect{}, platform.NewReadyHandler)
}

func runControl(c *cli.Context) error {
	runner, err := laburnumrunner.New(c.String("settings"), c.App.Writer)
	if err != nil {
		return err
	}
	control, err := laburnumroles.NewControl(runner.Settings(), platform.NewEngines(), platform.DecodeManifest, runner.Options()...)
	if err != nil {
		return err
	}
	handler, err := laburnumcontrolapi.NewHandler(control, laburnumcontrolapi.WithForeign(control.HeartbeatRefused), laburnumcontrolapi.WithRefused(control.RoutesRefused), laburnumcontrolapi.WithIntake(control.Intake()))
	if err != nil {
		return err
	}
	if err := control.Start(handler); err != nil {
		return err
	}
	runner.Run(c.Context, control.Reload, control.Shutdown)
	return nil
}
