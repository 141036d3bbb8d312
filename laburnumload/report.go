package laburnumload

import (
	"encoding/json"
	"os"
	"slices"
	"time"

	"laburnumlever"
)

// Report is the result of one run of an experiment.
type Report struct {
	Experiment string                 `json:"experiment"`
	Duration   laburnumlever.Duration `json:"duration"`
	Sent       int                    `json:"sent"`
	Whole      int                    `json:"whole"`
	Refused    int                    `json:"refused"`
	// Lost counts requests whose connection broke, so that the caller does not know the
	// outcome.
	Lost int `json:"lost"`
	// SentLate counts requests that the tool itself sent more than 100 ms late. If there
	// are many, the machine that runs the tool was the bottleneck, not the system.
	SentLate int `json:"sent-late"`

	// Attained counts the answers within their class's latency targets.
	Attained          int     `json:"attained"`
	AttainedPerSecond float64 `json:"attained-per-second"`
	Accelerators      int     `json:"accelerators"`
	// PerAccelerator is the number of attained answers per second per accelerator.
	PerAccelerator float64 `json:"attained-per-second-per-accelerator"`
	Moves          uint64  `json:"moves"`

	FirstToken    Latency `json:"first-token"`
	BetweenTokens Latency `json:"between-tokens"`

	Classes  []Group  `json:"classes"`
	Owners   []Group  `json:"owners"`
	Refusals []Count  `json:"refusals"`
	Events   []string `json:"events,omitempty"`
	// Broken lists violated guarantees, 50 at most.
	Broken []string `json:"broken"`
	// Seconds has the counts of each second of the run.
	Seconds []Second `json:"seconds"`
}

// Group holds the counts of one class or owner. Attainment is the fraction, 0 to 1, of
// the requests sent that were answered within the targets.
type Group struct {
	Name       string  `json:"name"`
	Sent       int     `json:"sent"`
	Whole      int     `json:"whole"`
	Attained   int     `json:"attained"`
	Attainment float64 `json:"attainment"`
	FirstToken Latency `json:"first-token"`
}

// Count is the number of refusals with one reason.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Latency holds the quantiles of Count measured latencies.
type Latency struct {
	Count int64                  `json:"count"`
	P50   laburnumlever.Duration `json:"p50"`
	P95   laburnumlever.Duration `json:"p95"`
	P99   laburnumlever.Duration `json:"p99"`
	Max   laburnumlever.Duration `json:"max"`
}

// Second has the counts of one second of a run, by the requests' time of arrival.
type Second struct {
	Sent     int `json:"sent"`
	Whole    int `json:"whole"`
	Attained int `json:"attained"`
	Refused  int `json:"refused"`
	Lost     int `json:"lost"`
}

// ReadReport reads a JSON report file. Errors: *ReportFileError.
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

// Err returns a *BrokenPromiseError if the report lists violated guarantees.
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
