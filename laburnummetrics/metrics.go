// Package laburnummetrics gives the parts a tally scope and shows what they
// counted as Prometheus text.
//
// Every process has one Metrics. Names and labels are written with underscores,
// since the Prometheus format allows no hyphens; a hyphen in a name is replaced,
// label values stay as they are.
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
	// reportInterval is how far /metrics may lag behind what was counted. A second is
	// well below any usual scrape interval, and the walk over all counters
	// costs little at that rate.
	reportInterval = time.Second
)

// Metrics holds all that one process counts.
type Metrics struct {
	logger   log.Logger
	registry *prom.Registry
	runtime  *prom.Registry // what the language's runtime and the kernel tell of the process
	reporter prometheus.Reporter
	scope    tally.Scope
	closer   io.Closer
}

// Option changes a Metrics while it is built.
type Option func(*Metrics)

// WithLogger logs metrics that cannot be shown, such as one name with two sets
// of labels.
func WithLogger(logger log.Logger) Option {
	return func(m *Metrics) { m.logger = logger }
}

// New returns an empty Metrics; Close ends it.
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
	// Label values are ours and any text is valid there: kebab-case names stay whole.
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

// declareReasons makes a counter for each reason of a refusal or a retry, at 0:
// an alert on a rate needs the counter before the first event, and a reason that has
// never occurred would otherwise look like one that is not counted.
func (m *Metrics) declareReasons() {
	for _, reason := range laburnumlever.RefusalReasonStrings() {
		m.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(0)
	}
	for _, reason := range laburnumlever.RetryReasonStrings() {
		m.scope.Tagged(map[string]string{"reason": reason}).Counter("retries").Inc(0)
	}
}

// logRegisterError keeps a clash of metric names from ending the process, which
// is what the reporter does by default: the metric is lost, the traffic goes on.
func (m *Metrics) logRegisterError(err error) {
	_ = level.Error(m.logger).Log("msg", "metric cannot be shown", "err", err)
}

// Scope is the root scope that parts count in.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler shows everything in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(prom.GathererFunc(m.gather), promhttp.HandlerOpts{})
}

// gather puts what the parts counted first: some monitoring keeps only the first few
// kilobytes of an answer, and the runtime's metrics alone fill them.
func (m *Metrics) gather() ([]*dto.MetricFamily, error) {
	own, err := m.registry.Gather()
	if err != nil {
		return own, err
	}
	process, err := m.runtime.Gather()
	return append(own, process...), err
}

// Close reports what is still pending and ends the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
