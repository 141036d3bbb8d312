// Package laburnumchart interprets the state machines in charts/*.jsonc, so that the
// lifecycle of an attempt or an order is defined in one file instead of scattered
// conditions.
//
// # Usage
//
//	chart, err := laburnumchart.Load("attempt")
//	state := chart.Initial()
//	state, err = chart.Next(state, "write-started")
//
// A chart defines the initial state and, for each state, the transitions by event. Load
// refuses a chart with a transition to an undefined state or with an unreachable state,
// so that a mistake in a file is found at start. An event without a transition is a
// *NoTransitionError and leaves the state unchanged.
package laburnumchart

import (
	"embed"
	"encoding/json"
	"slices"

	"github.com/tailscale/hujson"
)

//go:embed charts/*.jsonc
var files embed.FS

// Chart is one state machine. It is immutable.
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

// Load returns the embedded chart with this name. Errors: *UnknownChartError,
// *InvalidChartError.
func Load(name string) (Chart, error) {
	text, err := files.ReadFile("charts/" + name + ".jsonc")
	if err != nil {
		return Chart{}, &UnknownChartError{Name: name, Cause: err}
	}
	return Parse(name, text)
}

// MustLoad is like Load but panics on an error. It is for embedded charts, which tests
// cover.
func MustLoad(name string) Chart {
	chart, err := Load(name)
	if err != nil {
		panic(err)
	}
	return chart
}

// Parse parses and validates a chart in JSON with comments. An error is a
// *InvalidChartError.
func Parse(name string, text []byte) (Chart, error) {
	plain, err := hujson.Standardize(slices.Clone(text))
	if err != nil {
		return Chart{}, &InvalidChartError{Name: name, Problem: "not JSON with comments", Cause: err}
	}
	var f file
	if err := json.Unmarshal(plain, &f); err != nil {
		return Chart{}, &InvalidChartError{Name: name, Problem: "not a chart", Cause: err}
	}
	chart := Chart{name: name, initial: f.Initial, states: f.States}
	return chart, chart.check()
}

// Initial returns the initial state.
func (c Chart) Initial() string { return c.initial }

// Next returns the state after the event, or a *NoTransitionError and the same state.
func (c Chart) Next(from, event string) (string, error) {
	to, ok := c.states[from].On[event]
	if !ok {
		return from, &NoTransitionError{Chart: c.name, State: from, Event: event}
	}
	return to, nil
}

// Final reports whether the state has no transitions.
func (c Chart) Final(name string) bool { return len(c.states[name].On) == 0 }

// States returns the names of all states, sorted.
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
		return &InvalidChartError{Name: c.name, Problem: "the initial state " + c.initial + " is not defined"}
	}
	reached := map[string]bool{c.initial: true}
	if err := c.checkReachable(c.initial, reached); err != nil {
		return err
	}
	for _, name := range c.States() {
		if !reached[name] {
			return &InvalidChartError{Name: c.name, Problem: "the state " + name + " is unreachable"}
		}
	}
	return nil
}

func (c Chart) checkReachable(from string, reached map[string]bool) error {
	for _, to := range c.states[from].On {
		if _, ok := c.states[to]; !ok {
			return &InvalidChartError{Name: c.name, Problem: "the state " + to + " is not defined"}
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
