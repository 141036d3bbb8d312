package laburnumdispatch_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"laburnumlever"

	"github.com/stretchr/testify/require"
)

var (
	quickClass = laburnumlever.Class{Name: "quick", FirstToken: laburnumlever.Duration(1900 * time.Millisecond)}
	batchClass = laburnumlever.Class{Name: "batch", Priority: laburnumlever.Batch, FirstToken: laburnumlever.Duration(20 * time.Second)}
)

const (
	vms = 3
	// capacity of ten engines in ordinary calls per second: 40 slots, each busy for
	// 200/4000 + 100/50 seconds per call.
	capacity     = 40 / 2.05
	loadDuration = 2 * time.Minute
)

func ordinary(key string) *call { return &call{key: key, class: quickClass, prompt: 200, answer: 100} }

// load is one load pattern.
type load struct {
	name  string
	setup func(s *simulation)
	kinds []kind
	// minOnTimeShare is the required share of calls of the first kind within their target.
	minOnTimeShare float64
}

type kind struct {
	name string
	of   func(c *call) bool
}

func allCalls(*call) bool { return true }

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

var loads = []load{
	{"burst: tenfold for a minute", func(s *simulation) {
		rate := func(since time.Duration) float64 {
			if since > 30*time.Second && since < 90*time.Second {
				return 3 * capacity
			}
			return 0.3 * capacity
		}
		n := 0
		s.arrivals(loadDuration, rate, func() *call { n++; return ordinary(fmt.Sprint(n % 50)) })
	}, []kind{{"all", allCalls}}, 0.36},
	{"three callers send 90 in 100, 1.5 times capacity", func(s *simulation) {
		s.arrivals(loadDuration, steady(1.5*capacity), func() *call {
			if s.rand.IntN(10) > 0 {
				return ordinary(fmt.Sprint("heavy", s.rand.IntN(3)))
			}
			return ordinary(fmt.Sprint("light", s.rand.IntN(30)))
		})
	}, []kind{
		{"the other thirty", func(c *call) bool { return strings.HasPrefix(c.key, "light") }},
		{"the three", func(c *call) bool { return strings.HasPrefix(c.key, "heavy") }},
	}, 0.93},
	{"one engine of ten is ten times slower, 0.7 of capacity", func(s *simulation) {
		s.engines[3].rate /= 10
		s.engines[3].prefill /= 10
		n := 0
		s.arrivals(loadDuration, steady(0.7*capacity), func() *call { n++; return ordinary(fmt.Sprint(n % 50)) })
	}, []kind{{"all", allCalls}}, 0.99},
	{"one call in ten is long, 1.3 times capacity", func(s *simulation) {
		// a long call occupies a slot for 8000/4000 + 400/50 = 10 s
		s.arrivals(loadDuration, steady(1.3*40/(0.9*2.05+0.1*10)), func() *call {
			c := ordinary(fmt.Sprint(s.rand.IntN(50)))
			if s.rand.IntN(10) == 0 {
				c.prompt, c.answer = 8000, 400
				c.class.FirstToken = laburnumlever.Duration(10 * time.Second)
			}
			return c
		})
	}, []kind{
		{"short", func(c *call) bool { return c.prompt == 200 }},
		{"long", func(c *call) bool { return c.prompt != 200 }},
	}, 0.7},
	{"saturation: 2 times capacity, 3 in 10 batch", saturation(2), saturationKinds, 0.54},
	{"saturation: 5 times capacity, 3 in 10 batch", saturation(5), saturationKinds, 0.26},
}

var saturationKinds = []kind{
	{"interactive", func(c *call) bool { return c.class.Priority == laburnumlever.Interactive }},
	{"batch", func(c *call) bool { return c.class.Priority == laburnumlever.Batch }},
}

func saturation(times float64) func(s *simulation) {
	return func(s *simulation) {
		s.arrivals(loadDuration, steady(times*capacity), func() *call {
			c := ordinary(fmt.Sprint(s.rand.IntN(50)))
			if s.rand.IntN(10) < 3 {
				c.class = batchClass
			}
			return c
		})
	}
}

func (l load) simulate(c namedPolicy) *simulation {
	s := newSimulation(10, c.maxQueue)
	for i := range vms {
		s.policies = append(s.policies, c.make(s, uint64(i)))
	}
	l.setup(s)
	s.run(loadDuration + callerTimeout)
	return s
}

// Guards against overload in which engines work on abandoned calls, or retries add more than a tenth to the load.
func TestLoadPatterns(t *testing.T) {
	var table strings.Builder
	table.WriteString("| load | policy | callers | calls | inside target | late | no answer | longest wait | retries | refusals |\n")
	table.WriteString("| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | --- |\n")
	for _, l := range loads {
		best := 0.0
		for i, c := range namedPolicies {
			s := l.simulate(c)
			for _, k := range l.kinds {
				writeRow(&table, l.name, c.name, k, s)
			}
			first := s.stats(l.kinds[0].of)
			if i == 0 {
				best = first.onTimeShare()
				require.GreaterOrEqual(t, best, l.minOnTimeShare, l.name)
				require.LessOrEqual(t, s.retries, len(s.calls)/10+vms*5, l.name)
				continue
			}
			require.GreaterOrEqual(t, best, first.onTimeShare(), "%s: baseline %q has a higher on-time share", l.name, c.name)
		}
	}
	t.Log("\n" + table.String())
}

func writeRow(w *strings.Builder, load, policy string, k kind, s *simulation) {
	stats := s.stats(k.of)
	reasons := make([]string, 0, len(s.refused))
	for reason, n := range s.refused {
		reasons = append(reasons, fmt.Sprintf("%s %d", strings.TrimPrefix(reason, "refused-"), n))
	}
	slices.Sort(reasons)
	fmt.Fprintf(w, "| %s | %s | %s | %d | %.1f%% | %d | %d | %.1f s | %d | %s |\n", load, policy, k.name, stats.calls,
		100*stats.onTimeShare(), stats.late, stats.noFirstToken, stats.longest.Seconds(), s.retries, strings.Join(reasons, ", "))
}
