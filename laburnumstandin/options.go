package laburnumstandin

import (
	"time"

	"laburnumlever"

	"github.com/go-kit/log"
)

// Defaults of the options, and the timeout of one message to a registry.
const (
	defaultAnnouncePeriod = time.Second
	defaultReportPeriod   = 500 * time.Millisecond
	defaultQueue          = 64
	sendTimeout           = 2 * time.Second
)

// Option configures a stand-in. A stand-in ignores options that do not apply to it.
type Option func(*config)

type config struct {
	timers         laburnumlever.Timers
	logger         log.Logger
	registries     []string
	weightStore    string
	loadTime       time.Duration
	announcePeriod time.Duration
	reportPeriod   time.Duration
	queue          int
}

func newConfig(opts []Option) config {
	cfg := config{
		logger:         log.NewNopLogger(),
		announcePeriod: defaultAnnouncePeriod,
		reportPeriod:   defaultReportPeriod,
		queue:          defaultQueue,
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	return cfg
}

// WithRegistries sets the addresses (IP and port) of the entry VMs' backends
// listeners, to which the stand-in sends its announcements and load reports.
func WithRegistries(addresses []string) Option {
	return func(cfg *config) { cfg.registries = addresses }
}

// WithWeightStore sets the address of the weight store that engines fetch weights
// from. Without it, a load takes only the load time.
func WithWeightStore(address string) Option {
	return func(cfg *config) { cfg.weightStore = address }
}

// WithLoadTime sets how long a load takes, in addition to the fetch from the weight
// store; for a plain service, how long a call takes.
func WithLoadTime(d time.Duration) Option {
	return func(cfg *config) { cfg.loadTime = d }
}

// WithTimers sets the timer service; the default runs on the system clock.
func WithTimers(timers laburnumlever.Timers) Option {
	return func(cfg *config) { cfg.timers = timers }
}

// WithLogger sets the logger; the default discards all log lines.
func WithLogger(logger log.Logger) Option {
	return func(cfg *config) { cfg.logger = logger }
}

// WithPeriods sets the periods of the announcements and of the load reports.
func WithPeriods(announce, report time.Duration) Option {
	return func(cfg *config) {
		cfg.announcePeriod = announce
		cfg.reportPeriod = report
	}
}

// WithQueue sets how many requests may be queued for a slot; further requests are
// refused with status 503 and the outcome not-run.
func WithQueue(n int) Option {
	return func(cfg *config) { cfg.queue = n }
}
