package laburnumsimulation

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"laburnumlever"
)

func scenario(t testing.TB, name string) Scenario {
	t.Helper()
	s, err := Load(filepath.Join("..", "examples", "evaluation", name+".jsonc"))
	require.NoError(t, err)
	return s
}

func TestRunIsDeterministic(t *testing.T) {
	s := scenario(t, "exam")
	first := Run(s, productionPolicy(), 3)
	require.Equal(t, first, Run(s, productionPolicy(), 3))
	require.NotEqual(t, first.Value, Run(s, productionPolicy(), 4).Value)
	require.Equal(t, first.Requests, first.OnTime+first.Late+first.Refused+first.Failed, "each request ends once")
}

// Guards against a policy that orders an engine to load more than fits.
func TestNoPolicyOvercommitsAnEngine(t *testing.T) {
	for _, p := range Policies() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			o := Run(scenario(t, "exam"), p, 1)
			require.Zero(t, o.Overcommitted)
			require.Positive(t, o.OnTime)
		})
	}
}

func TestFewerEnginesServeLess(t *testing.T) {
	s := scenario(t, "carpets")
	require.Greater(t, Run(s, productionPolicy(), 1).Day, Run(s.WithEngines(s.Engines.Count/2), productionPolicy(), 1).Day+0.1)
}

// Guards against a simulation that does not tell apart policies that did worse on whole fleets.
func TestWorsePoliciesScoreLower(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates many days")
	}
	const seeds, workers = 16, 4
	s := scenario(t, "carpets")
	names := []string{"today", "slow-demand", "count-ends", "long-wait", "proportional"}
	var policies []Policy
	for _, name := range names {
		p, err := PolicyNamed(name)
		require.NoError(t, err)
		policies = append(policies, p)
	}
	table, err := Compare(context.Background(), s, policies, seeds, workers, func(int, int) {})
	require.NoError(t, err)
	for _, row := range table.Rows[1:] {
		require.Negative(t, row.Gain+row.GainInterval, row.Policy)
		require.GreaterOrEqual(t, row.Gain, table.Rows[4].Gain, "proportional is the worst")
	}
}

func TestCompareStopsOnCancelledContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := Compare(ctx, scenario(t, "exam"), []Policy{productionPolicy()}, 50, 1, func(int, int) {})
	require.ErrorIs(t, err, context.Canceled)
}

func TestLoadListsAllScenarioFaults(t *testing.T) {
	file := filepath.Join(t.TempDir(), "scenario.jsonc")
	text := `{
		"name": "bad", "length": "10s", "zones": [{"name": "a", "gateways": 0, "share": 1}],
		"engines": {"count": 2, "slots": 4, "step": "5ms", "read-tokens-per-ms": 30, "cache-tokens": 1000, "weights-mb": 100},
		"store": {"loads-per-second": 1},
		"models": {"count": 2, "kinds": [{"weights-mb": 200, "store-load": "1s", "disk-load": "1s", "memory-load": "1s"}]},
		"classes": [{"name": "c", "per-second": 1, "worth": 1, "target": "1s", "pause-target": "1s", "timeout": "5s", "to": 7, "prompt": {"mean": 10}, "answer": {"mean": 10}}],
		"events": [{"at": "1s", "kind": "burst"}, {"at": "1s", "kind": "shift"}],
	}`
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	_, err := Load(file)
	var invalid *ScenarioInvalidError
	require.True(t, errors.As(err, &invalid))
	var keys []string
	for _, f := range invalid.Faults {
		keys = append(keys, f.Key)
	}
	require.Equal(t, []string{"models.kinds[0].weights-mb", "zones[0].gateways", "classes[0].to", "events[0].factor", "events[1].places"}, keys)
}

func TestUnknownPolicyErrorListsKnownPolicies(t *testing.T) {
	_, err := PolicyNamed("tomorrow")
	require.ErrorContains(t, err, "today")
}

