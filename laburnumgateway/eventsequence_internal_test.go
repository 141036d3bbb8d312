package laburnumgateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/platform"
)

// sequenceSteps are what a server sends next, given the number of the last event that the caller has.
var sequenceSteps = map[string]func(last int64) laburnumlever.StreamEvent{
	"next": func(last int64) laburnumlever.StreamEvent {
		return laburnumlever.StreamEvent{Number: last + 1, HasNumber: true}
	},
	"repeat": func(last int64) laburnumlever.StreamEvent {
		return laburnumlever.StreamEvent{Number: last, HasNumber: true}
	},
	"gap": func(last int64) laburnumlever.StreamEvent {
		return laburnumlever.StreamEvent{Number: last + 2, HasNumber: true}
	},
	"unnumbered": func(int64) laburnumlever.StreamEvent { return laburnumlever.StreamEvent{} },
}

// forEachOrder calls f with all orders of steps up to a length.
func forEachOrder(length int, order []string, f func(order []string)) {
	f(order)
	if length == 0 {
		return
	}
	for step := range sequenceSteps {
		forEachOrder(length-1, append(order[:len(order):len(order)], step), f)
	}
}

// Guards against any order of events that leaves a caller with a gap, a repeat or an event of no number, or that can't go on elsewhere.
func TestEveryOrderOfEventsIsConsecutive(t *testing.T) {
	for _, lastID := range []string{"", "7"} {
		forEachOrder(6, nil, func(order []string) {
			s, err := newEventSequence(platform.Dialect{}, laburnumlever.Route{Kind: laburnumlever.KindStream, Resumable: true}, lastID)
			require.NoError(t, err)
			want, _ := platform.Dialect{}.LastEvent(lastID)
			begun := lastID != ""
			for _, step := range order {
				err := s.take(sequenceSteps[step](want))
				if step != "next" {
					require.Error(t, err, "%s of %v", step, order)
				} else {
					require.NoError(t, err, "%v", order)
					want, begun = want+1, true
				}
				last, ok := s.resumesAfter()
				require.Equal(t, begun, ok, "%v", order)
				require.Equal(t, want, last, "%v", order)
				require.Equal(t, begun, s.end() == nil, "%v", order)
			}
		})
	}
}

// Guards against an answer of another kind of route in which events with and without numbers are joined.
func TestEveryOrderOfEventsOfOtherRoutesIsOfOneNumbering(t *testing.T) {
	forEachOrder(5, nil, func(order []string) {
		s, err := newEventSequence(platform.Dialect{}, laburnumlever.Route{Kind: laburnumlever.KindIdempotent}, "7")
		require.NoError(t, err)
		taken := map[string]int{}
		for _, step := range order {
			if s.take(sequenceSteps[step](int64(taken["next"]))) == nil {
				taken[step]++
			}
		}
		require.Zero(t, taken["next"]*taken["unnumbered"], "%v", order)
		require.Zero(t, taken["gap"]+taken["repeat"], "%v", order)
		require.Equal(t, len(taken) > 0, s.end() == nil, "%v", order)
	})
}
