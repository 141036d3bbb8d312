package laburnumsimulation

import (
	"fmt"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumsettings"
)

const (
	defaultNear      = 200 * time.Microsecond
	defaultFar       = time.Millisecond
	defaultCallers   = time.Millisecond
	defaultChunk     = 2048
	defaultHeartbeat = 1200 * time.Millisecond
)

// Load reads a scenario file and applies defaults. An error is a *ScenarioInvalidError that lists
// all faults.
func Load(path string) (Scenario, error) {
	s := Scenario{
		Links:   Links{Near: laburnumlever.Duration(defaultNear), Far: laburnumlever.Duration(defaultFar), Callers: laburnumlever.Duration(defaultCallers)},
		Engines: Engines{ChunkTokens: defaultChunk, EventTokens: 1, Speeds: []float64{1}, Heartbeat: laburnumlever.Duration(defaultHeartbeat)},
		Value:   Value{Day: 1},
	}
	faults := laburnumsettings.ReadFile(path, &s)
	if len(faults) == 0 {
		faults = s.check(path)
	}
	if len(faults) > 0 {
		return Scenario{}, &ScenarioInvalidError{Faults: faults}
	}
	return s, nil
}

// check lists the values that can't be simulated.
func (s Scenario) check(path string) []laburnumlever.Fault {
	var faults []laburnumlever.Fault
	require := func(ok bool, key, problem, want string) {
		if !ok {
			faults = append(faults, laburnumlever.Fault{File: path, Line: 1, Key: key, Problem: problem, Want: want})
		}
	}
	require(s.Length > 0, "length", "is not positive", "a duration such as \"60s\"")
	require(len(s.Zones) > 0, "zones", "is empty", "one zone or more")
	require(s.Engines.Count > 0, "engines.count", "is not positive", "a number of engines")
	require(s.Engines.Slots > 0, "engines.slots", "is not positive", "a number of slots")
	require(s.Engines.ChunkTokens > 0, "engines.chunk-tokens", "is not positive", "a number of tokens")
	require(s.Engines.EventTokens > 0, "engines.event-tokens", "is not positive", "a number of tokens")
	require(len(s.Engines.Speeds) > 0, "engines.speeds", "is empty", "one factor or more")
	require(s.Models.Count > 0, "models.count", "is not positive", "a number of models")
	require(len(s.Models.Kinds) > 0, "models.kinds", "is empty", "one kind or more")
	for i, k := range s.Models.Kinds {
		require(k.WeightsMB <= s.Engines.WeightsMB, fmt.Sprintf("models.kinds[%d].weights-mb", i), "exceeds the memory of an engine", "at most engines.weights-mb")
	}
	for i, z := range s.Zones {
		require(z.Gateways > 0, fmt.Sprintf("zones[%d].gateways", i), "is not positive", "one gateway or more")
	}
	for i, c := range s.Classes {
		key := fmt.Sprintf("classes[%d]", i)
		require(c.From >= 0 && c.From <= c.To && c.To < s.Models.Count, key+".to", "is not the end of a range of existing models", "0 <= from <= to < models.count")
		require(len(c.SharedTokens) == len(c.SharedKinds), key+".shared-kinds", "differs in length from shared-tokens", "one number for each")
	}
	for i, e := range s.Events {
		key := fmt.Sprintf("events[%d]", i)
		require(e.Share >= 0 && e.Share <= 1, key+".share", "is not between 0 and 1", "a share of the engines from 0 to 1")
		require(e.Kind != EventBurst && e.Kind != EventSlow || e.Factor > 0, key+".factor", "is not positive", "a factor such as 2")
		require(e.PerSecond >= 0, key+".per-second", "is negative", "the requests per second that an engine takes")
		require(e.Kind != EventShift || e.Places != 0, key+".places", "is 0", "the number of ranks by which demand shifts")
	}
	return faults
}
