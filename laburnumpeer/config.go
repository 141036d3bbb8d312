package laburnumpeer

import (
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

// The defaults. Times follow from the two seconds within which a silent cut is to
// be noticed: pingAfter + pingTimeout < 2 s.
const (
	defaultMaxFrame = 16 << 20
	defaultQueue    = 256
	// defaultDialTimeout is twice the longest way there and back between regions. The first
	// packet to a VM that is still dark is lost and sent again a second later: with a longer
	// timeout a VM that comes back is found a second late by all who were dialling it then.
	defaultDialTimeout = 300 * time.Millisecond
	// defaultHandshakeTimeout leaves a VM that starts the time for its keys.
	defaultHandshakeTimeout = time.Second
	defaultWriteTimeout     = 1500 * time.Millisecond
	defaultCallTimeout      = 10 * time.Second
	defaultIdleTimeout      = 30 * time.Second
	defaultMaxHandlers      = 512
	pingAfter               = 600 * time.Millisecond
	pingTimeout             = 1100 * time.Millisecond
	checkPeriod             = 200 * time.Millisecond
	minBackoff              = 50 * time.Millisecond
	maxBackoff              = 500 * time.Millisecond
)

type config struct {
	logger           log.Logger
	scope            tally.Scope
	maxFrame         int
	queue            int
	dialTimeout      time.Duration
	handshakeTimeout time.Duration
	writeTimeout     time.Duration
	callTimeout      time.Duration
	idleTimeout      time.Duration
	maxHandlers      int
	localIP          net.IP
	tls              *tlsFiles
}

// Option changes new peers.
type Option func(*config)

// WithLogger sets the log; without it nothing is logged.
func WithLogger(logger log.Logger) Option { return func(c *config) { c.logger = logger } }

// WithScope sets where counters go; without it they go nowhere.
func WithScope(scope tally.Scope) Option { return func(c *config) { c.scope = scope } }

// WithMaxFrame bounds a message's length in bytes, both sent and received.
func WithMaxFrame(n int) Option { return func(c *config) { c.maxFrame = n } }

// WithQueue bounds the notifications that wait for one link.
func WithQueue(n int) Option { return func(c *config) { c.queue = n } }

// WithCallTimeout bounds a call whose context has no deadline, and the time
// that a handler gets.
func WithCallTimeout(d time.Duration) Option { return func(c *config) { c.callTimeout = d } }

// WithIdleTimeout sets after how long without use a connection is closed.
func WithIdleTimeout(d time.Duration) Option { return func(c *config) { c.idleTimeout = d } }

// WithMaxHandlers bounds the calls from others that are worked on or held at once, and as many
// notifications beside them.
func WithMaxHandlers(n int) Option { return func(c *config) { c.maxHandlers = n } }

// WithLocalIP sets the IP number that connections to others are made from, so that
// a VM with several talks to its peers from the one it listens on.
func WithLocalIP(ip net.IP) Option { return func(c *config) { c.localIP = ip } }

func newConfig(opts []Option) config {
	cfg := config{
		logger:           log.NewNopLogger(),
		scope:            tally.NoopScope,
		maxFrame:         defaultMaxFrame,
		queue:            defaultQueue,
		dialTimeout:      defaultDialTimeout,
		handshakeTimeout: defaultHandshakeTimeout,
		writeTimeout:     defaultWriteTimeout,
		callTimeout:      defaultCallTimeout,
		idleTimeout:      defaultIdleTimeout,
		maxHandlers:      defaultMaxHandlers,
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	return cfg
}
