package laburnumnode

import (
	"github.com/go-kit/log"

	"laburnumlever"
	"laburnumlever/laburnummetrics"
)

// Option changes a new node.
type Option func(*Node)

// WithLogger sets where the node and its parts log.
func WithLogger(logger log.Logger) Option {
	return func(n *Node) { n.logger = logger }
}

// WithLevel sets how the log level is changed at run time.
func WithLevel(set func(level string) error) Option {
	return func(n *Node) { n.setLevel = set }
}

// WithMetrics sets the metrics that the node counts into and serves.
func WithMetrics(metrics *laburnummetrics.Metrics) Option {
	return func(n *Node) { n.metrics = metrics }
}

// WithTimers sets the timer service; the default is the machine's clock.
func WithTimers(timers laburnumlever.Timers) Option {
	return func(n *Node) { n.timers = timers }
}
