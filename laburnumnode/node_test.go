package laburnumnode_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
)

type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Guards against requests that fail, or keyed ones that run twice, on their way through the whole process.
func TestEndToEnd(t *testing.T) {
	f := newFleet(t, 3)
	f.applyWhenEnginesKnown(0)
	for i := range f.nodes {
		f.waitServing(i)
		got := f.post(i, "/v1/completions", completion{Model: "quote-small", Prompt: "oak floor, 20 m2", MaxTokens: 5, Stream: true}, nil)
		require.Equal(t, 200, got.status, got.body)
		require.Contains(t, got.body, "data: [DONE]")
		require.Equal(t, 5, strings.Count(got.body, "-"+promptHash(got.body)), got.body)
	}
	first := f.post(0, "/services/booking/visits", completion{Prompt: "Tuesday"}, map[string]string{"Idempotency-Key": "k1"})
	again := f.post(1, "/services/booking/visits", completion{Prompt: "Tuesday"}, map[string]string{"Idempotency-Key": "k1"})
	require.Equal(t, 200, first.status, first.body)
	require.Equal(t, first.body, again.body)
	require.Len(t, f.service.Ledger(), 1)
	for _, engine := range f.engines {
		require.Empty(t, engine.Violations())
	}
}

// promptHash returns the hash of the prompt in the stand-in engine's first token.
func promptHash(body string) string {
	_, after, _ := strings.Cut(body, "t0-")
	return after[:min(8, len(after))]
}

// Guards against a resent change that is applied twice or rejected, and against a change on top of an outdated revision.
func TestApplyResendAndConflict(t *testing.T) {
	f := newFleet(t, 1)
	f.applyWhenEnginesKnown(0)
	again, err := f.apply(0, "change-1", 0)
	require.NoError(t, err)
	require.True(t, again.Repeated)
	_, err = f.apply(0, "change-2", 0)
	require.ErrorContains(t, err, "the current one is 1")
}

// Guards against a shutdown that cuts off a stream in flight.
func TestShutdownFinishesStreams(t *testing.T) {
	f := newFleet(t, 1)
	f.applyWhenEnginesKnown(0)
	f.waitServing(0)
	got := make(chan answer)
	go func() {
		defer close(got)
		got <- f.post(0, "/v1/completions", completion{Model: "quote-small", Prompt: "long", MaxTokens: 4000, Stream: true}, nil)
	}()
	eventually(t, "stream in flight", func() bool { return f.nodes[0].InFlight() == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	require.NoError(t, f.nodes[0].Shutdown(ctx))
	require.Contains(t, (<-got).body, "data: [DONE]")
}

// Guards against a stopped VM that gets calls, and holds its zone's lease, until probes to it fail.
func TestShutdownIsSeenAsLeft(t *testing.T) {
	f := newFleet(t, 3)
	f.applyWhenEnginesKnown(0)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	require.NoError(t, f.nodes[2].Shutdown(ctx))
	// Without the announcement it would become suspect and down, never left.
	for _, node := range f.nodes[:2] {
		eventually(t, "VM seen as left", func() bool {
			return slices.ContainsFunc(node.Status().View.VMs, func(vm laburnumlever.VM) bool {
				return vm.ID == vmName(2) && vm.State == laburnumlever.VMLeft
			})
		})
	}
}
