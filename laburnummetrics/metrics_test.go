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

// eventuallyTimeout is far above the period in which metrics are reported.
const eventuallyTimeout = 20 * time.Second

func text(m *laburnummetrics.Metrics) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	return w.Body.String()
}

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

// Two parts use one name with different labels: the second metric can't be shown,
// and the reporter's default would end the process in the middle of traffic.
func TestConflictingLabelsDoNotPanic(t *testing.T) {
	metrics := laburnummetrics.New()
	metrics.Scope().Counter("kebab-name").Inc(3)
	require.NotPanics(t, func() { metrics.Scope().Tagged(map[string]string{"zone": "brest"}).Counter("kebab-name").Inc(1) })
	require.NoError(t, metrics.Close())
	require.Contains(t, text(metrics), "laburnumlever_kebab_name 3\n")
}

// Monitoring that keeps only the start of an answer showed an incident's first responders
// the garbage collector and not one counter of the parts: the runtime's came first.
func TestOwnMetricsPrecedeRuntimeMetrics(t *testing.T) {
	metrics := laburnummetrics.New()
	defer metrics.Close()
	metrics.Scope().Gauge("losses_borne").Update(1)
	require.Eventually(t, func() bool { return strings.Contains(text(metrics), "losses_borne 1") }, eventuallyTimeout, time.Millisecond)
	shown := text(metrics)
	require.Contains(t, shown, "go_goroutines")
	require.Less(t, strings.LastIndex(shown, "laburnumlever_"), strings.Index(shown, "go_"))
}
