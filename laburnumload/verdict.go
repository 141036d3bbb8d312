package laburnumload

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumstandin"
)

// Answer is what a caller got, with its times.
type Answer struct {
	// Lost is why no HTTP answer came, empty if one did.
	Lost string
	// NotSent tells that the connection failed before anything was sent.
	NotSent bool
	Status  int
	// Reason and Outcome are those of a refusal, before the answer or as a stream's
	// last event.
	Reason  string
	Outcome string
	// RetryAfter tells that the header was there.
	RetryAfter bool
	Text       string
	// Marked tells that a stream ended with its end marker.
	Marked bool
	// FirstToken is from sending to the first token, or to the whole answer where it
	// is not a stream.
	FirstToken time.Duration
	// Gaps are the times between tokens.
	Gaps  []time.Duration
	Total time.Duration
}

// Verdict is what a caller may think of an answer.
type Verdict struct {
	Whole bool
	// Refused names the reason of a typed refusal.
	Refused string
	// Lost tells that the connection broke, so that the caller knows nothing.
	Lost bool
	// Broken says which promise the answer breaks, empty if none.
	Broken string
}

// The promises that an answer can break.
const (
	brokenCrossed   = "the answer is not the caller's own"
	brokenTruncated = "a part was given as the whole"
	brokenUntyped   = "the refusal has no known reason"
	brokenOutcome   = "the refusal has no outcome"
)

// What callers read of a refusal.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// Judge compares an answer with what was asked.
func Judge(a Arrival, got Answer) Verdict {
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
	case got.Text == want.String() && (got.Marked || !a.Stream):
		return Verdict{Whole: true}
	case !strings.HasPrefix(want.String(), got.Text):
		return Verdict{Broken: brokenCrossed}
	case got.Marked || !a.Stream:
		return Verdict{Broken: brokenTruncated}
	default:
		// A stream that breaks off without its end marker says itself that it is
		// not whole; the caller can tell.
		return Verdict{Lost: true}
	}
}

// Attained tells whether a whole answer came inside its class's targets: the
// first token, and 95 in 100 of the gaps between tokens.
func Attained(class laburnumlever.Class, got Answer) bool {
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

// lateShare is the users' 5 in 100 that may come late.
const lateShare = 0.05
