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
	// InTime is a complete answer in time, Late one that was not.
	InTime Outcome = iota
	Late
	// Refused was answered before anything ran; Failed is any other end without a complete
	// answer.
	Refused
	Failed
)

// Account counts requests by how they ended and why.
type Account struct {
	Asked    int
	Outcomes map[Outcome]int
	// Causes counts the late, refused and failed by outcome and cause.
	Causes map[Cause]int
}

// Cause is why a request was late, refused or failed.
type Cause struct {
	Outcome Outcome
	Name    string
}

// Lost is how many were not answered in time.
func (a Account) Lost() int { return a.Asked - a.Outcomes[InTime] }

func (a *Account) add(outcome Outcome, cause string) {
	if a.Outcomes == nil {
		a.Outcomes, a.Causes = map[Outcome]int{}, map[Cause]int{}
	}
	a.Asked++
	a.Outcomes[outcome]++
	if outcome != InTime {
		a.Causes[Cause{outcome, cause}]++
	}
}

// causes are the account's, the most frequent first.
func (a Account) causes() []Cause {
	var list []Cause
	for c := range a.Causes {
		list = append(list, c)
	}
	slices.SortFunc(list, func(x, y Cause) int {
		return cmp.Or(a.Causes[y]-a.Causes[x], cmp.Compare(x.Outcome, y.Outcome), cmp.Compare(x.Name, y.Name))
	})
	return list
}

// Layout is how many engines held a model, by the last "layout" line before the window.
type Layout struct {
	// Held and Loading count engines, Room those with room for one more model.
	Held, Loading, Room int
	// Known tells that it was logged in or before the window.
	Known bool
}

// Window is a part of the day.
type Window struct {
	From time.Duration // since the day's start
	// Subjects are models, or routes for requests without one.
	Subjects map[string]*Account
	Layouts  map[string]Layout
	Total    Account
}

// Day is the outcome of all requests in the logs.
type Day struct {
	Start    time.Time
	Width    time.Duration // of a window
	Windows  []Window
	Subjects map[string]*Account
	Total    Account
}

// DefaultWidth is the default width of windows.
const DefaultWidth = 3 * time.Second

func isRequestEnd(l Line) bool {
	return l.Event == laburnumlever.EventRequestServed.String() || l.Event == laburnumlever.EventRequestRefused.String()
}

// newDay makes a day of requests' ends and layouts, each sorted by time.
func newDay(ends []requestEnd, events []layoutEvent, width time.Duration) Day {
	d := Day{Start: ends[0].at, Width: width, Subjects: map[string]*Account{}}
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
	for _, a := range []*Account{countsOf(w.Subjects, e.subject), countsOf(d.Subjects, e.subject), &w.Total, &d.Total} {
		a.add(e.outcome, e.cause)
	}
}

func countsOf(accounts map[string]*Account, subject string) *Account {
	if accounts[subject] == nil {
		accounts[subject] = &Account{}
	}
	return accounts[subject]
}

// window returns the window of a time; lines come sorted.
func (d *Day) window(at time.Time) *Window {
	n := int(at.Sub(d.Start) / d.Width)
	for len(d.Windows) <= n {
		d.Windows = append(d.Windows, Window{
			From: time.Duration(len(d.Windows)) * d.Width, Subjects: map[string]*Account{}, Layouts: map[string]Layout{},
		})
	}
	return &d.Windows[n]
}

// outcomeOf classifies an end. A request that was answered and can't have run is refused; any
// other without a complete answer has failed.
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
