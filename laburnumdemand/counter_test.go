package laburnumdemand_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumdemand"
)

// Guards against demand that is counted only when answers end, and refused requests that count in full although retried.
func TestDemandIsCountedOnArrival(t *testing.T) {
	counter := laburnumdemand.NewCounter("gateway")
	start := time.Unix(1_000_000, 0)
	require.Empty(t, counter.Take(start, nil))
	r := laburnumdemand.Request{Model: "m1", PromptTokens: 700, AnswerTokens: 200}
	for range 4 {
		counter.Received(r)
	}
	rows := counter.Take(start.Add(time.Second), nil)
	require.Len(t, rows, 1)
	require.InDelta(t, 4, rows[0].RequestsPerSecond, 1e-9)
	require.InDelta(t, 2800, rows[0].PromptTokens, 1e-9)

	counter.Received(r)
	counter.Refused(r)
	rows = counter.Take(start.Add(2*time.Second), nil)
	require.InDelta(t, 0.5, rows[0].RequestsPerSecond, 1e-9, "the caller of a refused request retries and is counted again")
	require.InDelta(t, 1, rows[0].Refused, 1e-9)

	counter.Refused(r)
	rows = counter.Take(start.Add(3*time.Second), nil)
	require.Zero(t, rows[0].RequestsPerSecond, "the rate is not negative if a request is refused in the second after its arrival")
}
