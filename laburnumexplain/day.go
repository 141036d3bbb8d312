package laburnumexplain

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"laburnumlever"
)

// Outcome is how requests ended, in the order in which a reader wants them.
type Outcome int

// The outcomes.
const (
	// InTime is a whole answer in time, Late one that was not.
	InTime Outcome = iota
	Late
	// Refused was answered before anything ran; Failed is any other end without a whole answer.
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

// Layout is how many engines held a model, as the VM that gave the orders last told.
type Layout struct {
	// Held and Loading count engines, Room those with room for one more model.
	Held, Loading, Room int
	// Known tells that some VM told it in or before the window.
	Known bool
}

// Window is a span of the day.
type Window struct {
	From time.Duration // since the day's start
	// Subjects are models, or routes for requests without one.
	Subjects map[string]*Account
	Layouts  map[string]Layout
	Total    Account
}

// Day is what logs say of all requests of a span of time.
type Day struct {
	Start    time.Time
	Width    time.Duration // of a window
	Windows  []Window
	Subjects map[string]*Account
	Total    Account
}

// DefaultWidth is about how long demand stays with one model on a lively day.
const DefaultWidth = 3 * time.Second

// NewDay reads the lines of all processes. Each try of a caller counts by itself, in the window
// in which it ended. An error is a *laburnumlever.NotFoundError.
func NewDay(lines []Line, width time.Duration) (Day, error) {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	first := slices.IndexFunc(lines, func(l Line) bool { return isEnd(l) })
	if first < 0 {
		return Day{}, &laburnumlever.NotFoundError{Kind: "line about a request's end", Name: "any"}
	}
	d := Day{Start: lines[first].At, Width: width, Subjects: map[string]*Account{}}
	held := layouts{}
	for _, l := range lines {
		switch {
		case isEnd(l):
			d.count(l)
		case l.Event == laburnumlever.EventLayout.String():
			held.take(l)
		default:
			continue
		}
		if len(d.Windows) > 0 {
			held.show(&d.Windows[len(d.Windows)-1])
		}
	}
	return d, nil
}

func isEnd(l Line) bool {
	return l.Event == laburnumlever.EventRequestServed.String() || l.Event == laburnumlever.EventRequestRefused.String()
}

func (d *Day) count(l Line) {
	subject := word(l.Fields["model"])
	if subject == "" {
		subject = "route " + word(l.Fields["route"])
	}
	outcome, cause := outcomeOf(l)
	w := d.window(l.At)
	accountOf(w.Subjects, subject).add(outcome, cause)
	accountOf(d.Subjects, subject).add(outcome, cause)
	w.Total.add(outcome, cause)
	d.Total.add(outcome, cause)
}

func accountOf(accounts map[string]*Account, subject string) *Account {
	if accounts[subject] == nil {
		accounts[subject] = &Account{}
	}
	return accounts[subject]
}

// window is the one that the time is in; lines come in order.
func (d *Day) window(at time.Time) *Window {
	n := int(at.Sub(d.Start) / d.Width)
	for len(d.Windows) <= n {
		d.Windows = append(d.Windows, Window{
			From: time.Duration(len(d.Windows)) * d.Width, Subjects: map[string]*Account{}, Layouts: map[string]Layout{},
		})
	}
	return &d.Windows[n]
}

// outcomeOf reads an end. A request that no backend server can have run and that was answered
// is refused; of any other without a whole answer the caller knows nothing.
func outcomeOf(l Line) (Outcome, string) {
	if l.Event == laburnumlever.EventRequestServed.String() {
		if late := word(l.Fields["late"]); late != "" && late != "not" {
			return Late, late
		}
		return InTime, ""
	}
	reason := word(l.Fields["reason"])
	if touched, _ := l.Fields["touched"].(bool); touched || word(l.Fields["status"]) == "0" {
		return Failed, reason
	}
	return Refused, reason
}

// layouts is the last layout told of each service, by service.
type layouts map[string]layoutLine

// layoutLine is a layout event's own fields.
type layoutLine struct {
	Room    int            `json:"room"`
	Held    map[string]int `json:"held"`
	Loading map[string]int `json:"loading"`
}

// take reads a layout; one that can't be read is passed over, like any other line.
func (s layouts) take(l Line) {
	text, err := json.Marshal(l.Fields)
	if err != nil {
		return
	}
	var told layoutLine
	if json.Unmarshal(text, &told) == nil {
		s[word(l.Fields["service"])] = told
	}
}

// show puts what was told last into a window.
func (s layouts) show(w *Window) {
	for _, told := range s {
		for subject := range w.Subjects {
			_, held := told.Held[subject]
			_, loading := told.Loading[subject]
			if held || loading {
				w.Layouts[subject] = Layout{Held: told.Held[subject], Loading: told.Loading[subject], Room: told.Room, Known: true}
			}
		}
	}
}
