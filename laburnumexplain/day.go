package laburnumexplain

import (
	"cmp"
	"slices"
	"time"

	"laburnumlever"
)

// Outcome is how a request ended.
type Outcome int

// The outcomes.
const (
	// InTime is a complete answer in time, Late a complete answer that was not.
	InTime Outcome = iota
	Late
	// Refused is a refusal before anything ran, Failed any other end without a complete answer.
	Refused
	Failed
)

// OutcomeCounts counts requests by outcome and cause.
type OutcomeCounts struct {
	Requests int
	Outcomes map[Outcome]int
	// Causes counts late, refused and failed requests by cause.
	Causes map[Cause]int
}

// Cause is why a request was late, refused or failed.
type Cause struct {
	Outcome Outcome
	Name    string
}

// NotInTime returns the number of requests without an answer in time.
func (a OutcomeCounts) NotInTime() int { return a.Requests - a.Outcomes[InTime] }

func (a *OutcomeCounts) add(outcome Outcome, cause string) {
	if a.Outcomes == nil {
		a.Outcomes, a.Causes = map[Outcome]int{}, map[Cause]int{}
	}
	a.Requests++
	a.Outcomes[outcome]++
	if outcome != InTime {
		a.Causes[Cause{outcome, cause}]++
	}
}

// causes returns the causes, the most frequent first.
func (a OutcomeCounts) causes() []Cause {
	var list []Cause
	for c := range a.Causes {
		list = append(list, c)
	}
	slices.SortFunc(list, func(x, y Cause) int {
		return cmp.Or(a.Causes[y]-a.Causes[x], cmp.Compare(x.Outcome, y.Outcome), cmp.Compare(x.Name, y.Name))
	})
	return list
}

// Layout is the number of engines that held a model, according to the last "layout" line before the
// first request of the next window.
type Layout struct {
	// Held and Loading count engines that hold or are loading the model, Room those with room for
	// one more model.
	Held, Loading, Room int
	// Known reports whether there was such a line.
	Known bool
}

// Window is a time window of the day.
type Window struct {
	From time.Duration // since the day's start
	// Subjects holds the counts of each model, or of each route for requests without a model.
	Subjects map[string]*OutcomeCounts
	Layouts  map[string]Layout
	Total    OutcomeCounts
}

// Day holds the outcomes of all requests in the logs.
type Day struct {
	Start    time.Time
	Width    time.Duration // of a window
	Windows  []Window
	Subjects map[string]*OutcomeCounts
	Total    OutcomeCounts
}

// DefaultWidth is the default width of windows.
const DefaultWidth = 3 * time.Second

func isRequestEnd(l Line) bool {
	return l.Event == laburnumlever.EventRequestServed.String() || l.Event == laburnumlever.EventRequestRefused.String()
}

// newDay builds a day from the ends of requests and layout events, each sorted by time.
func newDay(ends []requestEnd, events []layoutEvent, width time.Duration) Day {
	d := Day{Start: ends[0].at, Width: width, Subjects: map[string]*OutcomeCounts{}}
	current := lastLayouts{}
	for _, e := range ends {
		for len(events) > 0 && !events[0].at.After(e.at) {
			current.set(events[0])
			events = events[1:]
			if len(d.Windows) > 0 {
				current.copyTo(&d.Windows[len(d.Windows)-1])
			}
		}
		d.count(e)
		current.copyTo(&d.Windows[len(d.Windows)-1])
	}
	return d
}

func (d *Day) count(e requestEnd) {
	w := d.window(e.at)
	for _, a := range []*OutcomeCounts{countsOf(w.Subjects, e.subject), countsOf(d.Subjects, e.subject), &w.Total, &d.Total} {
		a.add(e.outcome, e.cause)
	}
}

func countsOf(counts map[string]*OutcomeCounts, subject string) *OutcomeCounts {
	if counts[subject] == nil {
		counts[subject] = &OutcomeCounts{}
	}
	return counts[subject]
}

// window returns the window that a time falls into and adds windows up to it. Times must not
// decrease.
func (d *Day) window(at time.Time) *Window {
	n := int(at.Sub(d.Start) / d.Width)
	for len(d.Windows) <= n {
		d.Windows = append(d.Windows, Window{
			From: time.Duration(len(d.Windows)) * d.Width, Subjects: map[string]*OutcomeCounts{}, Layouts: map[string]Layout{},
		})
	}
	return &d.Windows[n]
}

// outcomeOf returns the outcome and cause of a request. A request that was answered and can't have
// run counts as refused; any other without a complete answer as failed.
func outcomeOf(l Line) (Outcome, string) {
	if l.Event == laburnumlever.EventRequestServed.String() {
		if late := fieldText(l.Fields["late"]); late != "" && late != "not" {
			return Late, late
		}
		return InTime, ""
	}
	reason := fieldText(l.Fields["reason"])
	if touched, _ := l.Fields["touched"].(bool); touched || fieldText(l.Fields["status"]) == "0" {
		return Failed, reason
	}
	return Refused, reason
}
