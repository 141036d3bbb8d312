package laburnumresidency

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against unintended changes in the planner's steps, for 300 random fleets.
func TestStepsOfRandomFleets(t *testing.T) {
	const fleets = 300
	golden := filepath.Join("testdata", "steps.golden")
	var got bytes.Buffer
	for seed := range uint64(fleets) {
		f := randomFleet(seed)
		fmt.Fprintf(&got, "fleet %d: %d engines, %d models\n", seed, len(f.engines), len(f.class.Models))
		for _, s := range NextSteps(f.class, f.engines, f.demand, f.adapters, append(f.options, WithPolicy(DefaultPolicy().WithMinGain(minSpareGain).WithDisplacement(false)))...) {
			fmt.Fprintf(&got, "  %s %s %s from-store=%t: %s\n", s.Engine, s.Kind, s.Model, s.FromStore, s.Reason)
		}
	}
	if *update {
		require.NoError(t, os.WriteFile(golden, got.Bytes(), 0o600))
	}
	want, err := os.ReadFile(golden)
	require.NoError(t, err)
	require.Equal(t, string(want), got.String())
}

type fleet struct {
	class    *laburnumlever.EngineClass
	engines  []Engine
	demand   Demand
	adapters map[laburnumlever.ModelName]int
	options  []Option
}

// randomFleet returns a fleet with loads and unloads in progress, in which some models have many
// copies, some have none, and a few get most requests.
func randomFleet(seed uint64) fleet {
	r := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // seeded, so that runs are repeatable
	class := testClass(3 + r.IntN(70))
	class.LoadsPerSecond = 0 // not limited by the weight store
	for i := range class.Models {
		class.Models[i].WeightsMB = []float64{42700, 65100, 72700}[r.IntN(3)]
		class.Models[i].Adapters, class.Models[i].AdapterMB = r.IntN(3)*r.IntN(20), 66
	}
	f := fleet{class: class, demand: Demand{}, adapters: map[laburnumlever.ModelName]int{}}
	for i := range 2 + r.IntN(40) {
		f.engines = append(f.engines, randomEngine(r, class, i))
	}
	rates := map[laburnumlever.ModelName]float64{}
	for range r.IntN(12) {
		m := class.Models[r.IntN(len(class.Models))].Name
		f.demand[m] = 2 * r.Float64()
		rates[m] = 40 * r.Float64()
		f.adapters[m] = r.IntN(3) * r.IntN(8)
	}
	if r.IntN(4) > 0 {
		f.options = append(f.options, WithRequests(rates))
	}
	return f
}

func randomEngine(r *rand.Rand, class *laburnumlever.EngineClass, id int) Engine {
	e := Engine{ID: laburnumlever.BackendID(fmt.Sprintf("e%02d", id)), Idle: r.IntN(4) > 0}
	some := func(most int) []laburnumlever.ModelName {
		var names []laburnumlever.ModelName
		for range r.IntN(most + 1) {
			names = append(names, class.Models[r.IntN(min(len(class.Models), 1+r.IntN(70)))].Name)
		}
		return names
	}
	for _, name := range some(3) {
		m, _ := class.Model(name)
		if !e.Holds(name) && e.HasMemoryFor(class, m) {
			e.Held = append(e.Held, laburnumlever.EngineModel{Name: name, Adapters: make([]laburnumlever.AdapterName, r.IntN(3))})
		}
	}
	e.InMemory, e.OnDisk = some(2), some(6)
	if len(e.Held) > 0 && r.IntN(6) == 0 {
		e.RecentlyLoaded = append(e.RecentlyLoaded, e.Held[r.IntN(len(e.Held))].Name)
	}
	if len(e.Held) > 0 && !e.Idle {
		name := e.Held[r.IntN(len(e.Held))].Name
		if r.IntN(2) == 0 {
			e.Loading, e.IdleInSeconds = name, 5*r.Float64()
		} else {
			e.Unloading = name
		}
	}
	return e
}
