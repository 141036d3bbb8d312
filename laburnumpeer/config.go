package laburnumpeer

import (
	"net"
	"time"

	"laburnumlever/laburnumintake"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

// Defaults and fixed times. A partition that sends no RST must be detected within two seconds, hence
// pingAfter + pingTimeout < 2 s.
const (
	defaultMaxFrame = 16 << 20
	defaultQueue    = 256
	// defaultDialTimeout is twice the longest round trip between regions. A SYN to a VM that is
	// still down is lost and retransmitted after a second: with a longer timeout, every VM that
	// was dialling a recovering VM would connect to it a second late.
	defaultDialTimeout = 300 * time.Millisecond
	// defaultHandshakeTimeout allows for the key operations of a VM that is just starting.
	defaultHandshakeTimeout = time.Second
	defaultWriteTimeout     = 1500 * time.Millisecond
	defaultCallTimeout      = 10 * time.Second
	defaultIdleTimeout      = 30 * time.Second
	defaultMaxHandlers      = 512
	// pingAfter outlasts a long poll, which is answered within a second: each that is pinged costs twice as many messages.
	pingAfter   = 1200 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
	// maxSilenceDoublings bounds how often pingTimeout is doubled for a peer that is connected to anew after each silence.
	maxSilenceDoublings = 3
	checkPeriod         = 200 * time.Millisecond
	minBackoff          = 50 * time.Millisecond
	maxBackoff          = 500 * time.Millisecond
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
	intake           *laburnumintake.Intake
}

// Option configures new peers.
type Option func(*config)

// WithLogger sets the logger; the default discards all lines.
func WithLogger(logger log.Logger) Option { return func(c *config) { c.logger = logger } }

// WithScope sets the metrics scope of the counters; the default discards them.
func WithScope(scope tally.Scope) Option { return func(c *config) { c.scope = scope } }

// WithMaxFrame sets the maximum size of a message in bytes, sent or received.
func WithMaxFrame(n int) Option { return func(c *config) { c.maxFrame = n } }

// WithQueue sets the maximum number of queued notifications per link.
func WithQueue(n int) Option { return func(c *config) { c.queue = n } }

// WithCallTimeout sets the timeout of calls whose context has no deadline, and of handlers.
func WithCallTimeout(d time.Duration) Option { return func(c *config) { c.callTimeout = d } }

// WithIdleTimeout sets how long an outgoing connection may be unused before it is closed.
func WithIdleTimeout(d time.Duration) Option { return func(c *config) { c.idleTimeout = d } }

// WithMaxHandlers sets the maximum number of calls from other VMs that are handled at once, long polls
// included. The same limit applies separately to notifications.
func WithMaxHandlers(n int) Option { return func(c *config) { c.maxHandlers = n } }

// WithLocalIP sets the source address of outgoing connections, so that a VM with several addresses
// talks to its peers from the one that it listens on.
func WithLocalIP(ip net.IP) Option { return func(c *config) { c.localIP = ip } }

// WithIntake sets the intake that large messages of incoming connections are read through; without it they are bounded one by one only.
func WithIntake(in *laburnumintake.Intake) Option { return func(c *config) { c.intake = in } }

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
