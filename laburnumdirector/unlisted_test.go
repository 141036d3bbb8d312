package laburnumdirector_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
)

// setModels sets a manifest that lists only these models.
func (w *cluster) setModels(version uint64, models ...int) {
	class := w.class
	class.Models = nil
	for _, m := range models {
		class.Models = append(class.Models, w.class.Models[m])
	}
	for _, n := range w.directors {
		n.director.SetRoutes(laburnumlever.RouteTable{Version: version, Services: []laburnumlever.RoutedService{{Name: "quotes", Engine: &class}}})
	}
}

// hold makes an engine hold models.
func (w *cluster) hold(engine laburnumlever.BackendID, models ...int) {
	for _, m := range models {
		w.engines[engine].held[modelName(m)] = map[laburnumlever.AdapterName]bool{}
	}
}

// Guards against loads that crash the engines which still hold a model that has left the manifest.
func TestModelThatLeftTheManifestIsUnloadedFirst(t *testing.T) {
	w := newCluster(t, 4, 2, 1)
	w.hold("i-0", 0, 1)
	w.hold("i-1", 1, 2)
	w.setModels(1, 0, 1, 2)
	w.sendHeartbeats()
	w.advance(15 * time.Second)
	require.Empty(t, w.orders)
	w.setModels(2, 0, 2, 3)
	w.advance(10 * time.Second)
	require.Zero(t, w.copies()[modelName(1)])
	require.Equal(t, 1, w.copies()[modelName(3)], "its memory is used again")

	w.setModels(3, 0, 1, 2, 3)
	w.advance(10 * time.Second)
	require.Equal(t, 1, w.copies()[modelName(1)], "the model is listed again")
}

// Guards against adapters loaded beside a model of unknown size, and against adapters unloaded there in vain.
func TestNoAdapterIsLoadedBesideAnUnlistedModel(t *testing.T) {
	w := newCluster(t, 2, 1, 1)
	w.hold("i-0", 0, 1)
	e := w.engines["i-0"]
	e.held["m0"]["a1"] = true
	w.sendHeartbeats()
	w.advance(3 * time.Second)
	w.setModels(2, 0)
	w.advance(50 * time.Millisecond)
	request := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		got := make(chan error, 1)
		go func() {
			_, err := w.directors[0].director.EnsureAdapter(ctx, laburnumlever.AdapterRequest{Service: "quotes", Model: "m0", Adapter: "a0"})
			got <- err
		}()
		require.Eventually(t, func() bool { return w.directors[0].loop.Len() > 0 }, 10*time.Second, time.Millisecond)
		w.advance(time.Second)
		return <-got
	}
	require.Error(t, request())
	require.Equal(t, map[laburnumlever.AdapterName]bool{"a1": true}, e.held["m0"])
	w.advance(15 * time.Second)
	require.NoError(t, request(), "the unlisted model is gone")
}

// Guards against overcommitted memory under random sequences of faults and manifests.
func TestRandomSchedulesOfManifests(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 8))
			w := newCluster(t, 7, 4, 2)
			w.sendHeartbeats()
			for version := range uint64(60) {
				w.injectFault(random)
				if random.IntN(4) == 0 {
					w.setModels(version+2, random.Perm(7)[:1+random.IntN(7)]...)
				}
				w.advance(time.Duration(100+random.IntN(900)) * time.Millisecond)
			}
			w.checkOverlap()
		})
	}
}
