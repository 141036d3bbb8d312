package laburnumdirector_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
)

// runRounds runs the deferred planning rounds.
func (n *node) runRounds() {
	rounds := n.rounds
	n.rounds = nil
	for _, round := range rounds {
		round()
	}
}

// runFirstRounds runs the round that began before the engines' state was known and the one whose
// loads the store does not allow yet. The next round has begun when it returns.
func (w *cluster) runFirstRounds(n *node) {
	for range 2 {
		n.runRounds()
		w.advance(time.Second)
	}
}

// Guards against a slow planning round that delays the renewal of the lease until it expires.
func TestSlowPlanningKeepsTheLease(t *testing.T) {
	w := newCluster(t, 4, 3, 1)
	n := w.directors[0]
	n.holdsRounds = true
	w.sendHeartbeats()
	w.advance(6 * time.Second)
	require.Len(t, n.rounds, 1, "one round at a time")
	require.Empty(t, w.orders)
	fence := w.machine.Leases()[0].Fence
	w.runFirstRounds(n)
	n.runRounds()
	w.advance(time.Second)
	require.NotEmpty(t, w.orders, "the steps of the round are executed")
	require.Equal(t, fence, w.machine.Leases()[0].Fence, "the lease was never lost")
}

// Guards against orders to an engine that has changed since the planning round began.
func TestStepsForAChangedEngineAreDropped(t *testing.T) {
	w := newCluster(t, 1, 1, 1)
	n := w.directors[0]
	n.holdsRounds = true
	w.sendHeartbeats()
	w.advance(4 * time.Second)
	w.runFirstRounds(n)
	w.engines["i-0"].held[modelName(0)] = map[laburnumlever.AdapterName]bool{}
	w.sendHeartbeats()
	w.advance(100 * time.Millisecond)
	n.runRounds()
	w.advance(100 * time.Millisecond)
	require.Empty(t, w.orders)
}

// Guards against the unload of a model's last copy, when its other copy was lost during the planning round.
func TestUnloadIsDroppedAfterLossOfACopy(t *testing.T) {
	w := newCluster(t, 5, 3, 1)
	n := w.directors[0]
	hold := func(engine laburnumlever.BackendID, models ...int) {
		for _, m := range models {
			w.engines[engine].held[modelName(m)] = map[laburnumlever.AdapterName]bool{}
		}
	}
	hold("i-0", 0, 1)
	hold("i-1", 0, 2)
	hold("i-2", 3, 4)
	n.holdsRounds = true
	w.sendHeartbeats()
	w.advance(4 * time.Second)
	w.setDemand(4, 60) // the busy model needs the slot of a second copy
	w.advance(400 * time.Millisecond)
	n.runRounds()
	w.advance(300 * time.Millisecond) // a round with the new demand has begun
	require.Empty(t, w.orders)
	require.Len(t, n.rounds, 1)
	delete(w.engines, "i-1")
	n.director.SetRecord(laburnumregistry.Record{Heartbeat: laburnumlever.Heartbeat{Backend: "i-1"}, Gone: true})
	w.advance(100 * time.Millisecond)
	n.runRounds()
	w.advance(time.Second)
	require.Empty(t, w.orders, "the remaining copy of m0 is the last one")
}
