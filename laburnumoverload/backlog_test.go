package laburnumoverload_test

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumoverload"
	"laburnumlever/laburnumtimer"
)

// Guards against a gate whose looks run ahead of the requests that wait for a processor, so that it accepts more of them.
func TestBacklogOfGoroutinesIsOverload(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	timers := laburnumtimer.New()
	defer timers.Close()
	var overloaded atomic.Bool
	var spins atomic.Int64
	laburnumoverload.NewGate(timers, laburnumoverload.WithOnChange(func(began bool, _ time.Duration) {
		if began {
			overloaded.Store(true)
		}
	}))
	end := time.Now().Add(3 * time.Second)
	var requests sync.WaitGroup
	for range 500 { // half a second of work
		requests.Go(func() {
			for time.Now().Before(end) && !overloaded.Load() {
				until := time.Now().Add(time.Millisecond)
				for time.Now().Before(until) {
					spins.Add(1)
				}
				runtime.Gosched()
			}
		})
	}
	requests.Wait()
	require.True(t, overloaded.Load())
}
