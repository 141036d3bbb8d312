package laburnummetrics_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnummetrics"
)

// eventuallyTimeout bounds the wait for a report; it is far above the report interval.
const eventuallyTimeout = 20 * time.Second

func text(m *laburnummetrics.Metrics) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	return w.Body.String()
}

// Guards against a reason whose counter is missing until its first event.
func TestReasonCountersStartAtZero(t *testing.T) {
	metrics := laburnummetrics.New()
	defer metrics.Close()
	for _, reason := range laburnumlever.RefusalReasonStrings() {
		require.Contains(t, text(metrics), fmt.Sprintf("laburnumlever_refusals{reason=%q} 0\n", reason))
	}
	for _, reason := range laburnumlever.RetryReasonStrings() {
		require.Contains(t, text(metrics), fmt.Sprintf("laburnumlever_retries{reason=%q} 0\n", reason))
	}
}

// Guards against a process that panics because two components use one metric name with different labels.
func TestConflictingLabelsDoNotPanic(t *testing.T) {
	metrics := laburnummetrics.New()
	metrics.Scope().Counter("kebab-name").Inc(3)
	require.NotPanics(t, func() { metrics.Scope().Tagged(map[string]string{"zone": "brest"}).Counter("kebab-name").Inc(1) })
	require.NoError(t, metrics.Close())
	require.Contains(t, text(metrics), "laburnumlever_kebab_name 3\n")
}

// Guards against monitoring that truncates the response and shows runtime metrics but none of the components' own.
func TestOwnMetricsPrecedeRuntimeMetrics(t *testing.T) {
	metrics := laburnummetrics.New()
	defer metrics.Close()
	metrics.Scope().Gauge("losses_borne").Update(1)
	require.Eventually(t, func() bool { return strings.Contains(text(metrics), "losses_borne 1") }, eventuallyTimeout, time.Millisecond)
	shown := text(metrics)
	require.Contains(t, shown, "go_goroutines")
	require.Less(t, strings.LastIndex(shown, "laburnumlever_"), strings.Index(shown, "go_"))
}
