package laburnumsimulation

import (
	"context"
	"fmt"
	"io"
	"math"
	"strings"
	"sync"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is the level of the confidence intervals.
const confidence = 0.95

// Row is the result of one policy over all simulated days.
type Row struct {
	Policy  string `json:"policy"`
	Summary string `json:"summary"`
	// Value is the mean over the days, Interval half the width of its confidence interval.
	Value    float64 `json:"value"`
	Interval float64 `json:"interval"`
	// Gain is the mean difference from the first policy on the same days, GainInterval half the
	// width of its confidence interval.
	Gain         float64 `json:"gain"`
	GainInterval float64 `json:"gain-interval"`
	// Mean holds the means of other figures of the outcomes.
	Mean Means `json:"mean"`
	// Days holds the outcomes in the order of the seeds.
	Days []Outcome `json:"days"`
}

// Means holds means over days. OnTime to Failed are shares of the requests.
type Means struct {
	Day          float64 `json:"day"`
	WorstWindows float64 `json:"worst-windows"`
	WorstClass   float64 `json:"worst-class"`
	OnTime       float64 `json:"on-time"`
	Late         float64 `json:"late"`
	LatePause    float64 `json:"late-pause"`
	Refused      float64 `json:"refused"`
	Failed       float64 `json:"failed"`
	Loads        float64 `json:"loads"`
}

// Table is a comparison of policies on one scenario.
type Table struct {
	Scenario string `json:"scenario"`
	Seeds    int    `json:"seeds"`
	Rows     []Row  `json:"rows"`
}

// Progress is called after each simulated day with the number of days done and of all days.
type Progress func(done, all int)

// Compare simulates the same days with each policy, with a number of days in parallel given by
// workers. If ctx is cancelled, it returns its error early.
func Compare(ctx context.Context, s Scenario, policies []Policy, seeds, workers int, progress Progress) (Table, error) {
	days := make([][]Outcome, len(policies))
	for i := range days {
		days[i] = make([]Outcome, seeds)
	}
	type job struct{ policy, seed int }
	jobs := make(chan job)
	var wg sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for range max(1, workers) {
		wg.Go(func() {
			for j := range jobs {
				days[j.policy][j.seed] = Run(s, policies[j.policy], uint64(j.seed)+1)
				mu.Lock()
				done++
				progress(done, len(policies)*seeds)
				mu.Unlock()
			}
		})
	}
	err := func() error {
		defer close(jobs)
		for seed := range seeds {
			for policy := range policies {
				select {
				case jobs <- job{policy: policy, seed: seed}:
				case <-ctx.Done():
					return ctx.Err()
				}
			}
		}
		return nil
	}()
	wg.Wait()
	if err != nil {
		return Table{}, err
	}
	t := Table{Scenario: s.Name, Seeds: seeds}
	for i, p := range policies {
		t.Rows = append(t.Rows, newRow(p, days[i], days[0]))
	}
	return t, nil
}

func newRow(p Policy, days, first []Outcome) Row {
	r := Row{Policy: p.Name, Summary: p.Summary, Days: days}
	values, gains := make([]float64, len(days)), make([]float64, len(days))
	n := float64(len(days))
	for i, o := range days {
		values[i], gains[i] = o.Value, o.Value-first[i].Value
		requests := max(1, float64(o.Requests))
		r.Mean.Day += o.Day / n
		r.Mean.WorstWindows += o.WorstWindows / n
		r.Mean.WorstClass += o.WorstClass / n
		r.Mean.OnTime += float64(o.OnTime) / requests / n
		r.Mean.Late += float64(o.Late) / requests / n
		r.Mean.LatePause += float64(o.LatePause) / requests / n
		r.Mean.Refused += float64(o.Refused) / requests / n
		r.Mean.Failed += float64(o.Failed) / requests / n
		r.Mean.Loads += float64(o.Loads) / n
	}
	r.Value, r.Interval = interval(values)
	r.Gain, r.GainInterval = interval(gains)
	return r
}

// interval returns a mean and half the width of its confidence interval, which is 0 for a single
// value.
func interval(values []float64) (mean, half float64) {
	mean, deviation := stat.MeanStdDev(values, nil)
	n := float64(len(values))
	if n < 2 || deviation == 0 {
		return mean, 0
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}
	return mean, t.Quantile(1-(1-confidence)/2) * deviation / math.Sqrt(n)
}

// WriteText writes the table as text. An error is the writer's.
func (t Table) WriteText(w io.Writer) error {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "%s, %d days for each policy; +- are %.0f%% intervals\n\n", t.Scenario, t.Seeds, confidence*100)
	tab := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tab, "policy\tvalue\tgain\ton time\tlate\tby pause\trefused\tfailed\tday\tworst windows\tworst class\tloads")
	for _, r := range t.Rows {
		_, _ = fmt.Fprintf(tab, "%s\t%.3f +- %.3f\t%+.3f +- %.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\n", r.Policy, r.Value, r.Interval,
			r.Gain, r.GainInterval, r.Mean.OnTime, r.Mean.Late, r.Mean.LatePause, r.Mean.Refused, r.Mean.Failed, r.Mean.Day, r.Mean.WorstWindows, r.Mean.WorstClass, r.Mean.Loads)
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	_, err := io.WriteString(w, text.String())
	return err
}
