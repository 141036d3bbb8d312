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

// Timeline is the timeline of a request.
type Timeline struct {
	ID string
	// Cause describes the outcome of the request in one sentence.
	Cause string
	// Lines holds the events of the request and those that may have affected it, sorted by time.
	Lines []Line
}

// reasonTexts explains each refusal reason, with hints where to look.
var reasonTexts = map[string]string{
	"no-backend":          "no backend server could serve it: look for loads and withdrawals of the model, and for removed servers",
	"queue-full":          "all backend servers that could serve it were full until its time in the queue was over",
	"backend-unreachable": "the chosen backend servers accepted no connection",
	"backend-busy":        "the backend server refused it because it was full",
	"backend-error":       "a backend server closed the connection early, answered with an error or sent bytes that are no answer",
	"broken-stream":       "the stream was interrupted and could not be resumed on another backend server: look for ended-by in its attempt-failed, and for why it was not-retried",
	"crossed-answer":      "a backend server returned another request's answer, which was dropped",
	"deadline":            "its deadline passed before an answer arrived",
	"retry-budget":        "another attempt was allowed, but the retry budget was exhausted",
	"part-quarantined":    "several backend servers crashed while they ran requests with a part of its prompt: look for part-quarantined on control VMs, and for attempt-failed with the part",
	"quarantined":         "several backend servers crashed while they ran it: look for the other attempts with its digest, and for request-quarantined on control VMs",
	"backend-limited":     "all backend servers that could serve it name limits that are used up: look for limit-changed, and for slot-requested of this request",
	"backend-brittle":     "the backend servers that could serve it fall over if they must reject requests, and had no room: look for brittle-changed, and for slot-requested of this request",
	"backend-resting":     "all backend servers that could serve it had asked this gateway for rest: look for backend-rests, and for the end of the rest in the cause",
	"links-lost":          "the gateway reached no backend server, and no other gateway opened connections for it: look for links-lost and links-verified of the gateway",
	"stream-unknown":      "no VM that answered knew which software version began the stream that it takes up: look for stream-not-recorded, and for the attempt that it resumes",
	"stream-version-gone": "no backend server runs the software version that began the stream that it takes up: look for backend-known with that software",
	"unknown-key":         "its key belongs to no client account in the routes of that version: look for routes-in-force on the gateway, and for when the key was revoked",
	"keys-unconfirmed":    "no control VM had confirmed for too long that the gateway's routes are the newest, so that its key may have been revoked: look for keys-unconfirmed, control-lost and became-leader",
	"over-quota":          "its client account had used up its quota: look for quota-used-up on control VMs",
	"quota-unanswered":    "no control VM answered for its client account's quota, which may not be used up, and the gateway had no reserve of it left: look for quota-unanswered, control-lost and became-leader",
	"draining":            "the gateway was draining and sent the caller to another one",
	"internal-error":      "the gateway's own code panicked: look for request-panicked, which has the stack",
	"vm-stopped":          "the gateway had been told to stop, and its time to finish requests was over: look for draining and stopped of the gateway",
	"not-ready":           "the gateway had not received routes yet",
	"unknown-service":     "no route of the gateway matches its host and path",
	"caller-gone":         "the caller closed the connection: sent-ago-ms tells whether its request had been sent, and how long before",
	"bad-request":         "the request was malformed",
	"too-large":           "its body exceeded the size limit",
}

// NewTimeline collects the lines about a request and those that may have affected it. An error is a
// *laburnumlever.NotFoundError.
func NewTimeline(id string, lines []Line) (Timeline, error) {
	timeline := Timeline{ID: id}
	for _, l := range lines {
		if l.is("request-id", id) {
			timeline.Lines = append(timeline.Lines, l)
		}
	}
	if len(timeline.Lines) == 0 {
		return timeline, &laburnumlever.NotFoundError{Kind: "line about the request", Name: id}
	}
	own := timeline.Lines
	digest := digestOf(own)
	for _, l := range lines {
		if !l.is("request-id", id) && (l.is("digest", digest) || concernsPart(l, own) || mayAffect(l, own)) {
			timeline.Lines = append(timeline.Lines, l)
		}
	}
	slices.SortStableFunc(timeline.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	timeline.Cause = causeOf(own)
	return timeline, nil
}

// digestOf returns the digest of the request's content, which the lines about the caller's other
// attempts at the same request have as well; empty if no line has one.
func digestOf(own []Line) string {
	for _, l := range own {
		if digest := fieldText(l.Fields["digest"]); digest != "" {
			return digest
		}
	}
	return ""
}

// concernsPart reports whether a line is about a part of the request's prompt.
func concernsPart(l Line, own []Line) bool {
	part := fieldText(l.Fields["part"])
	if part == "" {
		return false
	}
	for _, o := range own {
		parts, _ := o.Fields["parts"].([]any)
		if slices.ContainsFunc(parts, func(p any) bool { return fieldText(p) == part }) {
			return true
		}
	}
	return false
}

// mayAffect reports whether another event may have affected the request: it concerns a backend
// server that the request was sent to, its model, or its gateway.
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

// causeOf explains the outcome by the request's last line.
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
			text = "no explanation is known for the reason"
		}
		return fmt.Sprintf("%s (%s, status %s): %s", text, reason, fieldText(last.Fields["status"]), fieldText(last.Fields["cause"]))
	default:
		return "the logs do not contain the end of the request"
	}
}

// Text formats the cause and the events, one per line. Lines of the request itself are marked with
// a star.
func (t Timeline) Text() []string {
	out := []string{"cause: " + t.Cause}
	start := t.Lines[0].At
	for _, l := range t.Lines {
		mark := " "
		if l.is("request-id", t.ID) {
			mark = "*"
		}
		out = append(out, fmt.Sprintf("%s %9.3f s  %-20s %-18s %s", mark, l.At.Sub(start).Seconds(), l.VM, l.Event, l.text()))
	}
	return out
}
