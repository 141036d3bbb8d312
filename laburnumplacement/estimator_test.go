package laburnumplacement_test

import (
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumplacement"

	"github.com/stretchr/testify/require"
)

// Guards against counting a duplicate or late signal, and against dropping the demand of one VM when another falls silent.
func TestEstimatorUsesNewestSignalPerVM(t *testing.T) {
	e := laburnumplacement.NewEstimator()
	now := time.Unix(0, 0)
	signal := func(vm string, sequence uint64, rate float64) laburnumlever.ModelDemand {
		return laburnumlever.ModelDemand{Model: "m", VM: laburnumlever.VMID(vm), Sequence: sequence, RequestsPerSecond: rate}
	}
	e.Observe(now, []laburnumlever.ModelDemand{signal("a", 5, 4), signal("b", 9, 6), signal("a", 4, 50)})
	require.InDelta(t, 10, e.Demand()["m"].Now.Requests, 1e-3)
	for range 60 {
		now = now.Add(time.Second)
		e.Observe(now, []laburnumlever.ModelDemand{signal("a", 3, 50), {Model: "other", VM: "b", Sequence: uint64(10 + now.Unix())}})
	}
	// a has been silent for longer than signalTTL; b now signals demand for another model only.
	d := e.Demand()["m"]
	require.Less(t, d.Now.Requests, 7.3)
	require.Greater(t, d.Now.Requests, 1.0)
	require.Greater(t, d.Peak.Requests, 9.5, "the peak decays over half an hour")
}
