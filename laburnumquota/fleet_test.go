package laburnumquota_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
)

var measures = flag.Bool("measures", false, "print what the ways to share a quota cost")

// usual is the share of its quota that an account uses on a calm day.
const usual = 0.55

func quotaOf(rate float64) laburnumlever.Quota {
	return laburnumlever.Quota{Rate: rate, Burst: rate, Unit: laburnumlever.QuotaTokens}
}

// Guards against hot accounts that get more than their quota while VMs are killed, frozen and cut off.
func TestQuotaHoldsWhileVMsComeAndGo(t *testing.T) {
	for _, c := range []struct {
		gateways, controls, seeds int
		rate                      float64
	}{{6, 4, 20, 2000}, {6, 4, 20, 40_000}, {57, 8, 6, 2000}, {57, 8, 6, 20_000}, {57, 8, 2, 200_000}, {780, 10, 1, 200_000}} {
		for seed := range c.seeds {
			f := newFleet(scenario{
				name: "hot", gateways: c.gateways, controls: c.controls, quota: quotaOf(c.rate), demand: steady(7.5 * usual), zone: everywhere, faults: true, length: 40 * time.Second,
			}, uint64(seed))
			f.run()
			require.LessOrEqual(t, f.busiest(f.quota, 0), 1.0, "%d gateways, %v a second, seed %d", c.gateways, c.rate, seed)
			require.Greater(t, f.busiest(f.quota, 0), 0.5, "the quota is there to be used")
		}
	}
}

// Guards against tokens granted under a higher quota that are spent after it was lowered.
func TestLoweredQuotaBindsWithinAWindow(t *testing.T) {
	const loweredAt = 15 * time.Second
	for seed := range 5 {
		f := newFleet(scenario{
			name: "lowered", gateways: 57, controls: 8, quota: quotaOf(100_000), demand: steady(2), zone: everywhere, loweredAt: loweredAt, length: 40 * time.Second,
		}, uint64(seed))
		f.run()
		require.LessOrEqual(t, f.busiest(f.quota, loweredAt+terms.Window), 1.0)
	}
}

// Guards against refusals below the quota, wherever the demand of an account comes from.
func TestNobodyIsRefusedBelowTheQuota(t *testing.T) {
	oneZone := func(time.Duration) int { return 2 }
	moving := func(now time.Duration) int { return int(now/(3*time.Second)) % zones }
	wave := func(now time.Duration) float64 { return usual * (1 + 0.27*float64(now/(5*time.Second)%2)) }
	for _, c := range []struct {
		name               string
		gateways, controls int
		rate               float64
		demand             func(time.Duration) float64
		zone               func(time.Duration) int
		refused            float64
	}{
		{"everywhere", 6, 4, 20_000, steady(usual), everywhere, 0.002},
		{"everywhere", 57, 8, 200_000, steady(usual), everywhere, 0.002},
		{"everywhere", 57, 8, 20_000, steady(usual), everywhere, 0.01},
		{"one zone", 57, 8, 200_000, steady(usual), oneZone, 0.002},
		{"from zone to zone", 57, 8, 200_000, steady(usual), moving, 0.005},
		{"swinging", 57, 8, 100_000, wave, everywhere, 0.005},
		{"everywhere", 780, 10, 200_000, steady(usual), everywhere, 0.005},
	} {
		f := newFleet(scenario{name: c.name, gateways: c.gateways, controls: c.controls, quota: quotaOf(c.rate), demand: c.demand, zone: c.zone, length: 33 * time.Second}, 1)
		f.run()
		require.LessOrEqual(t, float64(f.refused)/float64(f.requests), c.refused, f.String())
	}
}

// TestMeasures prints what the ways to share a quota cost; it checks nothing.
func TestMeasures(t *testing.T) {
	if !*measures {
		t.Skip("run with -measures -v")
	}
	sizes := []struct{ gateways, controls int }{{6, 4}, {57, 8}, {294, 8}, {780, 10}}
	for _, w := range []struct {
		name string
		way  way
	}{{"shared keepers", sharedKeepers}, {"single keeper", singleKeeper}, {"divided", dividedByGateways}} {
		for _, size := range sizes {
			for _, s := range []scenario{
				{name: "usual", demand: steady(usual), zone: everywhere},
				{name: "usual, small", demand: steady(usual), zone: everywhere, quota: quotaOf(2000)},
				{name: "one zone", demand: steady(usual), zone: func(time.Duration) int { return 1 }},
				{name: "usual, faults", demand: steady(usual), zone: everywhere, faults: true},
				{name: "hot, faults", demand: steady(7.5 * usual), zone: everywhere, faults: true},
			} {
				if s.quota.Rate == 0 {
					s.quota = quotaOf(100_000)
				}
				s.way, s.gateways, s.controls, s.length = w.way, size.gateways, size.controls, 33*time.Second
				f := newFleet(s, 1)
				f.run()
				t.Logf("%s, %s", w.name, f)
			}
		}
	}
}

