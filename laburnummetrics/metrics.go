// Package laburnummetrics provides components with a tally scope and exports its metrics
// in the Prometheus text format.
//
// Every process has one Metrics. Metric and label names are exported with underscores
// in place of hyphens, which the Prometheus format doesn't allow; label values are
// exported unchanged.
//
// # Usage
//
//	metrics := laburnummetrics.New()
//	defer metrics.Close()
//	part := laburnumrouter.New(laburnumrouter.WithScope(metrics.Scope()))
//	mux.Handle("/metrics", metrics.Handler())
package laburnummetrics

import (
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	dto "github.com/prometheus/client_model/go"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"laburnumlever"
)

const (
	prefix = "laburnumlever"
	// reportInterval is the interval between reports to /metrics. A second is well below
	// usual scrape intervals, and iterating over all counters once a second costs
	// little.
	reportInterval = time.Second
)

// Metrics holds the metrics of one process.
type Metrics struct {
	logger   log.Logger
	registry *prom.Registry
	runtime  *prom.Registry // metrics of the Go runtime and of the operating-system process
	reporter prometheus.Reporter
	scope    tally.Scope
	closer   io.Closer
}

// Option configures a Metrics.
type Option func(*Metrics)

// WithLogger sets the logger for metrics that cannot be registered, such as one name
// with two sets of labels; the default discards everything.
func WithLogger(logger log.Logger) Option {
	return func(m *Metrics) { m.logger = logger }
}

// New returns a Metrics that reports until Close.
func New(opts ...Option) *Metrics {
	m := &Metrics{logger: log.NewNopLogger(), registry: prom.NewRegistry(), runtime: prom.NewRegistry()}
	for _, opt := range opts {
		opt(m)
	}
	m.runtime.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.reporter = prometheus.NewReporter(prometheus.Options{
		Registerer:      m.registry,
		OnRegisterError: m.logRegisterError,
	})
	sanitize := prometheus.DefaultSanitizerOpts
	// Prometheus allows any text in label values; keep kebab-case values and addresses.
	sanitize.ValueCharacters = tally.ValidCharacters{Characters: []rune{'-', '.', '/', ':'}, Ranges: tally.AlphanumericRange}
	m.scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Separator:              prometheus.DefaultSeparator,
		CachedReporter:         m.reporter,
		SanitizeOptions:        &sanitize,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	m.declareReasons()
	return m
}

// declareReasons creates the counter of each refusal and retry reason at 0. An alert on
// a rate needs the counter before the first event, and a missing counter would not tell
// a reason that never occurred from one that is not counted.
func (m *Metrics) declareReasons() {
	for _, reason := range laburnumlever.RefusalReasonStrings() {
		m.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(0)
	}
	for _, reason := range laburnumlever.RetryReasonStrings() {
		m.scope.Tagged(map[string]string{"reason": reason}).Counter("retries").Inc(0)
	}
}

// logRegisterError logs a conflict of metric names. The reporter's default handler would
// panic; here only the conflicting metric is lost.
func (m *Metrics) logRegisterError(err error) {
	_ = level.Error(m.logger).Log("msg", "cannot register metric", "err", err)
}

// Scope returns the root scope for the components' metrics.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler serves all metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(prom.GathererFunc(m.gather), promhttp.HandlerOpts{})
}

// gather returns the components' metrics before those of the runtime: some monitoring
// systems keep only the first few kilobytes of a response, which the runtime's metrics
// alone would fill.
func (m *Metrics) gather() ([]*dto.MetricFamily, error) {
	own, err := m.registry.Gather()
	if err != nil {
		return own, err
	}
	process, err := m.runtime.Gather()
	return append(own, process...), err
}

// Close reports pending values and stops the reports.
func (m *Metrics) Close() error { return m.closer.Close() }
