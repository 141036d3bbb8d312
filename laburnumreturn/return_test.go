package laburnumreturn_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumreturn"
)

var (
	start = time.Unix(1_000_000, 0)
	need  = laburnumreturn.Need{Service: "quotes", Model: "m1"}
)

func loading(fence, incarnation uint64, in time.Duration) laburnumregistry.Overlay {
	o := laburnumregistry.Overlay{Backend: "i-1", Fence: fence, Incarnation: incarnation}
	if in > 0 {
		o.Loading = []laburnumregistry.ModelLoad{{Model: "m1", ReadyIn: laburnumlever.Duration(in)}}
	}
	return o
}

// Guards against callers that wait for a load which has ended, failed, or was ordered by a director that is dead.
func TestLoadsThatAreNotExpected(t *testing.T) {
	engine := laburnumlever.Heartbeat{Backend: "i-1", Service: "quotes", Incarnation: 7, Slots: 8}
	restarted := engine
	restarted.Incarnation = 8
	for name, change := range map[string]func(*laburnumreturn.Loads) (at time.Duration){
		"overdue":        func(*laburnumreturn.Loads) time.Duration { return 4100 * time.Millisecond },
		"no longer told": func(l *laburnumreturn.Loads) time.Duration { l.Apply(engine, loading(3, 7, 0), start); return 0 },
		"engine gone": func(l *laburnumreturn.Loads) time.Duration {
			l.Keep(laburnumregistry.Record{Heartbeat: engine, Gone: true})
			return 0
		},
		"engine restarted": func(l *laburnumreturn.Loads) time.Duration {
			l.Keep(laburnumregistry.Record{Heartbeat: restarted})
			return 0
		},
		"newer director": func(l *laburnumreturn.Loads) time.Duration { l.Apply(engine, loading(4, 7, 0), start); return 0 },
		"ended, old leader": func(l *laburnumreturn.Loads) time.Duration {
			l.Apply(engine, loading(4, 7, 0), start)
			l.Apply(engine, loading(3, 7, time.Second), start)
			return 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			loads := laburnumreturn.Loads{Lag: time.Second}
			loads.Apply(engine, loading(3, 7, 2*time.Second), start)
			load, ok := loads.Expected(need, start.Add(500*time.Millisecond))
			require.True(t, ok)
			require.Equal(t, laburnumreturn.Load{In: 1500 * time.Millisecond, Slots: 8}, load)
			_, ok = loads.Expected(need, start.Add(change(&loads)))
			require.False(t, ok)
		})
	}
}

// Guards against builds before this one that can't read an overlay, and against this one that can't read theirs.
func TestOverlayOfAnotherBuild(t *testing.T) {
	encoded, err := json.Marshal(loading(3, 7, 1500*time.Millisecond))
	require.NoError(t, err)
	var same laburnumregistry.Overlay
	require.NoError(t, json.Unmarshal(encoded, &same))
	require.Equal(t, loading(3, 7, 1500*time.Millisecond), same)
	var old struct {
		Backend laburnumlever.BackendID `json:"backend"`
		Fence   uint64                  `json:"fence"`
	}
	require.NoError(t, json.Unmarshal(encoded, &old))
	require.Equal(t, laburnumlever.BackendID("i-1"), old.Backend)
	encoded, err = json.Marshal(loading(3, 7, 0))
	require.NoError(t, err)
	require.JSONEq(t, `{"backend":"i-1","fence":3,"born":7,"sequence":0}`, string(encoded))
}

// Guards against a request that is refused although slots come free in time, and against one that waits in a queue that does not move.
func TestWaitOfADrain(t *testing.T) {
	for name, c := range map[string]struct {
		every, seen time.Duration
		known       bool
		least, most time.Duration
	}{
		"too little seen":    {every: 100 * time.Millisecond, seen: 500 * time.Millisecond},
		"ten slots a second": {every: 100 * time.Millisecond, seen: 5 * time.Second, known: true, least: 250 * time.Millisecond, most: 300 * time.Millisecond},
		"no slot":            {every: time.Hour, seen: 3 * time.Second, known: true, least: 6 * time.Second, most: 9 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			var drains laburnumreturn.Drains
			drains.Queued(need, start)
			end := start.Add(c.seen)
			for at := start.Add(c.every); at.Before(end); at = at.Add(c.every) {
				drains.Queued(need, at)
				drains.Left(need, at)
				drains.Granted(need, at)
			}
			expected, surely, ok := drains.Wait(need, 2, end)
			require.Equal(t, c.known, ok)
			require.GreaterOrEqual(t, expected, c.least)
			require.LessOrEqual(t, expected, c.most)
			require.LessOrEqual(t, surely, expected/10)
		})
	}
}

// Guards against requests that are all refused for ever, as nobody waits any more who would see that slots come free.
func TestDrainIsForgotten(t *testing.T) {
	var drains laburnumreturn.Drains
	drains.Queued(need, start)
	drains.Left(need, start.Add(3*time.Second))
	_, _, ok := drains.Wait(need, 0, start.Add(4*time.Second))
	require.True(t, ok)
	_, _, ok = drains.Wait(need, 0, start.Add(11*time.Second))
	require.False(t, ok)
}

// Guards against callers that return all at once, when one engine has slots for a few of them.
func TestReturnsToALoadAreSpread(t *testing.T) {
	load := laburnumreturn.Load{In: time.Second, Slots: 8}
	few, many := laburnumreturn.OfLoad(load, time.Second, 1, 4), laburnumreturn.OfLoad(load, time.Second, 10, 4)
	require.Equal(t, time.Second, few.After(0))
	require.Equal(t, 1750*time.Millisecond, few.After(1))
	require.Equal(t, 6250*time.Millisecond, many.After(1), "forty callers and eight slots")
	require.Equal(t, 4*time.Second, laburnumreturn.OfDrain(time.Second, 2*time.Second).After(1))
	require.Equal(t, 5*time.Second, laburnumreturn.OfDrain(5*time.Second, 2*time.Second).After(0))
}

// Guards against a place in the queue that is given to another account's request, twice, or for ever, and against memory without bound.
func TestReturns(t *testing.T) {
	var returns laburnumreturn.Returns
	digest := func(i int) laburnumlever.RequestDigest {
		return laburnumlever.NewRequestDigest("POST", "quotes.example", "/quote/x", fmt.Append(nil, i))
	}
	for i := range 1000 {
		returns.Told(laburnumreturn.Caller{Digest: digest(i), Account: "a", Need: need, Asked: start.Add(-time.Second)}, start.Add(2*time.Second), start)
	}
	require.Equal(t, 512, returns.Pending(need, start))
	_, ok := returns.Returned(digest(1), "b", start.Add(2*time.Second))
	require.False(t, ok, "another account")
	asked, ok := returns.Returned(digest(1), "a", start.Add(2*time.Second))
	require.True(t, ok)
	require.Equal(t, start.Add(-time.Second), asked)
	_, ok = returns.Returned(digest(1), "a", start.Add(2*time.Second))
	require.False(t, ok, "only once")
	require.Equal(t, 511, returns.Pending(need, start.Add(2*time.Second)))
	require.Zero(t, returns.Pending(need, start.Add(4*time.Second)))
	require.Zero(t, returns.Len())
}
