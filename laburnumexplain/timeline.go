package laburnumexplain

import (
	"fmt"
	"slices"
	"time"

	"laburnumlever"
)

// lookback is how long before a request events may have affected it: loads and heartbeats take
// effect within seconds.
const lookback = 15 * time.Second

// Story is the timeline of a request.
type Story struct {
	ID string
	// Cause is one sentence.
	Cause string
	Lines []Line
}

// reasonTexts describe each reason and where to look.
var reasonTexts = map[string]string{
	"no-backend":          "no backend server could do it: look for the model's loads and withdrawals, and for servers that went",
	"queue-full":          "all backend servers that could do it were full until its wait was over",
	"backend-unreachable": "the backend servers chosen took no connection",
	"backend-busy":        "the backend server refused for want of room",
	"backend-error":       "a backend server broke off, or answered that it failed",
	"broken-stream":       "the stream broke off midway and could not go on elsewhere",
	"crossed-answer":      "a backend server answered with another request's answer, which was dropped",
	"deadline":            "its time was over before an answer came",
	"retry-budget":        "another attempt would have been allowed, but the budget for repeats was used up",
	"draining":            "the gateway was about to end, and sent the caller to another",
	"not-ready":           "the gateway had no routes yet",
	"unknown-service":     "the gateway's routes had none for its host and path",
	"caller-gone":         "the caller left",
	"bad-request":         "the request was not proper",
	"too-large":           "its body was too large",
}

// Request collects the lines about a request. An error is a
// *laburnumlever.NotFoundError.
func Request(id string, lines []Line) (Story, error) {
	story := Story{ID: id}
	for _, l := range lines {
		if l.is("request-id", id) {
			story.Lines = append(story.Lines, l)
		}
	}
	if len(story.Lines) == 0 {
		return story, &laburnumlever.NotFoundError{Kind: "line about the request", Name: id}
	}
	own := story.Lines
	for _, l := range lines {
		if !l.is("request-id", id) && mayAffect(l, own) {
			story.Lines = append(story.Lines, l)
		}
	}
	slices.SortStableFunc(story.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	story.Cause = causeOf(own)
	return story, nil
}

// mayAffect tells whether another event may have affected the request: one of a backend server
// that it was sent to, of its model, or of its gateway.
func mayAffect(l Line, own []Line) bool {
	if l.Event == "request-served" || l.Event == "request-refused" || l.Event == "attempt-failed" {
		return false
	}
	for _, o := range own {
		if l.At.After(o.At) || o.At.Sub(l.At) > lookback {
			continue
		}
		sameModel := l.is("model", fieldText(o.Fields["model"])) && l.Fields["adapter"] == nil
		if l.is("backend", fieldText(o.Fields["backend"])) || sameModel || (l.VM == o.VM && fieldText(l.Fields["backend"]) == "") {
			return true
		}
	}
	return false
}

func causeOf(own []Line) string {
	last := own[len(own)-1]
	switch last.Event {
	case "request-served":
		return fmt.Sprintf("it was served: first part after %s ms, longest pause %s ms, whole after %s ms",
			fieldText(last.Fields["first-ms"]), fieldText(last.Fields["pause-ms"]), fieldText(last.Fields["whole-ms"]))
	case "request-refused":
		reason := fieldText(last.Fields["reason"])
		text, ok := reasonTexts[reason]
		if !ok {
			text = "see the reason"
		}
		return fmt.Sprintf("%s (%s, status %s): %s", text, reason, fieldText(last.Fields["status"]), fieldText(last.Fields["cause"]))
	default:
		return "its end is not in these logs"
	}
}

// Text formats the story, one line for each event.
func (s Story) Text() []string {
	out := []string{"cause: " + s.Cause}
	start := s.Lines[0].At
	for _, l := range s.Lines {
		mark := " "
		if l.is("request-id", s.ID) {
			mark = "*"
		}
		out = append(out, fmt.Sprintf("%s %9.3f s  %-20s %-18s %s", mark, l.At.Sub(start).Seconds(), l.VM, l.Event, l.text()))
	}
	return out
}
