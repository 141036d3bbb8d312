package laburnumplacement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumplacement"

	"github.com/stretchr/testify/require"
)

// engineIn returns an engine with two accelerators of mib MiB each.
func engineIn(id, zone string, mib int) laburnumplacement.Engine {
	return laburnumplacement.Engine{
		ID: laburnumlever.BackendID(id), Zone: laburnumlever.ZoneName(zone), Serving: true, AcceptsOrders: true,
		TokensPerSecond: 1000, PrefillTokensPerSecond: 10000,
		Accelerators: []laburnumlever.Accelerator{{ID: "a0", MemoryMiB: mib}, {ID: "a1", MemoryMiB: mib}},
	}
}

// catalogueOf returns a catalogue of n models of mib MiB each.
func catalogueOf(n, mib int) laburnumlever.Catalogue {
	c := laburnumlever.Catalogue{Deployment: laburnumlever.Deployment{MoveCost: 0.5}}
	for i := range n {
		c.Models = append(c.Models, laburnumlever.Model{Name: laburnumlever.ModelName(fmt.Sprintf("m%02d", i)), Version: "v1", WeightsMiB: mib})
	}
	return c
}

// applyMoves carries out all moves at once, as engines would; loaded copies are ready and stable.
func applyMoves(t *testing.T, s *laburnumplacement.Snapshot, moves []laburnumplacement.Move) {
	for _, m := range moves {
		i := slices.IndexFunc(s.Engines, func(e laburnumplacement.Engine) bool { return e.ID == m.Engine })
		e := &s.Engines[i]
		e.Copies = slices.DeleteFunc(slices.Clone(e.Copies), func(c laburnumplacement.Copy) bool {
			return c.Model == m.Copy.Model && c.Version == m.Copy.Version && slices.Equal(c.Accelerators, m.Copy.Accelerators)
		})
		if m.Kind == laburnumlever.Load {
			c := laburnumplacement.Copy{ModelCopy: m.Copy, Stable: true}
			c.Ready = true
			e.Copies = append(e.Copies, c)
		}
		for _, a := range e.Accelerators {
			used := 0
			for _, c := range e.Copies {
				if slices.Contains(c.Accelerators, a.ID) {
					used += c.PartMiB
				}
			}
			require.LessOrEqual(t, used, a.MemoryMiB)
		}
	}
}

// converge plans and applies rounds until there are no more moves and returns those made. After
// each round it checks that no model has become unreachable.
func converge(t *testing.T, s *laburnumplacement.Snapshot) []laburnumplacement.Move {
	var all []laburnumplacement.Move
	wasReachable := make(map[laburnumlever.ModelName]bool)
	for range 30 {
		plan := laburnumplacement.NewPlanner().Plan(*s)
		if len(plan.Moves) == 0 {
			return all
		}
		applyMoves(t, s, plan.Moves)
		for _, m := range s.Catalogue.Models {
			reachable := len(zonesOf(*s, m.Name)) > 0
			require.True(t, reachable || !wasReachable[m.Name], "%s became unreachable", m.Name)
			wasReachable[m.Name] = reachable
		}
		all = append(all, plan.Moves...)
	}
	require.Fail(t, "planning did not converge in 30 rounds")
	return all
}

// zonesOf returns the zones with a copy of the model on a serving engine.
func zonesOf(s laburnumplacement.Snapshot, name laburnumlever.ModelName) []laburnumlever.ZoneName {
	var zones []laburnumlever.ZoneName
	for _, e := range s.Engines {
		for _, c := range e.Copies {
			if c.Model == name && e.Serving && !slices.Contains(zones, e.Zone) {
				zones = append(zones, e.Zone)
			}
		}
	}
	return zones
}

func TestEveryModelInTwoZones(t *testing.T) {
	s := laburnumplacement.Snapshot{Catalogue: catalogueOf(9, 40), Engines: []laburnumplacement.Engine{
		engineIn("e1", "a", 100), engineIn("e2", "a", 100), engineIn("e3", "b", 100), engineIn("e4", "b", 120),
	}}
	s.Catalogue.Models[3].Accelerators = 2
	converge(t, &s)
	for _, m := range s.Catalogue.Models {
		require.Len(t, zonesOf(s, m.Name), 2, m.Name)
	}
}

// Guards against an unreachable model during a version change without room for all new copies beside the old ones.
func TestVersionSwitchWithoutGap(t *testing.T) {
	s := laburnumplacement.Snapshot{Catalogue: catalogueOf(8, 40), Engines: []laburnumplacement.Engine{
		engineIn("e1", "a", 100), engineIn("e2", "a", 100), engineIn("e3", "b", 100), engineIn("e4", "b", 100),
	}}
	// converge checks after each round that every model stays reachable.
	converge(t, &s)
	for i := range s.Catalogue.Models {
		s.Catalogue.Models[i].Version = "v2"
	}
	converge(t, &s)
	for _, e := range s.Engines {
		for _, c := range e.Copies {
			require.Equal(t, laburnumlever.Version("v2"), c.Version)
		}
	}
}

