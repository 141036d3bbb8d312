package laburnumdirector_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
)

func (w *cluster) copies() map[laburnumlever.ModelName]int {
	copies := map[laburnumlever.ModelName]int{}
	for _, e := range w.engines {
		for m := range e.held {
			copies[m]++
		}
	}
	return copies
}

// Engines start empty, as after a loss of power. Every model of the catalogue must be
// held by one of them soon, within the store's rate.
func TestEmptyEnginesGetEveryModel(t *testing.T) {
	w := newCluster(t, 8, 5, 1)
	w.sendHeartbeats()
	w.advance(15 * time.Second)
	require.Len(t, w.copies(), 8)
	begun := map[int64]int{}
	for _, o := range w.orders {
		begun[o.at.Unix()/5]++
	}
	for _, n := range begun {
		require.LessOrEqual(t, n, 3*5+3)
	}
}

// A gateway's caller asks for an adapter that nobody has loaded. It is ordered at once;
// whoever asks for a fourth where three have places gets it in the place of one unused.
func TestAdapterIsLoadedOnFirstUse(t *testing.T) {
	w := newCluster(t, 1, 1, 1)
	w.sendHeartbeats()
	w.advance(8 * time.Second)
	need := func(adapter string) []laburnumlever.BackendID {
		got := make(chan []laburnumlever.BackendID, 1)
		go func() {
			ids, _ := w.directors[0].director.Need(context.Background(), laburnumlever.AdapterNeed{Service: "quotes", Model: "m0", Adapter: laburnumlever.AdapterName(adapter)})
			got <- ids
		}()
		require.Eventually(t, func() bool { return w.directors[0].loop.Len() > 0 }, 10*time.Second, time.Millisecond)
		for range 20 {
			w.advance(50 * time.Millisecond)
		}
		return <-got
	}
	for i := range 5 {
		require.Equal(t, []laburnumlever.BackendID{"i-0"}, need(fmt.Sprintf("a%d", i)))
		w.advance(2 * time.Second)
	}
	require.Len(t, w.engines["i-0"].held["m0"], 3)
}

// The answer to an order is lost, or the order itself comes seconds late, after newer
// ones. The model must count as held all the while: with a third one beside it the
// engine would crash.
func TestOrderOfUnknownOutcomeReservesMemory(t *testing.T) {
	for _, late := range []time.Duration{0, 4 * time.Second, 9 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			w := newCluster(t, 4, 2, 1)
			w.sendHeartbeats()
			for _, e := range w.engines {
				e.loseAnswer, e.lateBy = late == 0, late
			}
			w.advance(25 * time.Second)
			require.Len(t, w.copies(), 4)
		})
	}
}

// The owner of the engines is cut off from the log. Another takes over; the two must
// never be at work within a lease's length of each other, nor use one number.
func TestDirectorsDoNotOverlap(t *testing.T) {
	w := newCluster(t, 8, 5, 2)
	w.sendHeartbeats()
	w.advance(2 * time.Second)
	w.directors[0].disconnected, w.directors[0].isLeader = true, false
	w.directors[1].isLeader = true
	w.advance(1600 * time.Millisecond) // the lease's term and a little
	w.expire()
	w.advance(15 * time.Second)
	require.Len(t, w.copies(), 8)
	w.checkOwners()
	require.Equal(t, laburnumlever.VMID("10.0.0.1"), w.orders[len(w.orders)-1].by)
}

// Guards against a new director that waits longer than two directors have to be apart.
func TestTakeoverDelayIsMinimal(t *testing.T) {
	w := newCluster(t, 8, 5, 2)
	w.sendHeartbeats()
	w.advance(2 * time.Second)
	w.directors[0].suspended, w.directors[0].disconnected = true, true
	w.directors[0].isLeader, w.directors[1].isLeader = false, true
	w.advance(leaseTime / 2)
	w.expire()
	granted := w.timers.Now()
	before := len(w.orders)
	for range 8 {
		w.setDemand(0, 120)
		w.advance(leaseTime / 6)
	}
	w.checkOwners()
	require.Greater(t, len(w.orders), before)
	require.Less(t, w.orders[before].at.Sub(granted), leaseTime+900*time.Millisecond,
		"with the time to get the lease, to ask the engines for their state and to see the demand")
}

