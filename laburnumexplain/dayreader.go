package laburnumexplain

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"time"
	"unique"

	"laburnumlever"
)

// routeSubject is the prefix of the subject of a request without a model.
const routeSubject = "route "

// DayReader reads the logs of any number of VMs into one day. Its memory grows with the number
// of requests, not with the size of the logs.
type DayReader struct {
	ends    []requestEnd
	layouts []layoutEvent
}

// requestEnd is the end of one request.
type requestEnd struct {
	at      time.Time
	subject string
	outcome Outcome
	cause   string
}

var (
	servedText  = []byte(laburnumlever.EventRequestServed.String())
	refusedText = []byte(laburnumlever.EventRequestRefused.String())
	layoutText  = []byte(laburnumlever.EventLayout.String())
)

// Read reads a log. Skipped counts lines that contain the name of a relevant event but can't be
// decoded.
func (d *DayReader) Read(r io.Reader) (skipped int, err error) {
	return scan(r, mayBeRelevant, d.add)
}

// mayBeRelevant reports, without decoding it, whether a line may hold an event that counts.
func mayBeRelevant(text []byte) bool {
	return bytes.Contains(text, servedText) || bytes.Contains(text, refusedText) || bytes.Contains(text, layoutText)
}

func (d *DayReader) add(l Line) {
	if l.Event == laburnumlever.EventLayout.String() {
		if layout, ok := decodeLayout(l); ok {
			d.layouts = append(d.layouts, layout)
		}
		return
	}
	if !isRequestEnd(l) {
		return
	}
	subject := fieldText(l.Fields["model"])
	if subject == "" {
		subject = routeSubject + fieldText(l.Fields["route"])
	}
	outcome, cause := outcomeOf(l)
	d.ends = append(d.ends, requestEnd{at: l.At, subject: unique.Make(subject).Value(), outcome: outcome, cause: unique.Make(cause).Value()})
}

// Day returns the day of all logs read. Each attempt of a caller counts as a request, in the window
// in which it ended. An error is a *NoRequestsError.
func (d *DayReader) Day(width time.Duration) (Day, error) {
	if len(d.ends) == 0 {
		return Day{}, &NoRequestsError{Layouts: len(d.layouts)}
	}
	slices.SortStableFunc(d.ends, func(a, b requestEnd) int { return a.at.Compare(b.at) })
	slices.SortStableFunc(d.layouts, func(a, b layoutEvent) int { return a.at.Compare(b.at) })
	return newDay(d.ends, d.layouts, width), nil
}

// NoRequestsError means that the logs contain no ends of requests; Layouts counts their layout
// lines.
type NoRequestsError struct{ Layouts int }

func (e *NoRequestsError) Error() string {
	return fmt.Sprintf("no line about a request's end, %d layout lines: name the logs of gateways, which record requests", e.Layouts)
}
