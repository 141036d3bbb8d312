package laburnumresidency

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever"
)

func testClass(models int) *laburnumlever.EngineClass {
	class := &laburnumlever.EngineClass{Slots: 24, WeightsMB: 200000, AdapterSlots: 8, LoadsPerSecond: 3}
	for i := range models {
		class.Models = append(class.Models, laburnumlever.ModelClass{
			Name: laburnumlever.ModelName(fmt.Sprintf("m%d", i)), WeightsMB: 72700,
			StoreLoad: laburnumlever.Duration(4.2e9), DiskLoad: laburnumlever.Duration(0.84e9), MemoryLoad: laburnumlever.Duration(0.63e9),
		})
	}
	return class
}

func testEngine(id int, models ...string) Engine {
	e := Engine{ID: laburnumlever.BackendID(fmt.Sprintf("e%d", id)), Idle: true}
	for _, m := range models {
		e.Held = append(e.Held, laburnumlever.EngineModel{Name: laburnumlever.ModelName(m)})
	}
	return e
}

// Guards against a model that stays missing after the only engine that held it has failed, or is restored by evicting a last copy.
func TestMissingModelIsRestored(t *testing.T) {
	class := testClass(5)
	engines := []Engine{testEngine(1, "m0", "m1"), testEngine(2, "m0", "m2"), testEngine(3, "m0", "m3")}
	steps := NextSteps(class, engines, Demand{"m0": 0.04}, nil)
	require.Len(t, steps, 1)
	require.Equal(t, laburnumlever.Unload, steps[0].Kind)
	require.Equal(t, laburnumlever.ModelName("m0"), steps[0].Model)

	engines = []Engine{testEngine(1, "m1"), testEngine(2, "m0", "m2"), testEngine(3, "m0", "m3")}
	steps = NextSteps(class, engines, Demand{"m0": 0.04}, nil)
	require.Equal(t, []Step{{
		Engine: "e1", Kind: laburnumlever.Load, Model: "m4", FromStore: true, Reason: "no engine holds the model",
	}}, steps)
}

// Guards against loads from the weight store when an engine has the weights on its disk.
func TestLoadsPreferTheLocalDisk(t *testing.T) {
	engines := []Engine{testEngine(1, "m0"), testEngine(2, "m0")}
	engines[1].OnDisk = []laburnumlever.ModelName{"m1"}
	steps := NextSteps(testClass(2), engines, Demand{}, nil)
	require.Len(t, steps, 1)
	require.Equal(t, laburnumlever.BackendID("e2"), steps[0].Engine)
	require.False(t, steps[0].FromStore)
}

// Guards against a busy model that keeps a single copy after demand has moved to it.
func TestBusyModelGetsCopies(t *testing.T) {
	engines := []Engine{testEngine(1, "m0", "m1"), testEngine(2, "m2", "m0"), testEngine(3, "m2", "m0")}
	steps := NextSteps(testClass(3), engines, Demand{"m1": 0.9}, nil)
	require.NotEmpty(t, steps)
	for _, step := range steps {
		require.Equal(t, laburnumlever.Unload, step.Kind)
		require.NotEqual(t, laburnumlever.BackendID("e1"), step.Engine)
	}

	engines[1] = testEngine(2, "m2")
	steps = NextSteps(testClass(3), engines, Demand{"m1": 0.9}, nil)
	require.Equal(t, laburnumlever.ModelName("m1"), steps[0].Model)
	require.Equal(t, laburnumlever.BackendID("e2"), steps[0].Engine)
}

// Guards against loads without benefit, which take capacity of the weight store that a missing model may need.
func TestStableFleetNeedsNoSteps(t *testing.T) {
	demand := Demand{"m0": 0.2, "m1": 0.2, "m2": 0.15}
	full := []Engine{testEngine(1, "m0", "m1"), testEngine(2, "m2", "m0"), testEngine(3, "m1", "m2")}
	require.Empty(t, NextSteps(testClass(3), full, demand, nil))
	roomy := []Engine{testEngine(1, "m0", "m1"), testEngine(2, "m2", "m0"), testEngine(3)}
	require.Empty(t, NextSteps(testClass(3), roomy, Demand{"m0": 0.04, "m1": 0.04, "m2": 0.04}, nil))
	require.Empty(t, NextSteps(testClass(3), full, Demand{}, nil), "no requests yet")
}