// newLoneEngine returns an empty engine and a request for each length of answer given.
func newLoneEngine(t *testing.T, answers ...int) (*simulation, *engine, []*run) {
	t.Helper()
	s := scenario(t, "exam")
	s.Engines.StepPerSlot = 0
	sim := newSimulation(s, productionPolicy(), 1)
	e := sim.engines[0]
	e.held = map[int]map[laburnumlever.AdapterName]bool{}
	var runs []*run
	for _, tokens := range answers {
		r := &run{attempt: &attempt{request: &request{sim: sim, class: &sim.scenario.Classes[0]}, gateway: sim.gateways[0]}, answerTokens: tokens}
		runs = append(runs, r)
	}
	return sim, e, runs
}

func TestAnswerTakesOneStepPerToken(t *testing.T) {
	sim, e, runs := newLoneEngine(t, 100, 50)
	e.batch.add(runs[0])
	e.batch.add(runs[1])
	step := time.Duration(sim.scenario.Engines.Step)
	sim.timers.advance(60 * step)
	require.Len(t, e.batch.running, 1)
	require.InDelta(t, 58, e.batch.written(runs[0]), 3)
	sim.timers.advance(60 * step)
	require.Empty(t, e.batch.running)
}

// Guards against pauses that are not measured: prefill of a long prompt delays running answers.
func TestPrefillPausesRunningAnswers(t *testing.T) {
	sim, e, runs := newLoneEngine(t, 100, 10)
	e.batch.add(runs[0])
	sim.timers.advance(10 * time.Duration(sim.scenario.Engines.Step))
	runs[1].uncachedTokens = sim.scenario.Engines.ChunkTokens
	e.batch.add(runs[1])
	sim.timers.advance(time.Second)
	read := time.Duration(float64(sim.scenario.Engines.ChunkTokens) / sim.scenario.Engines.ReadTokensPerMS * float64(time.Millisecond))
	require.GreaterOrEqual(t, runs[0].pause, read)
	require.Less(t, runs[1].pause, read, "its own answer starts after the prefill")
}

func TestPreemptsNewestOfLeastUrgent(t *testing.T) {
	sim, e, runs := newLoneEngine(t, 1000, 1000)
	runs[0].urgency, runs[1].urgency = 1, 1
	e.batch.add(runs[0])
	e.batch.add(runs[1])
	sim.timers.advance(time.Second)
	require.False(t, e.batch.preempt(1))
	require.True(t, e.batch.preempt(0))
	require.Equal(t, []*run{runs[1]}, e.batch.waiting)
	require.Positive(t, runs[1].written)
}

func TestClockRunsTimersInOrder(t *testing.T) {
	c := newClock(time.Unix(0, 0))
	var got []string
	c.After(20*time.Millisecond, func(time.Time) { got = append(got, "late") })
	c.After(10*time.Millisecond, func(time.Time) {
		got = append(got, "first")
		c.After(0, func(time.Time) { got = append(got, "second") })
	})
	c.After(5*time.Millisecond, func(time.Time) { got = append(got, "cancelled") })()
	cancel := c.Every(8*time.Millisecond, func(time.Time) { got = append(got, "every") })
	c.advance(20 * time.Millisecond)
	cancel()
	c.advance(20 * time.Millisecond)
	require.Equal(t, []string{"every", "first", "second", "every", "late"}, got)
	require.Equal(t, time.Unix(0, 0).Add(40*time.Millisecond), c.Now())
}

// BenchmarkDay runs one simulated day of 40 s per iteration.
func BenchmarkDay(b *testing.B) {
	for _, name := range []string{"exam", "carpets", "large"} {
		b.Run(name, func(b *testing.B) {
			s := scenario(b, name)
			for b.Loop() {
				Run(s, productionPolicy(), 1)
			}
		})
	}
}

