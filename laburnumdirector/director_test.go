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

// Guards against models without a copy, or loads beyond the store's rate, after all engines start empty.
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

// Guards against requests for an adapter that is never loaded, also if the engine must evict an unused adapter for it.
func TestAdapterIsLoadedOnFirstUse(t *testing.T) {
	w := newCluster(t, 1, 1, 1)
	w.sendHeartbeats()
	w.advance(8 * time.Second)
	request := func(adapter string) []laburnumlever.BackendID {
		got := make(chan []laburnumlever.BackendID, 1)
		go func() {
			ids, _ := w.directors[0].director.EnsureAdapter(context.Background(), laburnumlever.AdapterRequest{Service: "quotes", Model: "m0", Adapter: laburnumlever.AdapterName(adapter)})
			got <- ids
		}()
		require.Eventually(t, func() bool { return w.directors[0].loop.Len() > 0 }, 10*time.Second, time.Millisecond)
		for range 20 {
			w.advance(50 * time.Millisecond)
		}
		return <-got
	}
	for i := range 5 {
		require.Equal(t, []laburnumlever.BackendID{"i-0"}, request(fmt.Sprintf("a%d", i)))
		w.advance(2 * time.Second)
	}
	require.Len(t, w.engines["i-0"].held["m0"], 3)
}

// Guards against overcommitted memory when the answer to an order is lost, or the order arrives after newer ones.
func TestOrderOfUnknownOutcomeReservesMemory(t *testing.T) {
	for _, late := range []time.Duration{0, 4 * time.Second, 9 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			w := newCluster(t, 4, 2, 1)
			w.sendHeartbeats()
			for _, e := range w.engines {
				e.losesAnswer, e.lateBy = late == 0, late
			}
			w.advance(25 * time.Second)
			require.Len(t, w.copies(), 4)
		})
	}
}

// Guards against two directors that send orders at about the same time, or with the same fencing number.
func TestDirectorsDoNotOverlap(t *testing.T) {
	w := newCluster(t, 8, 5, 2)
	w.sendHeartbeats()
	w.advance(2 * time.Second)
	w.directors[0].disconnected, w.directors[0].isLeader = true, false
	w.directors[1].isLeader = true
	w.advance(1600 * time.Millisecond) // just over the lease term
	w.expire()
	w.advance(15 * time.Second)
	require.Len(t, w.copies(), 8)
	w.checkOverlap()
	require.Equal(t, laburnumlever.VMID("10.0.0.1"), w.orders[len(w.orders)-1].by)
}

// Guards against a new director whose first order comes later than the lease requires.
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
	w.checkOverlap()
	require.Greater(t, len(w.orders), before)
	require.Less(t, w.orders[before].at.Sub(granted), leaseTime+900*time.Millisecond,
		"including the time to acquire the lease, request the engines' state and learn the demand")
}

// Guards against a needless takeover delay, if the log had no leader for long after the previous holder's last renewal.
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
	w.checkOverlap()
	require.Greater(t, len(w.orders), before)
	require.Less(t, w.orders[before].at.Sub(granted), leaseTime+900*time.Millisecond-election)
}

// Guards against a takeover delay for a director that reacquires its lease with no other holder in between.
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

// Guards against orders from a director that resumes after another one has taken over.
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
	w.checkOverlap()
	require.Len(t, w.copies(), 8)
}

// Guards against an order decided before a VM is suspended and sent after it resumes, when another director leads.
func TestOrderDecidedBeforeSuspensionIsNotSent(t *testing.T) {
	w := newCluster(t, 8, 5, 2)
	w.sendHeartbeats()
	w.advance(10 * time.Second)
	old := w.directors[0]
	old.holdsCalls = true
	old.director.EnsureAdapterAsync(laburnumlever.AdapterRequest{Service: "quotes", Model: modelName(0), Adapter: "a1"}, func([]laburnumlever.BackendID, error) {})
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
		// An engine that does not check fencing numbers would execute it.
		require.NotEqual(t, old.vm.ID, o.by)
	}
}

// checkOverlap checks that orders of different directors to an engine are a lease apart and have
// different, rising fencing numbers.
func (w *cluster) checkOverlap() {
	last := map[laburnumlever.BackendID]sentOrder{}
	byFence := map[uint64]laburnumlever.VMID{}
	for _, o := range w.orders {
		if by, ok := byFence[o.fence]; ok {
			require.Equal(w.t, by, o.by, "two directors with fencing number %d", o.fence)
		}
		byFence[o.fence] = o.by
		if before, ok := last[o.engine]; ok && before.by != o.by {
			require.Greater(w.t, o.fence, before.fence)
			require.GreaterOrEqual(w.t, o.at.Sub(before.at), leaseTime)
		}
		last[o.engine] = o
	}
}

// Guards against models of a lost engine that stay missing because orders still go to it.
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

// Guards against repeated orders to an unreachable engine while another empty engine stays unused.
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
	// A failed connection excludes the engine before its silence does.
	require.Contains(t, w.engines["i-3"].held, modelName(0))
}

// Guards against models that move because one cut-off gateway reports all engines as unreachable.
func TestHeartbeatsOutweighAGatewaysReport(t *testing.T) {
	w := newCluster(t, 4, 3, 1)
	w.sendHeartbeats()
	w.advance(12 * time.Second)
	before := len(w.orders)
	for range 10 {
		w.directors[0].director.SetGatewayReport("gateway", laburnumlever.GatewayReport{Unreachable: []laburnumlever.BackendID{"i-0", "i-1", "i-2"}})
		w.advance(500 * time.Millisecond)
	}
	require.Len(t, w.orders, before)
	require.Len(t, w.copies(), 4)
}

// Guards against overcommitted memory and overlapping directors under random sequences of faults.
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
			w.checkOverlap()
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
		e.losesAnswer = true
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
				_, _ = n.director.EnsureAdapter(ctx, laburnumlever.AdapterRequest{Service: "quotes", Model: model, Adapter: adapter})
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

// Guards against an order that counts as in progress forever, after the heartbeat that shows its end overtook its answer.
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

// Guards against an order that counts as in progress forever, after the heartbeat that shows its end was lost.
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

// Guards against overcommitted memory when a delayed order reaches an engine after its restart.
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
			// It counts its orders from zero again, and accepts the old order once the count has reached its number.
			e.restart()
			// The model of the delayed order is loaded on another engine.
			delete(w.engines, "i-2")
			w.addEngine("i-3", "m0", "m1")
			w.advance(40 * time.Second)
			require.GreaterOrEqual(t, len(w.copies()), 4)
		})
	}
}

// Guards against a new director that runs out of file descriptors by requesting the state of all engines at once.
func TestConcurrentStateRequestsAreLimited(t *testing.T) {
	const engines, most = 200, 64
	w := newCluster(t, 1, engines, 1)
	w.sendHeartbeats()
	w.advance(10 * time.Second)
	requests := 0
	for _, n := range w.stateRequests {
		require.LessOrEqual(t, n, most)
		requests += n
	}
	require.GreaterOrEqual(t, requests, engines)
	require.NotEmpty(t, w.copies())
}