// Guards against free memory that stays unused until demand has moved and callers are refused.
func TestFillPrefersMostDemandPerCopy(t *testing.T) {
	demand := Demand{"m0": 0.2, "m1": 0.2, "m2": 0.15}
	engines := []Engine{testEngine(1, "m0", "m1"), testEngine(2, "m2", "m0"), testEngine(3)}
	var loaded []string
	for range 2 {
		steps := NextSteps(testClass(3), engines, demand, nil)
		require.Len(t, steps, 1)
		require.Equal(t, laburnumlever.Load, steps[0].Kind)
		require.Equal(t, laburnumlever.BackendID("e3"), steps[0].Engine)
		loaded = append(loaded, string(steps[0].Model))
		engines[2] = testEngine(3, loaded...)
	}
	require.Equal(t, []string{"m1", "m2"}, loaded)
	require.Empty(t, NextSteps(testClass(3), engines, demand, nil))
}

// Guards against free memory that stays unused after a start, before any requests.
func TestFillBeforeDemandFollowsInitialCopies(t *testing.T) {
	engines := []Engine{testEngine(1, "m0", "m1"), testEngine(2, "m2", "m0"), testEngine(3)}
	steps := NextSteps(testClass(3), engines, Demand{}, nil)
	require.Len(t, steps, 1)
	// m0 was initially placed on two engines.
	require.Equal(t, laburnumlever.ModelName("m0"), steps[0].Model)
}

// Guards against steps that overcommit an engine's memory, which would crash it.
func TestNoStepExceedsTheMemory(t *testing.T) {
	class := testClass(9)
	engines := []Engine{testEngine(1), testEngine(2), testEngine(3, "m0"), testEngine(4, "m1", "m0")}
	demand := Demand{}
	for round := range 200 {
		demand[laburnumlever.ModelName(fmt.Sprintf("m%d", round%9))] = float64(round%30) / 25
		for _, step := range NextSteps(class, engines, demand, nil) {
			for i := range engines {
				e := &engines[i]
				if e.ID != step.Engine {
					continue
				}
				if step.Kind == laburnumlever.Load {
					e.Held = append(e.Held, laburnumlever.EngineModel{Name: step.Model})
				} else {
					kept := e.Held[:0]
					for _, h := range e.Held {
						if h.Name != step.Model {
							kept = append(kept, h)
						}
					}
					e.Held = kept
				}
				require.LessOrEqual(t, e.usedMB(class), class.WeightsMB)
			}
		}
		for i := range engines {
			engines[i].Idle, engines[i].Loading, engines[i].Unloading = true, "", ""
		}
	}
	copies := map[laburnumlever.ModelName]int{}
	for _, e := range engines {
		for _, h := range e.Held {
			copies[h.Name]++
		}
	}
	require.Len(t, copies, 8, "four engines with memory for two models each hold eight models")
}

// Guards against a load that crashes an engine, since a model that has left the manifest is not counted in the engine's memory.
func TestModelThatLeftTheManifestOccupiesMemory(t *testing.T) {
	class := testClass(2)
	engines := []Engine{testEngine(1, "withdrawn", "m0"), testEngine(2, "withdrawn", "m0")}
	for _, step := range NextSteps(class, engines, Demand{"m1": 0.5}, nil) {
		require.NotEqual(t, laburnumlever.Load, step.Kind, "%v beside two models, with memory for two", step)
	}
	require.False(t, engines[0].HasMemoryFor(class, class.Models[1]))
}

// Guards against adapters that evict each other because a model's only engine has fewer slots than adapters are in use.
func TestAdapterSlotShortageAddsACopy(t *testing.T) {
	engines := []Engine{testEngine(1, "m0", "m1"), testEngine(2, "m2")}
	steps := NextSteps(testClass(3), engines, Demand{"m0": 0.04}, map[laburnumlever.ModelName]int{"m0": 12})
	require.Len(t, steps, 1)
	require.Equal(t, laburnumlever.ModelName("m0"), steps[0].Model)
	require.Equal(t, laburnumlever.BackendID("e2"), steps[0].Engine)
	require.Empty(t, NextSteps(testClass(3), engines, Demand{"m0": 0.04}, map[laburnumlever.ModelName]int{"m0": 8}))
}

