package laburnumload_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumload"
	"laburnumlever/laburnumstandin"
)

func TestCheckAnswer(t *testing.T) {
	ask := laburnumload.Arrival{Model: "m", Prompt: "mine", MaxTokens: 2, Stream: true}
	mine := laburnumstandin.Token("mine", 0) + laburnumstandin.Token("mine", 1)
	for _, tt := range []struct {
		name string
		got  laburnumload.Answer
		want laburnumload.Verdict
	}{
		{"whole", laburnumload.Answer{Status: 200, Text: mine, EndMarker: true}, laburnumload.Verdict{Whole: true}},
		{
			"another's",
			laburnumload.Answer{Status: 200, Text: laburnumstandin.Token("yours", 0), EndMarker: true},
			laburnumload.Verdict{Broken: "the answer belongs to another request"},
		},
		{
			"a part with the end marker",
			laburnumload.Answer{Status: 200, Text: laburnumstandin.Token("mine", 0), EndMarker: true},
			laburnumload.Verdict{Broken: "a truncated answer was marked as complete"},
		},
		{"a part without it", laburnumload.Answer{Status: 200, Text: laburnumstandin.Token("mine", 0)}, laburnumload.Verdict{Lost: true}},
		{"no answer", laburnumload.Answer{Lost: "reset"}, laburnumload.Verdict{Lost: true}},
		{"a refusal", laburnumload.Answer{Status: 503, Reason: "queue-full", Outcome: "not-run"}, laburnumload.Verdict{Refused: "queue-full"}},
		{
			"a refusal inside a stream",
			laburnumload.Answer{Status: 200, Text: laburnumstandin.Token("mine", 0), Reason: "broken-stream", Outcome: "unknown"},
			laburnumload.Verdict{Refused: "broken-stream"},
		},
		{
			"a refusal without an outcome",
			laburnumload.Answer{Status: 503, Reason: "queue-full"},
			laburnumload.Verdict{Refused: "queue-full", Broken: "the refusal has no outcome"},
		},
		{"a bare error", laburnumload.Answer{Status: http.StatusBadGateway}, laburnumload.Verdict{Broken: "the refusal has no known reason"}},
	} {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.want, laburnumload.CheckAnswer(ask, tt.got)) })
	}
}

func TestMeetsTargetsAllowsFivePercentLateGaps(t *testing.T) {
	class := laburnumlever.Class{FirstToken: laburnumlever.Duration(time.Second), BetweenToken: laburnumlever.Duration(70 * time.Millisecond)}
	got := laburnumload.Answer{FirstToken: time.Second, Gaps: make([]time.Duration, 100)}
	for i := range 5 {
		got.Gaps[i] = time.Second
	}
	require.True(t, laburnumload.MeetsTargets(class, got))
	got.Gaps[5] = time.Second
	require.False(t, laburnumload.MeetsTargets(class, got))
	require.False(t, laburnumload.MeetsTargets(class, laburnumload.Answer{FirstToken: time.Second + 1}))
}

// Guards against double bookings that only the service's ledger shows.
func TestCheckLedger(t *testing.T) {
	ledger := [][]laburnumstandin.LedgerEntry{{{Key: "once"}, {Key: "twice"}, {Key: "denied"}}, {{Key: "twice"}, {Key: "recovered"}}}
	results := []laburnumload.CallResult{
		{Key: "once", Answered: true},
		{Key: "once", Outcome: "unknown"},
		{Key: "twice", Answered: true},
		{Key: "twice", Answered: true},
		{Key: "denied", Outcome: "not-run"},
		{Key: "recovered", Outcome: "not-run"},
		{Key: "recovered", Answered: true},
		{Key: "never", Outcome: "not-run"},
		{Key: "gone", NotSent: true},
		{Key: "phantom", Answered: true},
	}
	require.Equal(t, []string{
		"key twice ran 2 times",
		"key phantom was answered but never ran",
		"key denied was refused as not-run but ran",
	}, laburnumload.CheckLedger(results, ledger))
}
