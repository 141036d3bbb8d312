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
)

const (
	// memoryShare of a VM's memory is what the runtime keeps its heap within; the
	// rest is for what is read and unread on sockets, and for the program.
	memoryShare = 0.6
	megabyte    = 1 << 20
	// graceShare of the time between the request to stop and the end of the
	// process is used; the rest is for a late timer.
	graceShare = 0.92
	// settingsPollInterval is how often the settings file is looked at: reading a few hundred
	// bytes costs nothing, and other seeds are not urgent.
	settingsPollInterval = 2 * time.Second
)

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run a gateway VM of a platform",
		Description: "Serves callers by the operators' routes; keeps nothing. SIGTERM ends it in good order\n" +
			"within the settings' grace.\n\n" +
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
		Description: "Keeps the routes, hears the backend servers and the operators, gives the orders to\n" +
			"engines. SIGTERM ends it in good order.\n\n" +
			"Example: laburnumlever control --settings control.jsonc\n\n" + exitCodesText,
		Flags:        []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "the settings `FILE`"}},
		OnUsageError: onUsageError,
		Before:       requireFlags("settings"),
		Action:       runControl,
	}
}

// watchSettings are what both roles are made of.
type watchSettings struct {
	settings laburnumsettings.Role
	logger   *laburnumlogging.Logger
	// path and text are the settings file and what it held last.
	path    string
	text    []byte
	options []laburnumroles.Option
}

func newRoleRuntime(c *cli.Context) (*watchSettings, error) {
	settings, err := laburnumsettings.LoadRole(c.String("settings"))
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
	return &watchSettings{settings: settings, logger: logger, path: c.String("settings"), text: text, options: []laburnumroles.Option{
		laburnumroles.WithLogger(named), laburnumroles.WithMetrics(metrics),
	}}, nil
}

// graceful runs the end of a process within its grace.
func (p *watchSettings) graceful(shutdown func(ctx context.Context)) {
	grace := time.Duration(graceShare * float64(p.settings.Times.Grace))
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	shutdown(ctx)
	p.logger.Close()
}

// watch reloads the settings when a signal says that they have changed, and when the
// file has changed without one, until ctx ends. A file with a fault changes nothing.
func (p *watchSettings) watch(ctx context.Context, reload func(laburnumsettings.Role)) {
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

func (p *watchSettings) reloadIfChanged(reload func(laburnumsettings.Role)) {
	text, err := os.ReadFile(p.path)
	if err != nil || bytes.Equal(text, p.text) {
		return // a file that is just being replaced is read the next time
	}
	p.text = text
	settings, err := laburnumsettings.LoadRole(p.path)
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
	parts, err := newRoleRuntime(c)
	if err != nil {
		return err
	}
	gateway := laburnumroles.NewGateway(parts.settings, platform.Dialect{}, parts.options...)
	if err := gateway.Start(platform.NewReadyHandler); err != nil {
		return err
	}
	parts.watch(c.Context, gateway.Reload)
	<-c.Done()
	parts.graceful(gateway.Shutdown)
	return nil
}

func runControl(c *cli.Context) error {
	parts, err := newRoleRuntime(c)
	if err != nil {
		return err
	}
	control, err := laburnumroles.NewControl(parts.settings, platform.NewEngines(), parts.options...)
	if err != nil {
		return err
	}
	handler, err := platform.NewHandler(control)
	if err != nil {
		return err
	}
	if err := control.Start(handler); err != nil {
		return err
	}
	parts.watch(c.Context, control.Reload)
	<-c.Done()
	parts.graceful(control.Shutdown)
	return nil
}