// Guards against requests that crash engine after engine, and against refusing the innocent ones that their crashes end.
func TestCrashingRequestsAreStopped(t *testing.T) {
	const allowedRepeats = 3
	s := scenario(t, "crashing")
	served, err := PolicyNamed("no-quarantine")
	require.NoError(t, err)
	for seed := range uint64(5) {
		today, without := Run(s, productionPolicy(), seed), Run(s, served, seed)
		t.Logf("seed %d: %d crashes (%d without quarantine), %d late repeats (%d), day %.3f (%.3f), %d innocent requests refused",
			seed, today.Crashes, without.Crashes, today.LateRepeats, without.LateRepeats, today.Day, without.Day, today.Reasons["quarantined"])
		require.LessOrEqual(t, today.LateRepeats, allowedRepeats, "seed %d", seed)
		require.Greater(t, without.LateRepeats, allowedRepeats, "seed %d", seed)
		require.Greater(t, today.Day, without.Day, "seed %d", seed)
	}
}

// Guards against engines that get more than the limit that they name, and against refusing what other engines could serve.
func TestLimitsOfEnginesAreKept(t *testing.T) {
	s := scenario(t, "limits")
	ignored, err := PolicyNamed("no-limits")
	require.NoError(t, err)
	for seed := range uint64(5) {
		today, without := Run(s, productionPolicy(), seed), Run(s, ignored, seed)
		t.Logf("seed %d: %d over the limit (%d where it is ignored), day %.3f (%.3f), %d refused as limited", seed, today.OverLimit, without.OverLimit, today.Day, without.Day, today.Reasons["limited"])
		require.Zero(t, today.OverLimit, "seed %d", seed)
		require.Positive(t, without.OverLimit, "seed %d", seed)
	}
}

// Guards against gateways that lost their links to all engines and serve nobody.
func TestLostLinksAreMadeUpFor(t *testing.T) {
	s := scenario(t, "lost-links")
	without, err := PolicyNamed("no-help")
	require.NoError(t, err)
	for seed := range uint64(2) {
		today, alone := Run(s, productionPolicy(), seed), Run(s, without, seed)
		t.Logf("seed %d: day %.3f (%.3f without help), %d refused (%d)", seed, today.Day, alone.Day, today.Refused, alone.Refused)
		require.Greater(t, today.Day, alone.Day, "seed %d", seed)
		require.Less(t, today.Refused, alone.Refused/2, "seed %d", seed)
	}
}

// Guards against brittle engines that fall over in a burst, and against refusing what they could serve.
func TestBrittleEnginesStandABurst(t *testing.T) {
	const brittle = 6
	s := scenario(t, "brittle")
	without, err := PolicyNamed("no-leases")
	require.NoError(t, err)
	for seed := range uint64(2) {
		today, ignored := Run(s, productionPolicy(), seed), Run(s, without, seed)
		t.Logf("seed %d: %d falls (%d without leases), day %.3f (%.3f)", seed, today.Falls, ignored.Falls, today.Day, ignored.Day)
		require.LessOrEqual(t, float64(today.Falls), 2+0.1*brittle, "seed %d", seed)
		require.Greater(t, today.Day, ignored.Day-0.03, "seed %d", seed)
	}
}

// Guards against streams that go on at another software version.
func TestStreamsKeepTheirVersion(t *testing.T) {
	s := scenario(t, "versions")
	anyVersion, err := PolicyNamed("any-version")
	require.NoError(t, err)
	for seed := range uint64(2) {
		today, joined := Run(s, productionPolicy(), seed), Run(s, anyVersion, seed)
		t.Logf("seed %d: day %.3f (%.3f with any version), %d of two versions (%d)", seed, today.Day, joined.Day, today.Mixed, joined.Mixed)
		require.Zero(t, today.Mixed)
		require.Greater(t, joined.Mixed, 0)
	}
}

// Guards against engines that get requests while they rest.
func TestRestsAreKept(t *testing.T) {
	s := scenario(t, "rests")
	noRests, err := PolicyNamed("no-rests")
	require.NoError(t, err)
	for seed := range uint64(2) {
		today, restless := Run(s, productionPolicy(), seed), Run(s, noRests, seed)
		t.Logf("seed %d: day %.3f (%.3f without rests), %d requests in a rest (%d)", seed, today.Day, restless.Day, today.InRest, restless.InRest)
		require.LessOrEqual(t, today.InRest, 2)
		require.Greater(t, restless.InRest, 2)
		require.Greater(t, today.Day, restless.Day-0.03)
	}
}
