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
	// The histograms' range is up to ten minutes in microseconds, with a precision of
	// three significant digits.
	maxMicroseconds = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
	// maxBroken is the maximum length of Report.Broken.
	maxBroken = 50

	p50, p95, p99 = 50, 95, 99
)

// results aggregates the answers of a run. It is not safe for use by many goroutines.
type results struct {
	catalogue     laburnumlever.Catalogue
	report        Report
	classes       []*groupResults
	owners        []*groupResults
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	refusals      []Count
	calls         []CallResult
}

type groupResults struct {
	group      Group
	firstToken *hdrhistogram.Histogram
}

func newResults(e Experiment, catalogue laburnumlever.Catalogue) *results {
	return &results{
		catalogue:     catalogue,
		report:        Report{Experiment: e.Name, Duration: laburnumlever.Duration(e.Duration()), Broken: []string{}},
		firstToken:    newHistogram(),
		betweenTokens: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicroseconds, histogramDigits)
}

// recordTime records a latency; one beyond the histogram's range counts as its maximum.
func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxMicroseconds))
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

// addAnswer checks one answer and adds it to the counts.
func (r *results) addAnswer(a Arrival, id string, got Answer) {
	v := CheckAnswer(a, got)
	owner, class := r.ownerAndClass(a)
	attained := v.Whole && !a.Resend && MeetsTargets(class, got)
	second := r.secondAt(a.At)
	second.Sent++
	r.report.Sent++
	groups := r.countSent(a, owner, class.Name)
	switch {
	case v.Broken != "":
		r.addBroken(fmt.Sprintf("request %s: %s (status %d)", id, v.Broken, got.Status))
	case v.Whole:
		r.addWhole(groups, second, got, attained)
	case v.Lost:
		r.report.Lost++
		second.Lost++
	}
	if v.Refused != "" {
		r.report.Refused++
		second.Refused++
		r.countRefusal(v.Refused)
	}
	if a.Service != "" && a.Method != http.MethodGet {
		r.calls = append(r.calls, CallResult{Key: callID(a.Key, id), Answered: v.Whole, Outcome: got.Outcome, NotSent: got.NotSent})
	}
}

// countSent counts the request for its class and owner and returns their groups. It
// skips resends: they only check that a call runs once, and their caller has been counted
// with the first send.
func (r *results) countSent(a Arrival, owner laburnumlever.OwnerName, class laburnumlever.ClassName) []*groupResults {
	if a.Resend {
		return nil
	}
	groups := []*groupResults{findGroup(&r.classes, string(class)), findGroup(&r.owners, string(owner))}
	for _, g := range groups {
		g.group.Sent++
	}
	return groups
}

func (r *results) addWhole(groups []*groupResults, second *Second, got Answer, attained bool) {
	r.report.Whole++
	second.Whole++
	recordTime(r.firstToken, got.FirstToken)
	for _, gap := range got.Gaps {
		recordTime(r.betweenTokens, gap)
	}
	for _, g := range groups {
		g.group.Whole++
		recordTime(g.firstToken, got.FirstToken)
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

func (r *results) ownerAndClass(a Arrival) (laburnumlever.OwnerName, laburnumlever.Class) {
	if a.Service != "" {
		service, _ := r.catalogue.Service(a.Service)
		class, _ := r.catalogue.Class(service.Class)
		return service.Owner, class
	}
	model, _ := r.catalogue.Model(a.Model)
	class, _ := r.catalogue.Class(model.Class)
	return model.Owner, class
}

func (r *results) secondAt(at time.Duration) *Second {
	i := int(at / time.Second)
	for len(r.report.Seconds) <= i {
		r.report.Seconds = append(r.report.Seconds, Second{})
	}
	return &r.report.Seconds[i]
}

func findGroup(groups *[]*groupResults, name string) *groupResults {
	i := slices.IndexFunc(*groups, func(g *groupResults) bool { return g.group.Name == name })
	if i >= 0 {
		return (*groups)[i]
	}
	g := &groupResults{group: Group{Name: name}, firstToken: newHistogram()}
	*groups = append(*groups, g)
	return g
}

func (r *results) countRefusal(reason string) {
	i := slices.IndexFunc(r.refusals, func(c Count) bool { return c.Name == reason })
	if i < 0 {
		r.refusals = append(r.refusals, Count{Name: reason})
		i = len(r.refusals) - 1
	}
	r.refusals[i].Count++
}

func (r *results) addBroken(what string) {
	if len(r.report.Broken) < maxBroken {
		r.report.Broken = append(r.report.Broken, what)
	}
}

// finish makes the report. Accelerators and moves come from the VMs' status.
func (r *results) finish(accelerators int, moves uint64) Report {
	report := r.report
	report.FirstToken = latencyOf(r.firstToken)
	report.BetweenTokens = latencyOf(r.betweenTokens)
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
		g.group.finish(latencyOf(g.firstToken))
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
