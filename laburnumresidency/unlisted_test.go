package laburnumresidency

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever"
)

// Guards against an engine that is blocked for good by a model that has left the manifest.
func TestUnlistedModelIsUnloadedBeforeALoad(t *testing.T) {
	class := testClass(2)
	engines := []Engine{testEngine(1, "withdrawn", "m0")}
	quiet := WithQuiet(map[laburnumlever.ModelName]bool{"withdrawn": true})
	unload := []Step{{Engine: "e1", Kind: laburnumlever.Unload, Model: "withdrawn", Reason: "the manifest no longer lists the model"}}
	require.Equal(t, unload, NextSteps(class, engines, Demand{"m1": 0.5}, nil, quiet))

	engines[0].Unloading = "withdrawn"
	require.Empty(t, NextSteps(class, engines, Demand{"m1": 0.5}, nil, quiet), "it still occupies its memory")

	engines[0] = testEngine(1, "m0")
	require.Equal(t, []Step{{Engine: "e1", Kind: laburnumlever.Load, Model: "m1", FromStore: true, Reason: "no engine holds the model"}},
		NextSteps(class, engines, Demand{"m1": 0.5}, nil, quiet))

	engines[0] = testEngine(1, "withdrawn", "m0", "m1")
	require.Equal(t, unload, NextSteps(class, engines, Demand{}, nil, quiet), "its memory is of use to adapters, without a load")
}

// Guards against the unload of a model that has left the manifest and still has requests, for one with fewer.
func TestUnlistedModelInUseIsEvictedLikeOthers(t *testing.T) {
	class := testClass(2)
	rates := map[laburnumlever.ModelName]float64{"withdrawn": 4, "m1": 5}
	engines := []Engine{testEngine(1, "withdrawn", "m0")}
	steps := func() []Step { return NextSteps(class, engines, Demand{"m1": 0.5}, nil, WithRequests(rates)) }
	require.Empty(t, steps(), "about as many requests")

	rates["m1"] = 50
	require.Equal(t, []Step{{Engine: "e1", Kind: laburnumlever.Unload, Model: "withdrawn", Reason: "the manifest no longer lists the model"}}, steps(), "a missing model with far more")

	rates["m1"] = 5
	engines = append(engines, testEngine(2, "withdrawn", "m0"))
	require.Len(t, steps(), 1, "one of two copies, not both")

	engines[1] = testEngine(2, "m0")
	require.Equal(t, []Step{{Engine: "e2", Kind: laburnumlever.Load, Model: "m1", FromStore: true, Reason: "no engine holds the model"}}, steps(), "another engine has free memory")
}

// Guards against more concurrent loads from the weight store than it has capacity for, after the manifest drops a model that is loading.
func TestLoadOfAnUnlistedModelUsesTheStore(t *testing.T) {
	class := testClass(3)
	// One load of 4.2 s uses up this rate.
	class.LoadsPerSecond = 0.4
	engines := []Engine{testEngine(1), testEngine(2, "m0", "m1")}
	engines[0].Idle, engines[0].Loading, engines[0].IdleInSeconds = false, "withdrawn", 2
	engines[0].Held = []laburnumlever.EngineModel{{Name: "withdrawn"}}
	engines = append(engines, testEngine(3))
	require.Empty(t, NextSteps(class, engines, Demand{"m2": 0.4}, nil))

	engines[0].OnDisk = []laburnumlever.ModelName{"withdrawn"}
	require.NotEmpty(t, NextSteps(class, engines, Demand{"m2": 0.4}, nil), "a load from an engine's disk does not use the store")
}

// Guards against loads onto engines with unlisted models, and against engines on which such a model stays, for 300 random fleets.
func TestRandomFleetsLoadNothingBesideUnlistedModels(t *testing.T) {
	const fleets = 300
	blocked := 0
	for seed := range uint64(fleets) {
		f := randomFleet(seed)
		r := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // seeded, so that runs are repeatable
		quiet := map[laburnumlever.ModelName]bool{}
		f.class.Models = slices.DeleteFunc(f.class.Models, func(m laburnumlever.ModelClass) bool {
			quiet[m.Name] = r.IntN(2) == 0
			return r.IntN(4) == 0
		})
		unlistedOf := func(e Engine) []laburnumlever.ModelName {
			var names []laburnumlever.ModelName
			for _, h := range e.Held {
				if _, ok := f.class.Model(h.Name); !ok {
					names = append(names, h.Name)
				}
			}
			return names
		}
		steps := NextSteps(f.class, f.engines, f.demand, f.adapters, append(f.options, WithQuiet(quiet))...)
		for _, e := range f.engines {
			unlisted := unlistedOf(e)
			if len(unlisted) == 0 {
				continue
			}
			blocked++
			at := slices.IndexFunc(steps, func(s Step) bool { return s.Engine == e.ID })
			if at >= 0 {
				require.Equal(t, laburnumlever.Unload, steps[at].Kind, "seed %d: %v", seed, steps[at])
				require.Contains(t, unlisted, steps[at].Model, "seed %d", seed)
			}
			if e.Idle && e.Unloading == "" && slices.ContainsFunc(unlisted, func(name laburnumlever.ModelName) bool { return quiet[name] }) {
				require.GreaterOrEqual(t, at, 0, "seed %d: %s keeps a quiet unlisted model", seed, e.ID)
			}
		}
	}
	require.Greater(t, blocked, 500)
}