// Guards against refused requests after engines fail in a full fleet, or a repair that evicts the last copy of a model.
func TestLostEngineIsRepairedFromSurplus(t *testing.T) {
	s := laburnumplacement.Snapshot{Catalogue: catalogueOf(8, 50), Engines: []laburnumplacement.Engine{
		engineIn("e1", "a", 100), engineIn("e2", "a", 100), engineIn("e3", "b", 100), engineIn("e4", "b", 100),
	}}
	converge(t, &s)
	s.Engines[0].Serving, s.Engines[0].AcceptsOrders = false, false
	s.Engines[2].Serving, s.Engines[2].AcceptsOrders = false, false
	converge(t, &s)
	for _, m := range s.Catalogue.Models {
		require.NotEmpty(t, zonesOf(s, m.Name), m.Name)
	}
}

// Guards against copies placed on a leaving engine, and against models that are unreachable once it stops.
func TestLeavingEngineIsReplaced(t *testing.T) {
	s := laburnumplacement.Snapshot{Catalogue: catalogueOf(4, 40), Engines: []laburnumplacement.Engine{
		engineIn("e1", "a", 100), engineIn("e2", "b", 100), engineIn("e3", "b", 100),
	}}
	converge(t, &s)
	s.Engines[0].Leaving, s.Engines[0].AcceptsOrders = true, false
	for _, m := range converge(t, &s) {
		require.NotEqual(t, laburnumlever.BackendID("e1"), m.Engine)
	}
	s.Engines[0].Serving = false
	require.Empty(t, converge(t, &s))
	for _, m := range s.Catalogue.Models {
		require.NotEmpty(t, zonesOf(s, m.Name), m.Name)
	}
}

func TestReplicasFollowDemandAndMoveCost(t *testing.T) {
	for _, c := range []struct {
		price float64
		loads int
	}{{price: 0.1, loads: 2}, {price: 100, loads: 0}} {
		s := laburnumplacement.Snapshot{Catalogue: catalogueOf(2, 40), Engines: []laburnumplacement.Engine{
			engineIn("e1", "a", 100), engineIn("e2", "a", 100), engineIn("e3", "b", 100), engineIn("e4", "b", 100),
		}}
		s.Catalogue.Deployment.MoveCost = c.price
		converge(t, &s)
		rates := laburnumplacement.Rates{Requests: 40, AnswerTokens: 4000}
		s.Demand = map[laburnumlever.ModelName]laburnumplacement.Demand{"m00": {Now: rates, Peak: rates}}
		require.Len(t, converge(t, &s), c.loads)
	}
}

func TestFits(t *testing.T) {
	var backends []laburnumlever.Backend
	for i, zone := range []laburnumlever.ZoneName{"a", "b"} {
		backends = append(backends, laburnumlever.Backend{Announcement: laburnumlever.Announcement{
			Backend: laburnumlever.BackendID(fmt.Sprint(i)), Zone: zone, Accelerators: []laburnumlever.Accelerator{{ID: "a0", MemoryMiB: 100}},
		}})
	}
	fitting := catalogueOf(2, 50)
	fitting.Deployment.Zones = []laburnumlever.ZoneName{"a", "b"}
	fitting.Deployment.WeightStore.ParallelLoads = 2
	warnings, err := laburnumplacement.Fits(fitting, backends)
	require.NoError(t, err)
	require.Empty(t, warnings)
	fitting.Deployment.Zones = fitting.Deployment.Zones[:1]
	warnings, err = laburnumplacement.Fits(fitting, backends)
	require.NoError(t, err)
	require.Equal(t, []string{"zone b has engines but is not among the deployment's zones: nothing can be loaded there"}, warnings)
	warnings, err = laburnumplacement.Fits(catalogueOf(3, 50), backends)
	require.NoError(t, err)
	require.Contains(t, warnings[0], "without zone a the fleet lacks 50 MiB")
	_, err = laburnumplacement.Fits(catalogueOf(5, 50), backends)
	var shortfall *laburnumlever.DoesNotFitError
	require.ErrorAs(t, err, &shortfall)
	require.Equal(t, 50, shortfall.ShortfallMiB)
}

