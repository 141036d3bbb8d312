package laburnumlimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumlimit"
)

const (
	// A server gets, in any window, windowFactor times its limit at most, and windowSlack requests more.
	window       = 4 * time.Second
	windowFactor = 1.5
	windowSlack  = 5
	// namedTime is how long other control VMs know of one that has stopped.
	namedTime = 20 * time.Second
)

func allowed(perSecond float64) int {
	return int(windowFactor*perSecond*window.Seconds()) + windowSlack
}

// busiest returns the largest number of sorted times in one window.
func busiest(times []time.Time) int {
	most, first := 0, 0
	for i, now := range times {
		for now.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// fleet is a model of gateways that send to one limited server all the time, and of two control VMs.
type fleet struct {
	limit    laburnumlimit.Limit
	random   *rand.Rand
	gateways []*modelGateway
	keepers  [2]modelKeeper
	sent     []time.Time
}

type modelGateway struct {
	id    laburnumlever.VMID
	table *laburnumlimit.Table
	// cut are the control VMs that the gateway can't reach.
	cut     [2]bool
	granted int
	asked   int
	// due is when its granted request is sent; zero without one.
	due time.Time
}

type modelKeeper struct {
	*laburnumlimit.Keeper
	down bool
	// lastNamed is when the control VM last ran.
	lastNamed time.Time
}

func newFleet(seed uint64, gateways int, perSecond float64) *fleet {
	f := &fleet{limit: limit(perSecond), random: rand.New(rand.NewPCG(seed, seed))} //nolint:gosec // a model
	f.keepers = [2]modelKeeper{{Keeper: laburnumlimit.NewKeeper()}, {Keeper: laburnumlimit.NewKeeper()}}
	for i := range gateways {
		f.join(i)
	}
	return f
}

func (f *fleet) join(i int) {
	g := &modelGateway{id: laburnumlever.VMID(fmt.Sprint("vm-", i)), table: laburnumlimit.NewTable(laburnumlever.VMID(fmt.Sprint("vm-", i)))}
	g.table.Apply(f.limit, start)
	f.gateways = append(f.gateways, g)
}

// send has a gateway send a request if it gets a slot.
func (f *fleet) send(g *modelGateway, now time.Time) {
	const wait = 800 * time.Millisecond
	if !g.due.IsZero() || g.table.RetryIn("i-1", wait, now) > 0 {
		return
	}
	g.asked++
	for i := range f.keepers {
		k := &f.keepers[i]
		if k.down || g.cut[i] {
			continue
		}
		r, _ := g.table.Report("i-1", "zone-a", now)
		k.Report(r, now)
		share := laburnumlimit.FullShare
		if i > 0 && now.Sub(f.keepers[0].lastNamed) < namedTime {
			share = laburnumlimit.StandInShare
		}
		a := k.Reserve(laburnumlimit.SlotRequest{Gateway: g.id, Report: r, Wait: laburnumlever.Duration(wait)}, share, now)
		if !a.Granted {
			g.table.Refused("i-1", wait, time.Duration(a.In), now)
			return
		}
		g.due = now.Add(time.Duration(a.In))
		return
	}
	if g.table.Share("i-1", len(f.gateways), now) {
		g.due = now
	}
}

// step lets time pass to now.
func (f *fleet) step(now time.Time) {
	for i := range f.keepers {
		if !f.keepers[i].down {
			f.keepers[i].lastNamed = now
		}
	}
	for _, i := range f.random.Perm(len(f.gateways)) {
		g := f.gateways[i]
		f.send(g, now)
		if !g.due.IsZero() && !now.Before(g.due) {
			f.sent = append(f.sent, now)
			g.due, g.granted = time.Time{}, g.granted+1
		}
	}
}

// disturb kills, starts and cuts control VMs, and has gateways join and restart.
func (f *fleet) disturb() {
	i := f.random.IntN(len(f.keepers))
	switch f.random.IntN(4) {
	case 0:
		f.keepers[i].down = !f.keepers[i].down
		f.keepers[i].Keeper = laburnumlimit.NewKeeper()
	case 1:
		for _, g := range f.gateways {
			g.cut[i] = f.random.IntN(2) == 0
		}
	case 2:
		for _, g := range f.gateways {
			g.cut = [2]bool{}
		}
	default:
		f.gateways[f.random.IntN(len(f.gateways))].table = laburnumlimit.NewTable("vm-new")
		for _, g := range f.gateways {
			g.table.Apply(f.limit, start)
		}
		f.join(len(f.gateways))
	}
}

// Guards against requests beyond the limit while control VMs stop, start and are cut off and gateways join.
func TestLimitHoldsWhileVMsComeAndGo(t *testing.T) {
	for _, c := range []struct {
		gateways, seeds int
		perSecond       float64
	}{{6, 100, 2.1}, {6, 50, 0}, {6, 50, 20}, {60, 20, 5}, {780, 1, 3.4}} {
		for seed := range c.seeds {
			f := newFleet(uint64(seed), c.gateways, c.perSecond)
			next := 5 * time.Second
			for passed := time.Duration(0); passed < 90*time.Second; passed += 20 * time.Millisecond {
				if passed >= next {
					f.disturb()
					next += time.Duration(f.random.Int64N(int64(10 * time.Second)))
				}
				f.step(at(passed))
			}
			require.LessOrEqual(t, busiest(f.sent), allowed(c.perSecond), "%d gateways, limit %g, seed %d", c.gateways, c.perSecond, seed)
		}
	}
}

// Guards against a limit that is hardly used, or used by a few gateways only.
func TestLimitIsUsedByAllGateways(t *testing.T) {
	f := newFleet(1, 6, 2.1)
	for passed := time.Duration(0); passed < 60*time.Second; passed += 10 * time.Millisecond {
		f.step(at(passed))
	}
	require.InDelta(t, 2.1*60, len(f.sent), 12)
	for _, g := range f.gateways {
		require.InDelta(t, 2.1*60/6, g.granted, 8, "%s", g.id)
		require.Less(t, g.asked, 60*20, "%s", g.id)
	}
}