// Guards against loading two models in turns under alternating demand, by evicting a copy that was just loaded.
func TestRecentCopyIsNotEvicted(t *testing.T) {
	engines := []Engine{testEngine(1, "m0", "m1"), testEngine(2, "m2", "m0"), testEngine(3, "m2", "m0")}
	engines[1].RecentlyLoaded = []laburnumlever.ModelName{"m2", "m0"}
	engines[2].RecentlyLoaded = []laburnumlever.ModelName{"m2", "m0"}
	require.Empty(t, NextSteps(testClass(3), engines, Demand{"m1": 0.9}, nil))
}

// Guards against eviction of a model's only ready copy while its second copy is loading.
func TestLoadingCopyDoesNotCountAsReady(t *testing.T) {
	engines := []Engine{testEngine(1, "m0", "m1"), testEngine(2, "m2", "m1"), testEngine(3, "m3", "m2")}
	engines[1].Loading, engines[1].Idle = "m1", false
	for _, step := range NextSteps(testClass(5), engines, Demand{"m4": 1, "m1": 0.1}, nil) {
		require.NotEqual(t, laburnumlever.ModelName("m1"), step.Model)
	}
}

// BenchmarkNext measures a round on fleets of increasing size. Each engine holds two models, up to
// sixty models are busy, and those that no engine holds are missing.
func BenchmarkNext(b *testing.B) {
	for _, size := range []struct{ engines, models, busy int }{{12, 21, 12}, {60, 111, 12}, {112, 135, 12}, {204, 353, 60}, {600, 1000, 60}, {2100, 370, 60}} {
		b.Run(fmt.Sprintf("engines=%d/models=%d", size.engines, size.models), func(b *testing.B) {
			class := testClass(size.models)
			demand := Demand{}
			var engines []Engine
			for i := range size.engines {
				engines = append(engines, testEngine(i, fmt.Sprintf("m%d", i%size.models), fmt.Sprintf("m%d", (i*7+1)%size.models)))
				if i < size.busy {
					demand[laburnumlever.ModelName(fmt.Sprintf("m%d", i))] = 2
				}
			}
			for b.Loop() {
				NextSteps(class, engines, demand, nil)
			}
		})
	}
}

// Guards against a missing busy model that is never loaded because all memory holds last copies of rarely used models.
func TestMissingBusyModelEvictsALastCopy(t *testing.T) {
	engines := []Engine{testEngine(1, "m1", "m2"), testEngine(2, "m3", "m4"), testEngine(3, "m5", "m6")}
	rates := map[laburnumlever.ModelName]float64{"m0": 90}
	demand := Demand{"m0": 2}
	for i := 1; i < 7; i++ {
		name := laburnumlever.ModelName(fmt.Sprintf("m%d", i))
		rates[name], demand[name] = 0.5, 0.01
	}
	keeps := WithPolicy(DefaultPolicy().WithDisplacement(false))
	steps := NextSteps(testClass(7), engines, demand, nil, WithRequests(rates), keeps)
	require.Len(t, steps, 1)
	require.Equal(t, laburnumlever.Unload, steps[0].Kind)

	engines[0] = testEngine(1, "m2")
	steps = NextSteps(testClass(7), engines, demand, nil, WithRequests(rates), keeps)
	require.Equal(t, []Step{{Engine: "e1", Kind: laburnumlever.Load, Model: "m0", FromStore: true, Reason: "no engine holds the model"}}, steps)

	engines[0] = testEngine(1, "m0", "m2")
	require.Empty(t, NextSteps(testClass(7), engines, demand, nil, WithRequests(rates), keeps), "the missing model waits: no other has fewer requests")
}

