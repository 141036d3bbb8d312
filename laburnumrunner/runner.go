package laburnumrunner

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumlogging"
	"laburnumlever/laburnummetrics"
	"laburnumlever/laburnumroles"
	"laburnumlever/laburnumsettings"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
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

// Runner holds what a VM needs to run: settings, logger and options.
type Runner struct {
	settings laburnumsettings.RoleSettings
	logger   *laburnumlogging.Logger
	// path is the settings file, text its content when it was last read.
	path    string
	text    []byte
	options []laburnumroles.Option
}

// New reads the settings file at path, and logs to w. Errors: *laburnumlever.SettingsInvalidError and those of the file.
func New(path string, w io.Writer) (*Runner, error) {
	settings, err := laburnumsettings.LoadRoleSettings(path)
	if err != nil {
		return nil, err
	}
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMB) * megabyte))
	}
	metrics := laburnummetrics.New()
	logger, err := laburnumlogging.New(w, settings.Log.Level, laburnumlogging.WithScope(metrics.Scope()))
	if err != nil {
		return nil, err
	}
	named := log.With(logger, "vm", settings.Name)
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &Runner{settings: settings, logger: logger, path: path, text: text, options: []laburnumroles.Option{
		laburnumroles.WithLogger(named), laburnumroles.WithMetrics(metrics),
	}}, nil
}

// Settings returns the settings as they were read at the start.
func (r *Runner) Settings() laburnumsettings.RoleSettings { return r.settings }

// Options returns the options of the VM.
func (r *Runner) Options() []laburnumroles.Option { return r.options }

// Run reloads the settings on SIGHUP and when the file has changed until ctx ends, and then calls shutdown with the grace as its
// deadline.
func (r *Runner) Run(ctx context.Context, reload func(laburnumsettings.RoleSettings), shutdown func(ctx context.Context)) {
	r.watchSettings(ctx, reload)
	<-ctx.Done()
	grace := time.Duration(graceShare * float64(r.settings.Times.Grace))
	bounded, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	shutdown(bounded)
	r.logger.Close()
}

// RunGateway runs a gateway until ctx ends. ready makes the handler of the load balancer's readiness check. Errors:
// *laburnumlever.ListenError.
func (r *Runner) RunGateway(ctx context.Context, dialect laburnumlever.Dialect, ready func(ready func() bool) http.Handler) error {
	gateway := laburnumroles.NewGateway(r.settings, dialect, r.options...)
	if err := gateway.Start(ready); err != nil {
		return err
	}
	r.Run(ctx, gateway.Reload, gateway.Shutdown)
	return nil
}

func (r *Runner) watchSettings(ctx context.Context, reload func(laburnumsettings.RoleSettings)) {
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
			r.reloadIfChanged(reload)
		}
	}()
}

// reloadIfChanged logs and ignores an invalid file.
func (r *Runner) reloadIfChanged(reload func(laburnumsettings.RoleSettings)) {
	text, err := os.ReadFile(r.path)
	if err != nil || bytes.Equal(text, r.text) {
		return // a file that is being replaced is read at the next poll
	}
	r.text = text
	settings, err := laburnumsettings.LoadRoleSettings(r.path)
	if err != nil {
		_ = level.Error(r.logger).Log("event", laburnumlever.EventSettingsRefused, "cause", err)
		return
	}
	if err := r.logger.SetLevel(settings.Log.Level); err != nil {
		_ = level.Error(r.logger).Log("event", laburnumlever.EventSettingsRefused, "cause", err)
		return
	}
	reload(settings)
}
