package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"laburnumlever"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v2"

	"laburnumlever/laburnumlogging"
	"laburnumlever/laburnummetrics"
	"laburnumlever/laburnumroles"
	"laburnumlever/laburnumsettings"
	"laburnumlever/platform"
	"laburnumlever/platform/laburnumcontrolapi"
)

const (
	// memoryShare is the share of the VM's memory that is set as the memory limit of the Go
	// runtime; the rest is for socket buffers and the program itself.
	memoryShare = 0.6
	megabyte    = 1 << 20
	// graceShare is the share of the shutdown grace that is used; the rest allows for late
	// timers.
	graceShare = 0.92
	// settingsPollInterval is how often the settings file is read: a few hundred bytes cost
	// nothing, and a change of the seeds is not urgent.
	settingsPollInterval = 2 * time.Second
)

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run a gateway VM of a platform",
		Description: "Serves callers according to the operators' routes and stores nothing. SIGTERM shuts it down\n" +
			"gracefully within the grace of the settings.\n\n" +
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

// roleRuntime holds what both roles need to run: settings, logger and options.
type roleRuntime struct {
	settings laburnumsettings.RoleSettings
	logger   *laburnumlogging.Logger
	// path is the settings file, text its content when it was last read.
	path    string
	text    []byte
	options []laburnumroles.Option
}

func newRoleRuntime(c *cli.Context) (*roleRuntime, error) {
	settings, err := laburnumsettings.LoadRoleSettings(c.String("settings"))
	if err != nil {
		return nil, err
	}
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMB) * megabyte))
	}
	metrics := laburnummetrics.New()
	logger, err := laburnumlogging.New(c.App.Writer, settings.Log.Level, laburnumlogging.WithScope(metrics.Scope()))
	if err != nil {
		return nil, err
	}
	named := log.With(logger, "vm", settings.Name)
	text, err := os.ReadFile(c.String("settings"))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &roleRuntime{settings: settings, logger: logger, path: c.String("settings"), text: text, options: []laburnumroles.Option{
		laburnumroles.WithLogger(named), laburnumroles.WithMetrics(metrics),
	}}, nil
}

// shutdownWithinGrace calls shutdown with the grace as its deadline and closes the logger.
func (p *roleRuntime) shutdownWithinGrace(shutdown func(ctx context.Context)) {
	grace := time.Duration(graceShare * float64(p.settings.Times.Grace))
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	shutdown(ctx)
	p.logger.Close()
}

// watchSettings reloads the settings on SIGHUP and when the file has changed, until ctx ends. An
// invalid file is logged and ignored.
func (p *roleRuntime) watchSettings(ctx context.Context, reload func(laburnumsettings.RoleSettings)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-signals:
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			p.reloadIfChanged(reload)
		}
	}()
}

func (p *roleRuntime) reloadIfChanged(reload func(laburnumsettings.RoleSettings)) {
	text, err := os.ReadFile(p.path)
	if err != nil || bytes.Equal(text, p.text) {
		return // a file that is being replaced is read at the next poll
	}
	p.text = text
	settings, err := laburnumsettings.LoadRoleSettings(p.path)
	if err != nil {
		_ = level.Error(p.logger).Log("event", laburnumlever.EventSettingsRefused, "cause", err)
		return
	}
	if err := p.logger.SetLevel(settings.Log.Level); err != nil {
		_ = level.Error(p.logger).Log("event", laburnumlever.EventSettingsRefused, "cause", err)
		return
	}
	reload(settings)
}

func runGateway(c *cli.Context) error {
	role, err := newRoleRuntime(c)
	if err != nil {
		return err
	}
	gateway := laburnumroles.NewGateway(role.settings, platform.Dialect{}, role.options...)
	if err := gateway.Start(platform.NewReadyHandler); err != nil {
		return err
	}
	role.watchSettings(c.Context, gateway.Reload)
	<-c.Done()
	role.shutdownWithinGrace(gateway.Shutdown)
	return nil
}

func runControl(c *cli.Context) error {
	role, err := newRoleRuntime(c)
	if err != nil {
		return err
	}
	control, err := laburnumroles.NewControl(role.settings, platform.NewEngines(), platform.DecodeManifest, role.options...)
	if err != nil {
		return err
	}
	handler, err := laburnumcontrolapi.NewHandler(control, laburnumcontrolapi.WithForeign(control.HeartbeatRefused), laburnumcontrolapi.WithRefused(control.RoutesRefused))
	if err != nil {
		return err
	}
	if err := control.Start(handler); err != nil {
		return err
	}
	role.watchSettings(c.Context, control.Reload)
	<-c.Done()
	role.shutdownWithinGrace(control.Shutdown)
	return nil
}
