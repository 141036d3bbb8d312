package laburnumload

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"laburnumlever"
)

const (
	// The histograms count microseconds up to ten minutes, three digits exact.
	histogramMost   = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
	// maxBroken bounds the list of broken promises in a report.
	maxBroken = 50

	p50, p95, p99 = 50, 95, 99
)

// results gathers the answers of a run. It is not safe for use by many goroutines.
type results struct {
	catalogue laburnumlever.Catalogue
	report    Report
	classes   []*groupResults
	owners    []*groupResults
	first     *hdrhistogram.Histogram
	between   *hdrhistogram.Histogram
	refusals  []Count
	told      []Told
}

type groupResults struct {
	group Group
	first *hdrhistogram.Histogram
}

func newResults(e Experiment, catalogue laburnumlever.Catalogue) *results {
	return &results{
		catalogue: catalogue,
		report:    Report{Experiment: e.Name, Duration: laburnumlever.Duration(e.Duration()), Broken: []string{}},
		first:     newHistogram(),
		between:   newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMost, histogramDigits)
}

// record keeps a time; one beyond the histogram's range counts as its most.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), histogramMost))
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	at := func(quantile float64) laburnumlever.Duration {
		return laburnumlever.Duration(time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond)
	}
	return Latency{
		Count: h.TotalCount(), P50: at(p50), P95: at(p95), P99: at(p99),
		Max: laburnumlever.Duration(time.Duration(h.Max()) * time.Microsecond),
	}
}

// add takes one answer in.
func (r *results) add(a Arrival, id string, got Answer) {
	v := Judge(a, got)
	owner, class := r.entryOf(a)
	attained := v.Whole && !a.Resend && Attained(class, got)
	second := r.second(a.At)
	second.Sent++
	r.report.Sent++
	groups := r.groupsOf(a, owner, class.Name)
	switch {
	case v.Broken != "":
		r.broken(fmt.Sprintf("request %s: %s (status %d)", id, v.Broken, got.Status))
	case v.Whole:
		r.whole(groups, second, got, attained)
	case v.Lost:
		r.report.Lost++
		second.Lost++
	}
	if v.Refused != "" {
		r.report.Refused++
		second.Refused++
		r.refused(v.Refused)
	}
	if a.Service != "" && a.Method != http.MethodGet {
		r.told = append(r.told, Told{Key: idOf(a.Key, id), Answered: v.Whole, Outcome: got.Outcome, NotSent: got.NotSent})
	}
}

// groupsOf counts the request with its class and owner. A resend counts with
// neither: it only checks that a call runs once, and its caller has an answer already.
func (r *results) groupsOf(a Arrival, owner laburnumlever.OwnerName, class laburnumlever.ClassName) []*groupResults {
	if a.Resend {
		return nil
	}
	groups := []*groupResults{group(&r.classes, string(class)), group(&r.owners, string(owner))}
	for _, g := range groups {
		g.group.Sent++
	}
	return groups
}

func (r *results) whole(groups []*groupResults, second *Second, got Answer, attained bool) {
	r.report.Whole++
	second.Whole++
	record(r.first, got.FirstToken)
	for _, gap := range got.Gaps {
		record(r.between, gap)
	}
	for _, g := range groups {
		g.group.Whole++
		record(g.first, got.FirstToken)
	}
	if !attained {
		return
	}
	r.report.Attained++
	second.Attained++
	for _, g := range groups {
		g.group.Attained++
	}
}

func (r *results) entryOf(a Arrival) (laburnumlever.OwnerName, laburnumlever.Class) {
	if a.Service != "" {
		service, _ := r.catalogue.Service(a.Service)
		class, _ := r.catalogue.Class(service.Class)
		return service.Owner, class
	}
	model, _ := r.catalogue.Model(a.Model)
	class, _ := r.catalogue.Class(model.Class)
	return model.Owner, class
}

func (r *results) second(at time.Duration) *Second {
	i := int(at / time.Second)
	for len(r.report.Seconds) <= i {
		r.report.Seconds = append(r.report.Seconds, Second{})
	}
	return &r.report.Seconds[i]
}

func group(groups *[]*groupResults, name string) *groupResults {
	i := slices.IndexFunc(*groups, func(g *groupResults) bool { return g.group.Name == name })
	if i >= 0 {
		return (*groups)[i]
	}
	g := &groupResults{group: Group{Name: name}, first: newHistogram()}
	*groups = append(*groups, g)
	return g
}

func (r *results) refused(reason string) {
	i := slices.IndexFunc(r.refusals, func(c Count) bool { return c.Name == reason })
	if i < 0 {
		r.refusals = append(r.refusals, Count{Name: reason})
		i = len(r.refusals) - 1
	}
	r.refusals[i].Count++
}

func (r *results) broken(what string) {
	if len(r.report.Broken) < maxBroken {
		r.report.Broken = append(r.report.Broken, what)
	}
}

// finish makes the report. Accelerators and moves are the system's own account.
func (r *results) finish(accelerators int, moves uint64) Report {
	report := r.report
	report.FirstToken = latencyOf(r.first)
	report.BetweenTokens = latencyOf(r.between)
	report.Classes = finishGroups(r.classes)
	report.Owners = finishGroups(r.owners)
	sortCounts(r.refusals)
	report.Refusals = r.refusals
	report.Accelerators = accelerators
	report.Moves = moves
	report.AttainedPerSecond = perSecond(report.Attained, time.Duration(report.Duration))
	if accelerators > 0 {
		report.PerAccelerator = report.AttainedPerSecond / float64(accelerators)
	}
	return report
}

func finishGroups(groups []*groupResults) []Group {
	finished := make([]Group, len(groups))
	for i, g := range groups {
		g.group.finish(latencyOf(g.first))
		finished[i] = g.group
	}
	slices.SortFunc(finished, func(a, b Group) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return finished
}