// Guards against a new director that counts from the grant of its lease where the log had no
// leader for long after the previous owner's last renewal.
func TestTakeoverCountsFromTheLastRenewal(t *testing.T) {
	const election = 1200 * time.Millisecond
	w := newCluster(t, 8, 5, 2)
	w.sendHeartbeats()
	w.advance(2 * time.Second)
	w.directors[0].suspended, w.directors[0].disconnected = true, true
	w.directors[0].isLeader = false
	w.advance(leaseTime/2 + election)
	w.directors[1].isLeader = true
	w.expire()
	granted := w.timers.Now()
	before := len(w.orders)
	for range 12 {
		w.setDemand(0, 120)
		w.advance(leaseTime / 12)
	}
	w.checkOwners()
	require.Greater(t, len(w.orders), before)
	require.Less(t, w.orders[before].at.Sub(granted), leaseTime+900*time.Millisecond-election)
}

// The owner loses the log for a second and its lease runs out, but nobody else gets it.
// It goes on at once when the log is back: there is no other owner to be apart from.
func TestReacquiredLeaseResumesAtOnce(t *testing.T) {
	w := newCluster(t, 4, 4, 1)
	w.sendHeartbeats()
	w.advance(8 * time.Second)
	w.directors[0].disconnected = true
	w.advance(1500 * time.Millisecond)
	w.expire()
	w.directors[0].disconnected = false
	before := len(w.orders)
	for range 4 {
		w.setDemand(0, 120)
		w.advance(500 * time.Millisecond)
	}
	require.Greater(t, len(w.orders), before)
}

// The owner is frozen in the middle of its work and wakes after another has taken over.
// Its lease ran out while it slept; it must send nothing more.
func TestSuspendedDirectorSendsNothingAfterResume(t *testing.T) {
	w := newCluster(t, 8, 5, 2)
	w.sendHeartbeats()
	w.advance(1500 * time.Millisecond)
	w.directors[0].suspended, w.directors[0].isLeader = true, false
	w.directors[1].isLeader = true
	w.advance(1600 * time.Millisecond)
	w.expire()
	w.advance(6 * time.Second)
	w.directors[0].suspended = false
	w.advance(10 * time.Second)
	w.checkOwners()
	require.Len(t, w.copies(), 8)
}

// The owner decides on an order and freezes before it is written. Another takes over, and
// the frozen VM wakes with the order in hand. Written now, it would come beside the new
// owner's, and an engine that does not check fencing numbers would carry it out.
func TestOrderDecidedBeforeSuspensionIsNotSent(t *testing.T) {
	w := newCluster(t, 8, 5, 2)
	w.sendHeartbeats()
	w.advance(10 * time.Second)
	old := w.directors[0]
	old.holdsCalls = true
	old.director.Ask(laburnumlever.AdapterNeed{Service: "quotes", Model: modelName(0), Adapter: "a1"}, func([]laburnumlever.BackendID, error) {})
	old.loop.Drain()
	require.NotEmpty(t, old.calls)
	old.suspended, old.isLeader = true, false
	w.directors[1].isLeader = true
	w.advance(1600 * time.Millisecond)
	w.expire()
	w.advance(6 * time.Second)
	before := len(w.orders)
	for _, call := range old.calls {
		call()
	}
	for _, o := range w.orders[before:] {
		require.NotEqual(t, old.vm.ID, o.by)
	}
}

