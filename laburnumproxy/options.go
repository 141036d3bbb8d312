package laburnumproxy

import (
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

// Defaults of the options.
const (
	// DefaultMaxBody, in bytes, is large enough for room photos in a request.
	DefaultMaxBody = 16 << 20
	// DefaultStallTimeout is how long a request may make no progress on either side.
	DefaultStallTimeout = 30 * time.Second
	// DefaultRequestTimeout is the longest time that a request may take in total.
	DefaultRequestTimeout = 30 * time.Minute
)

type settings struct {
	logger         log.Logger
	scope          tally.Scope
	maxBody        int64
	stallTimeout   time.Duration
	requestTimeout time.Duration
	seed           uint64
}

// Option configures a Proxy.
type Option func(*settings)

func newSettings(opts []Option) settings {
	cfg := settings{
		logger: log.NewNopLogger(), scope: tally.NoopScope,
		maxBody: DefaultMaxBody, stallTimeout: DefaultStallTimeout, requestTimeout: DefaultRequestTimeout, seed: 1,
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	return cfg
}

// WithLogger sets the logger for refusals, mismatched responses and outcomes that could not
// be recorded.
func WithLogger(logger log.Logger) Option { return func(cfg *settings) { cfg.logger = logger } }

// WithScope sets the scope of the metrics on requests, refusals and retries.
func WithScope(scope tally.Scope) Option { return func(cfg *settings) { cfg.scope = scope } }

// WithMaxBody bounds the size of a request's body, in bytes.
func WithMaxBody(n int64) Option { return func(cfg *settings) { cfg.maxBody = n } }

// WithStallTimeout bounds how long a request may make no progress: no byte from the
// caller, from the backend server, or accepted by the caller.
func WithStallTimeout(d time.Duration) Option { return func(cfg *settings) { cfg.stallTimeout = d } }

// WithRequestTimeout bounds the total time of a request.
func WithRequestTimeout(d time.Duration) Option {
	return func(cfg *settings) { cfg.requestTimeout = d }
}

// WithSeed seeds the random choices, so that a test is repeatable.
func WithSeed(seed uint64) Option { return func(cfg *settings) { cfg.seed = seed } }