// Guards against a model with the work of several engines on one, while others hold last copies of rarely used models.
func TestOverloadedModelDisplacesRarelyUsedOnes(t *testing.T) {
	rates := map[laburnumlever.ModelName]float64{"m0": 90}
	demand := Demand{"m0": 2.4}
	for i := 1; i < 6; i++ {
		name := laburnumlever.ModelName(fmt.Sprintf("m%d", i))
		rates[name], demand[name] = 0.5, 0.01
	}
	engines := []Engine{testEngine(1, "m0", "m1"), testEngine(2, "m2", "m3"), testEngine(3, "m4", "m5")}
	unloads := func() int {
		steps := NextSteps(testClass(6), engines, demand, nil, WithRequests(rates))
		for _, s := range steps {
			require.Equal(t, laburnumlever.Unload, s.Kind)
			require.NotEqual(t, laburnumlever.ModelName("m0"), s.Model)
		}
		return len(steps)
	}
	require.Equal(t, 2, unloads())
	demand["m0"] = 0.9
	require.Zero(t, unloads(), "the work of one engine")
	demand["m0"], rates["m2"], rates["m3"], rates["m4"], rates["m5"] = 2.4, 40, 40, 40, 40
	require.Zero(t, unloads(), "the other models have requests too")
}

// Guards against a busy model that stays on one engine because all other memory holds models without requests.
func TestQuietModelsAreEvicted(t *testing.T) {
	quiet := map[laburnumlever.ModelName]bool{"m2": true, "m3": true}
	engines := []Engine{testEngine(1, "m0", "m1"), testEngine(2, "m2", "m3")}
	rates := map[laburnumlever.ModelName]float64{"m0": 30, "m1": 1}
	steps := NextSteps(testClass(4), engines, Demand{"m0": 0.9}, nil, WithRequests(rates), WithQuiet(quiet))
	require.Len(t, steps, 1)
	require.Equal(t, laburnumlever.Unload, steps[0].Kind)
	require.Equal(t, laburnumlever.BackendID("e2"), steps[0].Engine)

	engines[1] = testEngine(2, "m0", "m3")
	require.Empty(t, NextSteps(testClass(4), engines, Demand{"m0": 0.4}, nil, WithRequests(rates), WithQuiet(quiet)), "m2 waits for free memory")
	engines = append(engines, testEngine(3))
	steps = NextSteps(testClass(4), engines, Demand{"m0": 0.4}, nil, WithRequests(rates), WithQuiet(quiet))
	require.Contains(t, steps, Step{Engine: "e3", Kind: laburnumlever.Load, Model: "m2", FromStore: true, Reason: "no engine holds the model"})

	rates["m2"] = 1
	steps = NextSteps(testClass(4), engines[:2], Demand{"m0": 0.4}, nil, WithRequests(rates), WithQuiet(map[laburnumlever.ModelName]bool{"m3": true}))
	require.Equal(t, []Step{{Engine: "e2", Kind: laburnumlever.Unload, Model: "m3", Reason: "frees memory for a load: no engine holds the model"}}, steps, "m2 has requests")
}

// Guards against a missing model that waits for a busy engine while another is ready sooner.
func TestMissingModelLoadsWhereSoonest(t *testing.T) {
	engines := []Engine{testEngine(1, "m1"), testEngine(2, "m1", "m2"), testEngine(3, "m2", "m3")}
	engines[0].Idle, engines[0].Loading, engines[0].IdleInSeconds = false, "m1", 4
	engines[0].Held = nil
	engines[1].OnDisk = []laburnumlever.ModelName{"m0"}
	engines[2].Held = append(engines[2].Held[:0], laburnumlever.EngineModel{Name: "m3"}, laburnumlever.EngineModel{Name: "m2"})
	rates := map[laburnumlever.ModelName]float64{"m0": 50, "m1": 1, "m2": 1, "m3": 1}
	steps := NextSteps(testClass(4), engines, Demand{"m0": 1}, nil, WithRequests(rates))
	require.NotEmpty(t, steps)
	require.Equal(t, laburnumlever.BackendID("e2"), steps[0].Engine)
	require.Equal(t, laburnumlever.ModelName("m2"), steps[0].Model)
}

