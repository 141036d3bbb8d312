package laburnumproxy

import (
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

// The bounds that hold unless an option sets others.
const (
	// DefaultMaxBody is large enough for room photos in a request, in bytes.
	DefaultMaxBody = 16 << 20
	// DefaultStall is how long a request may make no progress, on either side.
	DefaultStall = 30 * time.Second
	// DefaultLimit is the longest that a request may take in all.
	DefaultLimit = 30 * time.Minute
)

type settings struct {
	logger         log.Logger
	scope          tally.Scope
	maxBody        int64
	stallTimeout   time.Duration
	requestTimeout time.Duration
	seed           uint64
}

// Option changes a Proxy under construction.
type Option func(*settings)

func newSettings(opts []Option) settings {
	cfg := settings{
		logger: log.NewNopLogger(), scope: tally.NoopScope,
		maxBody: DefaultMaxBody, stallTimeout: DefaultStall, requestTimeout: DefaultLimit, seed: 1,
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	return cfg
}

// WithLogger sets where refusals, retries and crossed answers are logged.
func WithLogger(logger log.Logger) Option { return func(cfg *settings) { cfg.logger = logger } }

// WithScope sets where requests, refusals and retries are counted.
func WithScope(scope tally.Scope) Option { return func(cfg *settings) { cfg.scope = scope } }

// WithMaxBody bounds a request's body, in bytes.
func WithMaxBody(n int64) Option { return func(cfg *settings) { cfg.maxBody = n } }

// WithStall bounds how long a request may make no progress: no byte from the
// caller, from the backend server, or taken by the caller.
func WithStall(d time.Duration) Option { return func(cfg *settings) { cfg.stallTimeout = d } }

// WithLimit bounds how long a request may take in all.
func WithLimit(d time.Duration) Option { return func(cfg *settings) { cfg.requestTimeout = d } }

// WithSeed seeds the random choices, so that a test repeats.
func WithSeed(seed uint64) Option { return func(cfg *settings) { cfg.seed = seed } }
