package laburnumnode

import (
	"github.com/go-kit/log"

	"laburnumlever"
	"laburnumlever/laburnummetrics"
)

// Option configures a node.
type Option func(*Node)

// WithLogger sets the logger of the node and its components; the default discards
// everything.
func WithLogger(logger log.Logger) Option {
	return func(n *Node) { n.logger = logger }
}

// WithLevel sets the function that changes the log level at run time.
func WithLevel(set func(level string) error) Option {
	return func(n *Node) { n.setLevel = set }
}

// WithMetrics sets the metrics that the node records and serves.
func WithMetrics(metrics *laburnummetrics.Metrics) Option {
	return func(n *Node) { n.metrics = metrics }
}

// WithTimers sets the timer service; the default uses the machine's clock.
func WithTimers(timers laburnumlever.Timers) Option {
	return func(n *Node) { n.timers = timers }
}