// checkOwners looks at all orders to each engine.
func (w *cluster) checkOwners() {
	last := map[laburnumlever.BackendID]sentOrder{}
	byFence := map[uint64]laburnumlever.VMID{}
	for _, o := range w.orders {
		if by, ok := byFence[o.fence]; ok {
			require.Equal(w.t, by, o.by, "two owners with the number %d", o.fence)
		}
		byFence[o.fence] = o.by
		if before, ok := last[o.engine]; ok && before.by != o.by {
			require.Greater(w.t, o.fence, before.fence)
			require.GreaterOrEqual(w.t, o.at.Sub(before.at), leaseTime)
		}
		last[o.engine] = o
	}
}

// An engine dies and its address is taken by another. Orders to the old identity are
// refused by the new one; the old must be forgotten, not ordered again and again.
func TestModelsOfAGoneEngineAreRestored(t *testing.T) {
	w := newCluster(t, 4, 3, 1)
	w.sendHeartbeats()
	w.advance(12 * time.Second)
	require.Len(t, w.copies(), 4)
	var victim laburnumlever.BackendID
	for id, e := range w.engines {
		if len(e.held) > 0 {
			victim = id
		}
	}
	delete(w.engines, victim)
	w.directors[0].director.SetRecord(laburnumregistry.Record{Heartbeat: laburnumlever.Heartbeat{Backend: victim}, Gone: true})
	w.advance(12 * time.Second)
	require.Len(t, w.copies(), 4)
}

// An empty engine goes dark: no heartbeat, no connection, no word that it is gone. The
// busiest model should get a copy, and the empty engine looks best. The first order that
// finds no connection shows that it is dark; without that it is ordered again and again,
// while another engine stands empty and callers are refused.
func TestUnreachableEngineIsPlannedAround(t *testing.T) {
	w := newCluster(t, 4, 4, 1)
	for i := range 4 {
		w.engines[laburnumlever.BackendID(fmt.Sprintf("i-%d", i/2))].held[modelName(i)] = map[laburnumlever.AdapterName]bool{}
	}
	w.sendHeartbeats()
	w.advance(3 * time.Second)
	delete(w.engines, "i-2")
	for range 8 {
		w.setDemand(0, 120)
		w.advance(time.Second)
	}
	require.Contains(t, w.engines["i-3"].held, modelName(0))
}

// A gateway is cut off from the engines and says that none takes a connection. Their
// heartbeats go on, so they are planned with as before: no model may move.
func TestHeartbeatsOutweighAGatewaysReport(t *testing.T) {
	w := newCluster(t, 4, 3, 1)
	w.sendHeartbeats()
	w.advance(12 * time.Second)
	before := len(w.orders)
	for range 10 {
		w.directors[0].director.SetNews("gateway", laburnumlever.GatewayNews{Unreachable: []laburnumlever.BackendID{"i-0", "i-1", "i-2"}})
		w.advance(500 * time.Millisecond)
	}
	require.Len(t, w.orders, before)
	require.Len(t, w.copies(), 4)
}

// Any mixture: demand that moves, answers lost, orders late, adapters asked for, owners
// cut off. The engines' memory must never be overcommitted and owners never mixed.
func TestRandomSchedules(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7))
			w := newCluster(t, 7, 4, 2)
			w.sendHeartbeats()
			for range 60 {
				w.injectFault(random)
				w.advance(time.Duration(100+random.IntN(900)) * time.Millisecond)
			}
			w.checkOwners()
		})
	}
}