func TestZoneQuotasAddUpToStoreLimits(t *testing.T) {
	d := laburnumlever.Deployment{
		Zones:       []laburnumlever.ZoneName{"a", "b", "c", "d"},
		WeightStore: laburnumlever.WeightStore{LoadsPerSecond: 1.5, ParallelLoads: 7},
	}
	parallel, rate := 0, 0.0
	for _, zone := range d.Zones {
		quota := laburnumplacement.LoadQuotaOf(d, zone)
		require.Positive(t, quota.ParallelLoads)
		parallel += quota.ParallelLoads
		rate += float64(time.Second) / float64(quota.Interval)
	}
	require.Equal(t, 7, parallel)
	require.InDelta(t, 1.5, rate, 1e-6)
	require.Zero(t, laburnumplacement.LoadQuotaOf(d, "elsewhere").ParallelLoads)
	now := time.Unix(0, 0)
	quota := laburnumplacement.LoadQuotaOf(d, "a")
	limiter := laburnumplacement.NewLoadLimiter(now, quota)
	require.False(t, limiter.Ready(now, quota, 0))
	require.True(t, limiter.Ready(now.Add(quota.Interval), quota, 1))
	require.False(t, limiter.Ready(now.Add(quota.Interval), quota, 2))
}

// Guards against endless loads because an evicted copy frees nothing while its load order may still arrive.
func TestCopyWithReservedMemoryIsNotEvicted(t *testing.T) {
	s := laburnumplacement.Snapshot{Catalogue: catalogueOf(2, 60), Engines: []laburnumplacement.Engine{engineIn("e0", "a", 100)}}
	converge(t, &s)
	reserved := engineIn("e1", "a", 100)
	reserved.Copies = []laburnumplacement.Copy{
		{ModelCopy: s.Engines[0].Copies[0].ModelCopy, Stable: true, StaysReserved: true},
		{ModelCopy: s.Engines[0].Copies[1].ModelCopy, Stable: true, StaysReserved: true},
	}
	s.Engines = []laburnumplacement.Engine{reserved, s.Engines[0]}
	s.Catalogue.Models = append(s.Catalogue.Models, laburnumlever.Model{Name: "new", Version: "v1", WeightsMiB: 70})
	plan := laburnumplacement.NewPlanner().Plan(s)
	for _, m := range plan.Moves {
		require.NotEqual(t, laburnumlever.BackendID("e1"), m.Engine)
	}
	for i := range reserved.Copies {
		s.Engines[0].Copies[i].StaysReserved = false
	}
	converge(t, &s)
	isNewModel := func(c laburnumplacement.Copy) bool { return c.Model == "new" }
	require.True(t, slices.ContainsFunc(s.Engines[0].Copies, isNewModel) || slices.ContainsFunc(s.Engines[1].Copies, isNewModel))
}

// Guards against refused requests when a leaving engine with the only copies of its models stops.
func TestOnlyCopiesOnLeavingEngineAreReplaced(t *testing.T) {
	s := laburnumplacement.Snapshot{Catalogue: catalogueOf(4, 40), Engines: []laburnumplacement.Engine{engineIn("e1", "a", 100)}}
	converge(t, &s)
	s.Engines[0].Leaving, s.Engines[0].AcceptsOrders = true, false
	s.Engines = append(s.Engines, engineIn("e2", "a", 100))
	converge(t, &s)
	require.Len(t, s.Engines[1].Copies, len(s.Catalogue.Models))
}

// Guards against a copy that keeps its old size for good, since the grown one fits on no engine without other copies making room.
func TestGrownCopyGetsRoomFromOthers(t *testing.T) {
	const before, after = 24, 54
	for _, zones := range [][2]laburnumlever.ZoneName{{"a", "b"}, {"b", "a"}} {
		s := laburnumplacement.Snapshot{Catalogue: catalogueOf(4, 60), OwnZone: zones[0]}
		s.Catalogue.Models[0].WeightsMiB = after
		held := func(e laburnumplacement.Engine, model int, accelerator laburnumlever.AcceleratorID, mib int) laburnumplacement.Engine {
			c := laburnumplacement.Copy{Stable: true, ModelCopy: laburnumlever.ModelCopy{
				Model: s.Catalogue.Models[model].Name, Version: "v1", Accelerators: []laburnumlever.AcceleratorID{accelerator}, PartMiB: mib, Ready: true,
			}}
			e.Copies = append(e.Copies, c)
			return e
		}
		own, other := string(zones[0]), string(zones[1])
		s.Engines = []laburnumplacement.Engine{
			held(held(engineIn("e0", own, 100), 0, "a0", before), 1, "a0", 60),
			held(held(engineIn("e1", other, 100), 2, "a0", 60), 3, "a1", 60),
			held(held(engineIn("e2", own, 100), 2, "a0", 60), 3, "a1", 60),
			held(held(engineIn("e3", other, 100), 1, "a0", 60), 0, "a1", after),
		}
		converge(t, &s)
		for _, e := range s.Engines {
			for _, c := range e.Copies {
				m, ok := s.Catalogue.Model(c.Model)
				require.True(t, ok)
				require.Equal(t, m.PartMiB(), c.PartMiB, "%s on %s", c.Model, e.ID)
			}
		}
		for _, m := range s.Catalogue.Models {
			require.Len(t, zonesOf(s, m.Name), 2, m.Name)
		}
	}
}
