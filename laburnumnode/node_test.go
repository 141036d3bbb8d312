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

// An operator applies a catalogue through one VM; the model is loaded by orders;
// a caller gets a streamed completion through each VM; a booking sent twice with
// one key through two VMs runs once.
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

// promptHash is the hash that the stand-in engine put into the first token.
func promptHash(body string) string {
	_, after, _ := strings.Cut(body, "t0-")
	return after[:min(8, len(after))]
}

// A resend of an accepted change gets the same answer, and an operator who holds
// an old revision gets the conflict with the current one.
func TestApplyResendAndConflict(t *testing.T) {
	f := newFleet(t, 1)
	f.applyWhenEnginesKnown(0)
	again, err := f.apply(0, "change-1", 0)
	require.NoError(t, err)
	require.True(t, again.Repeated)
	_, err = f.apply(0, "change-2", 0)
	require.ErrorContains(t, err, "the current one is 1")
}

// A VM is told to stop while a long stream is under way: the caller still gets the
// whole answer, and the next request is refused as not run.
func TestShutdownFinishesStreams(t *testing.T) {
	f := newFleet(t, 1)
	f.applyWhenEnginesKnown(0)
	f.waitServing(0)
	got := make(chan answer)
	go func() {
		defer close(got)
		got <- f.post(0, "/v1/completions", completion{Model: "quote-small", Prompt: "long", MaxTokens: 4000, Stream: true}, nil)
	}()
	eventually(t, "stream under way", func() bool { return f.nodes[0].InFlight() == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	require.NoError(t, f.nodes[0].Shutdown(ctx))
	require.Contains(t, (<-got).body, "data: [DONE]")
}

// A VM is stopped in good order. The others must hear that it left, not find out by
// their probes: until then they would send it calls and hold its zone's lease for lost.
func TestShutdownIsSeenAsLeft(t *testing.T) {
	f := newFleet(t, 3)
	f.applyWhenEnginesKnown(0)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	require.NoError(t, f.nodes[2].Shutdown(ctx))
	// Not heard of, it would become suspect and down, and never be known as left.
	for _, node := range f.nodes[:2] {
		eventually(t, "known to have left", func() bool {
			return slices.ContainsFunc(node.Status().View.VMs, func(vm laburnumlever.VM) bool {
				return vm.ID == vmName(2) && vm.State == laburnumlever.VMLeft
			})
		})
	}
}
