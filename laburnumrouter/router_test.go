package laburnumrouter_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumrouter"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

// fleet returns a view of n engines in three zones, each with some of the models.
func fleet(n, models, each int) *laburnumlever.View {
	view := &laburnumlever.View{}
	for i := range n {
		b := laburnumlever.Backend{ReportedAt: start, Announcement: laburnumlever.Announcement{
			Backend: laburnumlever.BackendID(fmt.Sprint(i)), Slots: 8, Zone: laburnumlever.ZoneName(fmt.Sprint("z", i%3)),
		}}
		b.Report.Sequence = 1
		for j := range each {
			name := laburnumlever.ModelName(fmt.Sprint("m", (i*each+j)%models))
			b.Report.Loaded = append(b.Report.Loaded, laburnumlever.ModelCopy{Model: name, Ready: true})
		}
		view.Backends = append(view.Backends, b)
	}
	return view
}

func newRouter(view *laburnumlever.View) *laburnumrouter.Router {
	r := laburnumrouter.New("z0", 1)
	r.Update(laburnumrouter.NewIndex(view))
	return r
}

// sendRequests sends 1000 requests, six at a time, and returns their number per server.
func sendRequests(r *laburnumrouter.Router, now time.Time, sample func(id laburnumlever.BackendID) laburnumrouter.Sample) map[laburnumlever.BackendID]int {
	got := map[laburnumlever.BackendID]int{}
	const atOnce = 6
	var open []*laburnumrouter.Server
	for range 1000 {
		s, ok := r.Pick(laburnumrouter.Query{Model: "m0"}, now)
		if !ok {
			break
		}
		got[s.ID()]++
		s.Begin(now)
		if open = append(open, s); len(open) > atOnce {
			open[0].End(sample(open[0].ID()), now)
			open = open[1:]
		}
	}
	for _, s := range open {
		s.End(sample(s.ID()), now)
	}
	return got
}

func normalSample(laburnumlever.BackendID) laburnumrouter.Sample {
	return laburnumrouter.Sample{Duration: time.Second, PromptTokens: 8, AnswerTokens: 100}
}

func TestLeavingAndDownServersGetNoRequests(t *testing.T) {
	view := fleet(3, 1, 1)
	view.Backends[0].Leaving = true
	view.Backends[1].Down = true
	require.Equal(t, map[laburnumlever.BackendID]int{"2": 1000}, sendRequests(newRouter(view), start, normalSample))
}

// Guards against an engine that fails fast and attracts most requests, or gets none after it recovers.
func TestFailingServerIsAvoidedAndRecovers(t *testing.T) {
	view := fleet(9, 1, 1)
	r := newRouter(view)
	bad := func(id laburnumlever.BackendID) laburnumrouter.Sample {
		return laburnumrouter.Sample{Duration: time.Second, PromptTokens: 8, AnswerTokens: 100, Failed: id == "0"}
	}
	sendRequests(r, start, bad)
	require.Less(t, sendRequests(r, start, bad)["0"], 20)
	now := start
	for range 10 {
		now = now.Add(3 * time.Second)
		r.Update(laburnumrouter.NewIndex(view))
		sendRequests(r, now, normalSample)
	}
	require.Greater(t, sendRequests(r, now, normalSample)["0"], 100)
}

func TestSlowServerIsAvoidedAndRecovers(t *testing.T) {
	r := newRouter(fleet(9, 1, 1))
	slow := func(id laburnumlever.BackendID) laburnumrouter.Sample {
		s := normalSample(id)
		if id == "0" {
			s.Duration *= 10
		}
		return s
	}
	sendRequests(r, start, slow)
	require.Less(t, sendRequests(r, start, slow)["0"], 20)
	require.Greater(t, sendRequests(r, start, slow)["3"], 400) // the other two servers of the zone share the rest
	now := start
	for range 20 {
		now = now.Add(3 * time.Second)
		r.Update(laburnumrouter.NewIndex(fleet(9, 1, 1)))
		sendRequests(r, now, normalSample)
	}
	require.Greater(t, sendRequests(r, now, normalSample)["0"], 100)
}

func TestOwnZoneIsPreferredUntilOverloaded(t *testing.T) {
	view := fleet(6, 1, 1) // "0" and "3" are in z0
	got := sendRequests(newRouter(view), start, normalSample)
	require.Equal(t, 1000, got["0"]+got["3"])
	view.Backends[0].Report.InFlight = 8
	view.Backends[3].Report.InFlight = 8
	got = sendRequests(newRouter(view), start, normalSample)
	require.Zero(t, got["0"]+got["3"])
	got = sendRequests(newRouter(view), start.Add(20*time.Second), normalSample) // the report is too old to have weight
	require.Equal(t, 1000, got["0"]+got["3"])
}

// Guards against prefix affinity that overloads one engine while others are clearly less loaded.
func TestPrefixAffinityIsBounded(t *testing.T) {
	r := newRouter(fleet(9, 1, 1))
	q := laburnumrouter.Query{Model: "m0", Prefix: laburnumrouter.PrefixHash(strings.Repeat("carpet ", 100))}
	first, _ := r.Pick(q, start)
	for range 20 {
		s, _ := r.Pick(q, start)
		require.Same(t, first, s)
	}
	got := map[laburnumlever.BackendID]int{}
	for range 9 * 4 {
		s, _ := r.Pick(q, start)
		s.Begin(start)
		got[s.ID()]++
	}
	for id, n := range got {
		require.LessOrEqual(t, n, 8, id)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, c := range []struct{ engines, models, each int }{{3, 13, 13}, {20, 30, 3}, {300, 370, 8}, {2100, 370, 8}} {
		b.Run(fmt.Sprintf("engines=%d/models=%d", c.engines, c.models), func(b *testing.B) {
			r := newRouter(fleet(c.engines, c.models, c.each))
			q := laburnumrouter.Query{Model: "m0", Prefix: 7}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i) * time.Microsecond)
				s, _ := r.Pick(q, now)
				s.Begin(now)
				s.End(laburnumrouter.Sample{Duration: time.Second, PromptTokens: 8, AnswerTokens: 100}, now)
			}
		})
	}
}

func BenchmarkIndex(b *testing.B) {
	view := fleet(2100, 370, 8)
	b.Run("build", func(b *testing.B) {
		for b.Loop() {
			laburnumrouter.NewIndex(view)
		}
	})
	b.Run("update", func(b *testing.B) {
		r, ix := newRouter(view), laburnumrouter.NewIndex(view)
		for b.Loop() {
			r.Update(ix)
		}
	})
}
