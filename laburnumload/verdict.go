package laburnumload

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumstandin"
)

// Answer is the result of one request, with its latencies.
type Answer struct {
	// Lost is the error that kept the answer from arriving in full; empty without one.
	Lost string
	// NotSent is true if the connection failed before anything was sent.
	NotSent bool
	Status  int
	// Reason and Outcome are those of a refusal, sent instead of an answer or as a
	// stream's last event.
	Reason  string
	Outcome string
	// RetryAfter is true if the response had a Retry-After header.
	RetryAfter bool
	Text       string
	// EndMarker is true if a stream contained its end marker, [DONE].
	EndMarker bool
	// FirstToken is the time from sending to the first token or, without streaming, to
	// the whole answer.
	FirstToken time.Duration
	// Gaps are the times between consecutive tokens.
	Gaps  []time.Duration
	Total time.Duration
}

// Verdict is the result of checking an answer.
type Verdict struct {
	Whole bool
	// Refused is the reason of a refusal, empty if none.
	Refused string
	// Lost is true if the connection broke, so that the caller does not know the outcome.
	Lost bool
	// Broken states the guarantee that the answer violates, empty if none.
	Broken string
}

// Texts of Verdict.Broken.
const (
	brokenCrossed   = "the answer belongs to another request"
	brokenTruncated = "a truncated answer was marked as complete"
	brokenUntyped   = "the refusal has no known reason"
	brokenOutcome   = "the refusal has no outcome"
)

// The outcomes that a refusal can state.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// CheckAnswer checks an answer against its request.
func CheckAnswer(a Arrival, got Answer) Verdict {
	switch {
	case got.Lost != "":
		return Verdict{Lost: true}
	case got.Reason != "" || got.Status >= http.StatusBadRequest:
		return checkRefusal(got)
	case a.Service != "":
		return checkServiceAnswer(a, got)
	default:
		return checkModelAnswer(a, got)
	}
}

func checkRefusal(got Answer) Verdict {
	v := Verdict{Refused: got.Reason}
	if _, err := laburnumlever.RefusalReasonString(got.Reason); err != nil {
		v.Broken = brokenUntyped
		return v
	}
	if got.Outcome != outcomeNotRun && got.Outcome != outcomeUnknown {
		v.Broken = brokenOutcome
	}
	return v
}

func checkServiceAnswer(a Arrival, got Answer) Verdict {
	if !strings.Contains(got.Text, fmt.Sprintf("%q", a.Prompt)) {
		return Verdict{Broken: brokenCrossed}
	}
	return Verdict{Whole: true}
}

func checkModelAnswer(a Arrival, got Answer) Verdict {
	var want strings.Builder
	for i := range a.MaxTokens {
		want.WriteString(laburnumstandin.Token(a.Prompt, i))
	}
	switch {
	case got.Text == want.String() && (got.EndMarker || !a.Stream):
		return Verdict{Whole: true}
	case !strings.HasPrefix(want.String(), got.Text):
		return Verdict{Broken: brokenCrossed}
	case got.EndMarker || !a.Stream:
		return Verdict{Broken: brokenTruncated}
	default:
		// The caller can tell from the missing end marker that the stream is truncated.
		return Verdict{Lost: true}
	}
}

// MeetsTargets reports whether an answer met its class's latency targets: for the first
// token, and for 95% of the gaps between tokens.
func MeetsTargets(class laburnumlever.Class, got Answer) bool {
	if got.FirstToken > time.Duration(class.FirstToken) {
		return false
	}
	late := 0
	for _, gap := range got.Gaps {
		if gap > time.Duration(class.BetweenToken) {
			late++
		}
	}
	return float64(late) <= lateShare*float64(len(got.Gaps))
}

// lateShare is the fraction of gaps that the users allow to exceed the target.
const lateShare = 0.05
