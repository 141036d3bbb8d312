package laburnumchart_test

import (
	"testing"

	"laburnumlever/laburnumchart"

	"github.com/stretchr/testify/require"
)

func TestAttemptChart(t *testing.T) {
	chart, err := laburnumchart.Load("attempt")
	require.NoError(t, err)
	state, err := chart.Next(chart.Initial(), "write-started")
	require.NoError(t, err)
	require.Equal(t, "sent", state)
	var none *laburnumchart.NoTransitionError
	state, err = chart.Next(state, "gave-up")
	require.ErrorAs(t, err, &none)
	require.Equal(t, "sent", state)
	require.True(t, chart.Final("unknown"))
}

func TestBadCharts(t *testing.T) {
	for name, text := range map[string]string{
		"not JSON":          `{`,
		"no initial state":  `{"initial": "a", "states": {}}`,
		"missing target":    `{"initial": "a", "states": {"a": {"on": {"x": "b"}}}}`,
		"unreachable state": `{"initial": "a", "states": {"a": {}, "b": {}}}`,
	} {
		t.Run(name, func(t *testing.T) {
			var bad *laburnumchart.InvalidChartError
			_, err := laburnumchart.Parse("test", []byte(text))
			require.ErrorAs(t, err, &bad)
		})
	}
}