func (w *cluster) injectFault(random *rand.Rand) {
	e := w.engines[laburnumlever.BackendID(fmt.Sprintf("i-%d", random.IntN(len(w.engines))))]
	switch random.IntN(7) {
	case 6:
		n := w.directors[random.IntN(len(w.directors))]
		n.holdsRounds = !n.holdsRounds
		n.runRounds()
	case 0:
		e.loseAnswer = true
	case 1:
		e.lateBy = time.Duration(1+random.IntN(11)) * time.Second
	case 2, 3:
		w.setDemand(random.IntN(7), float64(random.IntN(60)))
	case 4:
		model, adapter := modelName(random.IntN(7)), laburnumlever.AdapterName(fmt.Sprintf("a%d", random.IntN(6)))
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			for _, n := range w.directors {
				_, _ = n.director.Need(ctx, laburnumlever.AdapterNeed{Service: "quotes", Model: model, Adapter: adapter})
			}
		}()
	case 5:
		from := random.IntN(2)
		w.directors[from].isLeader, w.directors[1-from].isLeader = false, true
		w.directors[from].disconnected = random.IntN(2) == 0
		w.directors[1-from].disconnected = false
		w.advance(1600 * time.Millisecond)
		w.expire()
	}
}

// The only engine has room for one of two models, and callers ask for the one and then for
// the other. Its word that the first is gone overtakes its answer to the order, and later
// words bring nothing new: the order seemed to be under way for ever, the engine took no
// other, and callers were refused for minutes before an engine that did nothing.
func TestHeartbeatMayOvertakeOrderAnswer(t *testing.T) {
	w := newCluster(t, 2, 1, 1)
	w.class.WeightsMB = 100
	e := w.engines["i-0"]
	e.instant = true
	e.held["m0"] = map[laburnumlever.AdapterName]bool{}
	w.sendHeartbeats()
	w.advance(time.Second)
	for _, wanted := range []int{1, 0, 1} {
		for range 16 {
			w.setDemand(wanted, 20)
			w.advance(500 * time.Millisecond)
		}
		require.Contains(t, e.held, modelName(wanted))
	}
}

// An engine carries an order out, and its word on that is lost on the way: later ones bring
// nothing new. The engine is asked when its work takes too long, and what it says then
// counts; it seemed to be at work for ever before.
func TestOverdueOrderEndsByStateReport(t *testing.T) {
	w := newCluster(t, 2, 1, 1)
	w.class.WeightsMB = 100
	e := w.engines["i-0"]
	e.held["m0"] = map[laburnumlever.AdapterName]bool{}
	w.sendHeartbeats()
	w.advance(time.Second)
	e.losesRecords = true
	for range 60 {
		w.setDemand(1, 20)
		w.advance(500 * time.Millisecond)
	}
	require.Contains(t, e.held, modelName(1))
}

// An order to an engine gets no answer, the engine crashes and starts again under its
// identity, and the order is carried out by the new start: it counts its orders from
// nothing, and has come to the number that the old order expects. With the models that
// it was given meanwhile it would hold more than it has room for.
func TestDelayedOrderMayReachRestartedEngine(t *testing.T) {
	for late := 2 * time.Second; late < 12*time.Second; late += 500 * time.Millisecond {
		t.Run(late.String(), func(t *testing.T) {
			w := newCluster(t, 6, 3, 1)
			e := w.engines["i-0"]
			e.accepted, e.lateBy = 2, late
			w.sendHeartbeats()
			for len(e.lateOrders) == 0 {
				w.advance(50 * time.Millisecond)
			}
			e.restart()
			// The model that it was to load comes to another engine.
			delete(w.engines, "i-2")
			w.addEngine("i-3", "m0", "m1")
			w.advance(40 * time.Second)
			require.GreaterOrEqual(t, len(w.copies()), 4)
		})
	}
}

// Guards against a new director that queries all engines at once and runs out of descriptors.
func TestConcurrentStateRequestsAreLimited(t *testing.T) {
	const engines, most = 200, 64
	w := newCluster(t, 1, engines, 1)
	w.sendHeartbeats()
	w.advance(10 * time.Second)
	asked := 0
	for _, n := range w.stateRequests {
		require.LessOrEqual(t, n, most)
		asked += n
	}
	require.GreaterOrEqual(t, asked, engines)
	require.NotEmpty(t, w.copies())
}
