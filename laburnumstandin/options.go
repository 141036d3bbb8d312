package laburnumstandin

import (
	"time"

	"laburnumlever"

	"github.com/go-kit/log"
)

// The periods and bounds of a stand-in that no option changes.
const (
	defaultAnnouncePeriod = time.Second
	defaultReportPeriod   = 500 * time.Millisecond
	defaultQueue          = 64
	sendTimeout           = 2 * time.Second
)

// Option changes a new stand-in. Options that a stand-in has no use for are
// ignored.
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
// listeners that the stand-in announces itself and reports to.
func WithRegistries(addresses []string) Option {
	return func(cfg *config) { cfg.registries = addresses }
}

// WithWeightStore sets the address of the weight store that loads are fetched
// from. Without it a load takes the load time alone.
func WithWeightStore(address string) Option {
	return func(cfg *config) { cfg.weightStore = address }
}

// WithLoadTime sets how long a load takes, beside the weight store's time.
func WithLoadTime(d time.Duration) Option {
	return func(cfg *config) { cfg.loadTime = d }
}

// WithTimers sets the timer service; without it the stand-in makes a real one.
func WithTimers(timers laburnumlever.Timers) Option {
	return func(cfg *config) { cfg.timers = timers }
}

// WithLogger sets where the stand-in logs; without it, nowhere.
func WithLogger(logger log.Logger) Option {
	return func(cfg *config) { cfg.logger = logger }
}

// WithPeriods sets how often the stand-in announces itself and reports its load.
func WithPeriods(announce, report time.Duration) Option {
	return func(cfg *config) {
		cfg.announcePeriod = announce
		cfg.reportPeriod = report
	}
}

// WithQueue sets how many requests may wait for a slot; more are answered 503
// as not run.
func WithQueue(n int) Option {
	return func(cfg *config) { cfg.queue = n }
}