// Guards against loading the less requested of two missing models first, when the weight store has capacity for one load.
func TestStoreLoadsHighestDemandFirst(t *testing.T) {
	engines := []Engine{testEngine(1), testEngine(2)}
	rates := map[laburnumlever.ModelName]float64{"m0": 0.5, "m1": 40}
	steps := NextSteps(testClass(2), engines, Demand{"m1": 0.4}, nil, WithRequests(rates))
	require.Len(t, steps, 2)
	require.Equal(t, laburnumlever.ModelName("m1"), steps[0].Model)
}

// Guards against refusing all requests for the most requested model after its only engine has failed.
func TestModelWithMostRequestsGetsASecondCopy(t *testing.T) {
	engines := []Engine{testEngine(1, "m0", "m1"), testEngine(2, "m2")}
	rates := map[laburnumlever.ModelName]float64{"m0": 60, "m1": 1, "m2": 1}
	steps := NextSteps(testClass(3), engines, Demand{"m0": 0.1}, nil, WithRequests(rates))
	require.Equal(t, []Step{{Engine: "e2", Kind: laburnumlever.Load, Model: "m0", FromStore: true, Reason: "relieves a busy engine"}}, steps)
}

// Guards against an overloaded model that waits for seconds until a smaller, rarely used one is relocated.
func TestOverloadEvictsWithoutRelocation(t *testing.T) {
	class := testClass(5)
	class.Models[0].WeightsMB = 120000
	class.Models[4].WeightsMB = 100000
	engines := []Engine{testEngine(1, "m0", "m1"), testEngine(2, "m2", "m3"), testEngine(3, "m4")}
	engines[2].OnDisk = []laburnumlever.ModelName{"m2", "m3"}
	rates := map[laburnumlever.ModelName]float64{"m0": 90, "m1": 0.5, "m2": 0.5, "m3": 0.5, "m4": 0.5}
	kinds := func(work float64) map[laburnumlever.OrderKind]int {
		counts := map[laburnumlever.OrderKind]int{}
		for _, s := range NextSteps(class, engines, Demand{"m0": work}, nil, WithRequests(rates), WithPolicy(DefaultPolicy().WithDisplacement(false))) {
			counts[s.Kind]++
		}
		return counts
	}
	require.Equal(t, map[laburnumlever.OrderKind]int{laburnumlever.Load: 1, laburnumlever.Unload: 1}, kinds(4))
	require.Equal(t, map[laburnumlever.OrderKind]int{laburnumlever.Load: 1}, kinds(1.5), "relocated first, as no copy is overloaded")
}

// Guards against concurrent loads from the weight store that slow each other down.
func TestConcurrentStoreLoadsAreLimited(t *testing.T) {
	class := testClass(6)
	// Three loads of 4.2 s each use up this rate.
	class.LoadsPerSecond = 0.8
	rates := map[laburnumlever.ModelName]float64{"m4": 9, "m5": 5, "m0": 1}
	engines := []Engine{testEngine(1), testEngine(2), testEngine(3), testEngine(4), testEngine(5)}
	engines[0].Idle, engines[0].Loading, engines[0].IdleInSeconds = false, "m3", 2
	engines[0].Held = []laburnumlever.EngineModel{{Name: "m3"}}
	engines[4].OnDisk = []laburnumlever.ModelName{"m0"}
	steps := NextSteps(class, engines, Demand{"m4": 0.4, "m5": 0.2}, nil, WithRequests(rates))
	var fromStore []laburnumlever.ModelName
	for _, s := range steps {
		if s.FromStore {
			fromStore = append(fromStore, s.Model)
		}
	}
	require.Equal(t, []laburnumlever.ModelName{"m4", "m5"}, fromStore, "one load is in progress, and the models with most requests come first")
	require.Greater(t, len(steps), len(fromStore), "loads from an engine's disk don't use the store")
}

// Guards against loads into free memory that delay loads of models with waiting callers.
func TestFillWaitsForLoadsInProgress(t *testing.T) {
	engines := []Engine{testEngine(1, "m0", "m1"), testEngine(2, "m2", "m0"), testEngine(3)}
	demand := Demand{"m0": 0.2, "m1": 0.2, "m2": 0.15}
	require.NotEmpty(t, NextSteps(testClass(3), engines, demand, nil))
	engines[1].Idle, engines[1].Loading = false, "m0"
	require.Empty(t, NextSteps(testClass(3), engines, demand, nil))
}
