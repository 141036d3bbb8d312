// Package laburnumchart interprets the state charts in charts/*.jsonc, so that
// the life of an attempt, an order or a backend server is read from one file and
// not from scattered conditions.
//
// # Usage
//
//	chart, err := laburnumchart.Load("attempt")
//	state := chart.Initial()
//	state, err = chart.Next(state, "write-started")
//
// A chart names its initial state and, for each state, the events it takes and
// the state each leads to. Load refuses a chart with a transition to a state that
// is not there or with a state that can't be reached, so a mistake in a file shows
// at start and not under failure. An event that the state does not take is a
// *NoTransitionError, and the state stays.
package laburnumchart

import (
	"embed"
	"encoding/json"
	"slices"

	"github.com/tailscale/hujson"
)

//go:embed charts/*.jsonc
var files embed.FS

// Chart is one state chart; it is never changed.
type Chart struct {
	name    string
	initial string
	states  map[string]state
}

type state struct {
	Doc string            `json:"doc"`
	On  map[string]string `json:"on"`
}

type file struct {
	Initial string           `json:"initial"`
	States  map[string]state `json:"states"`
}

// Load reads the embedded chart of that name.
func Load(name string) (Chart, error) {
	text, err := files.ReadFile("charts/" + name + ".jsonc")
	if err != nil {
		return Chart{}, &UnknownChartError{Name: name, Cause: err}
	}
	return Parse(name, text)
}

// MustLoad is Load for charts that ship with the program, which tests have read:
// it panics on an error.
func MustLoad(name string) Chart {
	chart, err := Load(name)
	if err != nil {
		panic(err)
	}
	return chart
}

// Parse reads a chart in JSON with comments and checks it.
func Parse(name string, text []byte) (Chart, error) {
	plain, err := hujson.Standardize(slices.Clone(text))
	if err != nil {
		return Chart{}, &BadChartError{Name: name, Problem: "not JSON with comments", Cause: err}
	}
	var f file
	if err := json.Unmarshal(plain, &f); err != nil {
		return Chart{}, &BadChartError{Name: name, Problem: "not a chart", Cause: err}
	}
	chart := Chart{name: name, initial: f.Initial, states: f.States}
	return chart, chart.check()
}

// Initial is the state that everything starts in.
func (c Chart) Initial() string { return c.initial }

// Next is the state after the event.
func (c Chart) Next(from, event string) (string, error) {
	to, ok := c.states[from].On[event]
	if !ok {
		return from, &NoTransitionError{Chart: c.name, State: from, Event: event}
	}
	return to, nil
}

// Final tells whether no event leads out of the state.
func (c Chart) Final(name string) bool { return len(c.states[name].On) == 0 }

// States are the names of all states, sorted.
func (c Chart) States() []string {
	names := make([]string, 0, len(c.states))
	for name := range c.states {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (c Chart) check() error {
	if _, ok := c.states[c.initial]; !ok {
		return &BadChartError{Name: c.name, Problem: "the initial state " + c.initial + " is not there"}
	}
	reached := map[string]bool{c.initial: true}
	if err := c.checkReachable(c.initial, reached); err != nil {
		return err
	}
	for _, name := range c.States() {
		if !reached[name] {
			return &BadChartError{Name: c.name, Problem: "the state " + name + " can't be reached"}
		}
	}
	return nil
}

func (c Chart) checkReachable(from string, reached map[string]bool) error {
	for _, to := range c.states[from].On {
		if _, ok := c.states[to]; !ok {
			return &BadChartError{Name: c.name, Problem: "the state " + to + " is not there"}
		}
		if reached[to] {
			continue
		}
		reached[to] = true
		if err := c.checkReachable(to, reached); err != nil {
			return err
		}
	}
	return nil
}
