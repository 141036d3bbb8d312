package laburnumload

import (
	"encoding/json"
	"os"
	"slices"
	"time"

	"laburnumlever"
)

// Report is what one run of an experiment showed.
type Report struct {
	Experiment string                 `json:"experiment"`
	Duration   laburnumlever.Duration `json:"duration"`
	Sent       int                    `json:"sent"`
	Whole      int                    `json:"whole"`
	Refused    int                    `json:"refused"`
	// Lost counts connections that broke, of which the caller knows nothing.
	Lost int `json:"lost"`
	// Late counts arrivals that the tool itself sent more than a tenth of a second
	// late: if there are many, the machine was the bottleneck and not the system.
	Late int `json:"sent-late"`

	// Attained counts the answers inside their class's targets.
	Attained          int     `json:"attained"`
	AttainedPerSecond float64 `json:"attained-per-second"`
	Accelerators      int     `json:"accelerators"`
	// PerAccelerator is attained answers a second for each accelerator.
	PerAccelerator float64 `json:"attained-per-second-per-accelerator"`
	Moves          uint64  `json:"moves"`

	FirstToken    Latency `json:"first-token"`
	BetweenTokens Latency `json:"between-tokens"`

	Classes  []Group  `json:"classes"`
	Owners   []Group  `json:"owners"`
	Refusals []Count  `json:"refusals"`
	Events   []string `json:"events,omitempty"`
	// Broken lists the promises that were broken.
	Broken []string `json:"broken"`
	// Seconds shows the run second by second.
	Seconds []Second `json:"seconds"`
}

// Group is the attainment of one class or owner.
type Group struct {
	Name       string  `json:"name"`
	Sent       int     `json:"sent"`
	Whole      int     `json:"whole"`
	Attained   int     `json:"attained"`
	Attainment float64 `json:"attainment"`
	FirstToken Latency `json:"first-token"`
}

// Count is how often something happened.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Latency holds quantiles.
type Latency struct {
	Count int64                  `json:"count"`
	P50   laburnumlever.Duration `json:"p50"`
	P95   laburnumlever.Duration `json:"p95"`
	P99   laburnumlever.Duration `json:"p99"`
	Max   laburnumlever.Duration `json:"max"`
}

// Second is one second of a run, by the time of arrival.
type Second struct {
	Sent     int `json:"sent"`
	Whole    int `json:"whole"`
	Attained int `json:"attained"`
	Refused  int `json:"refused"`
	Lost     int `json:"lost"`
}

// ReadReport reads a report that was written as JSON.
func ReadReport(file string) (Report, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Report{}, &ReportFileError{File: file, Cause: err}
	}
	var report Report
	if err := json.Unmarshal(text, &report); err != nil {
		return Report{}, &ReportFileError{File: file, Cause: err}
	}
	return report, nil
}

// Err is a *BrokenPromiseError if a promise was broken.
func (r Report) Err() error {
	if len(r.Broken) == 0 {
		return nil
	}
	return &BrokenPromiseError{Broken: len(r.Broken)}
}

func (g *Group) finish(latency Latency) {
	g.FirstToken = latency
	if g.Sent > 0 {
		g.Attainment = float64(g.Attained) / float64(g.Sent)
	}
}

func sortCounts(counts []Count) {
	slices.SortFunc(counts, func(a, b Count) int {
		if a.Count != b.Count {
			return b.Count - a.Count
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}

func perSecond(count int, d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	return float64(count) / d.Seconds()
}