// TestSilenceMeasures prints what is refused while control VMs don't answer; it checks nothing.
func TestSilenceMeasures(t *testing.T) {
	if !*measures {
		return
	}
	const from = 15 * time.Second
	silences := []struct {
		name string
		hot  bool
		silence
	}{
		{"killed for 1.5 s", false, silence{from: from, to: from + 1500*time.Millisecond}},
		{"killed for 3 s", false, silence{from: from, to: from + 3*time.Second}},
		{"cut off for 3 s", false, silence{from: from, to: from + 3*time.Second, kept: true}},
		{"a zone's killed for 3 s", false, silence{from: from, to: from + 3*time.Second, keepers: []int{0, 4}}},
		{"one frozen for 3 s", false, silence{from: from, to: from + 3*time.Second, kept: true, keepers: []int{1}}},
		{"hot, half of the gateways cut off for 3 s", true, silence{from: from, to: from + 3*time.Second, half: true}},
	}
	ways := []struct {
		name string
		way  way
	}{{"reserves", sharedKeepers}, {"without", withoutReserves}, {"long tokens", longTokens}, {"uncharged", uncharged}}
	for _, c := range silences {
		for _, size := range []struct{ gateways, controls int }{{6, 4}, {57, 8}, {294, 8}, {780, 10}} {
			for _, rate := range []float64{2000, 30_000, 100_000, 240_000} {
				text := fmt.Sprintf("%s, %d gateways, %.0f/s:", c.name, size.gateways, rate)
				for _, w := range ways {
					demand := usual
					if c.hot {
						demand = 4
					}
					text += " " + w.name + " " + silenceMeasure(scenario{
						way: w.way, gateways: size.gateways, controls: size.controls, quota: quotaOf(rate), demand: steady(demand), zone: everywhere,
						silences: []silence{c.silence}, length: 21 * time.Second,
					})
				}
				t.Log(text)
			}
		}
	}
}

// silenceMeasure plays a scenario with some seeds and returns what was refused in the silence, what was refused else, in
// percent, and the most used in a window as a part of the allowance.
func silenceMeasure(s scenario) string {
	inSilence, allInSilence, refused, requests, most := 0, 0, 0, 0, 0.0
	for seed := range uint64(4) {
		f := newFleet(s, seed+1)
		f.run()
		inSilence, allInSilence = inSilence+f.refusedInSilence, allInSilence+f.requestsInSilence
		refused, requests = refused+f.refused, requests+f.requests
		most = max(most, f.busiest(f.quota, 0))
	}
	part := func(n, all int) float64 { return 100 * float64(n) / float64(max(1, all)) }
	return fmt.Sprintf("%.0f/%.1f/%.2f", part(inSilence, allInSilence), part(refused-inSilence, requests-allInSilence), most)
}

// Guards against gateways that refuse all requests of an account below its quota while no control VM answers.
func TestReservesServeWhileNoControlVMAnswers(t *testing.T) {
	for _, c := range []struct {
		gateways, controls int
		rate               float64
		refused            float64
	}{{6, 4, 100_000, 0.3}, {6, 4, 240_000, 0.2}, {57, 8, 240_000, 0.5}} {
		for _, kept := range []bool{false, true} {
			f := newFleet(scenario{
				name: "silence", gateways: c.gateways, controls: c.controls, quota: quotaOf(c.rate), demand: steady(usual), zone: everywhere,
				silences: []silence{{from: 15 * time.Second, to: 16500 * time.Millisecond, kept: kept}}, length: 21 * time.Second,
			}, 1)
			f.run()
			require.LessOrEqual(t, float64(f.refusedInSilence)/float64(f.requestsInSilence), c.refused, f.String())
			require.LessOrEqual(t, f.busiest(f.quota, 0), 1.0)
		}
	}
}

// Guards against reserves of a higher quota that are spent after it was lowered while no control VM answered.
func TestLoweredQuotaBindsReserves(t *testing.T) {
	const (
		loweredAt = 15 * time.Second
		learnedIn = 2500 * time.Millisecond
	)
	demand := func(now time.Duration) float64 {
		switch {
		case now < loweredAt:
			return usual
		case now < loweredAt+learnedIn:
			return 0
		default:
			return 4
		}
	}
	for seed := range uint64(5) {
		f := newFleet(scenario{
			name: "lowered", gateways: 57, controls: 8, quota: quotaOf(100_000), demand: demand, zone: everywhere, loweredAt: loweredAt, learnedIn: learnedIn,
			silences: []silence{{from: loweredAt + tick, to: loweredAt + learnedIn}}, length: 40 * time.Second,
		}, seed)
		f.run()
		require.LessOrEqual(t, f.busiest(f.quota, loweredAt+learnedIn), 1.0)
	}
}
