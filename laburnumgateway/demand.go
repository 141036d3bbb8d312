package laburnumgateway

import (
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

// demandPeriod is how often demand is told: at a few requests a second for a model, a
// second is the least in which their number means something.
const demandPeriod = time.Second

// refusedWeight is what a refused request counts for: its caller comes back at least
// once, under another id, and would be counted twice. A model that nobody serves seemed
// to be asked for twice as much as it was, and took engines that others needed.
const refusedWeight = 0.5

// demand counts what callers ask of models between two reports.
type demand struct {
	vm       laburnumlever.VMID
	sequence uint64
	since    time.Time
	rows     map[laburnumlever.ModelName]*demandRow
}

type demandRow struct{ requests, prompt, answer, refused float64 }

func newDemand(vm laburnumlever.VMID) *demand {
	return &demand{vm: vm, rows: map[laburnumlever.ModelName]*demandRow{}}
}

func (d *demand) add(q *request, served bool) {
	if q.caller.Model == "" {
		return
	}
	row := d.rows[q.caller.Model]
	if row == nil {
		row = &demandRow{}
		d.rows[q.caller.Model] = row
	}
	weight := 1.0
	if !served {
		weight = refusedWeight
		row.refused++
	}
	row.requests += weight
	row.prompt += weight * float64(q.caller.PromptTokens)
	row.answer += weight * float64(answerTokens(q.caller))
}

// answerTokens is the likely length of an answer: the caller's estimate, else half of
// the bound.
func answerTokens(c laburnumlever.CallerRequest) int {
	if c.AnswerHint > 0 {
		return min(c.AnswerHint, max(1, c.MaxAnswerTokens))
	}
	return c.MaxAnswerTokens / 2
}

// take returns the rates since the last time that it did so; none sooner than a period
// after, since rates over a few requests say nothing.
func (d *demand) take(now time.Time, paces paces) []laburnumlever.ModelDemand {
	if d.since.IsZero() {
		d.since = now
	}
	if now.Sub(d.since) < demandPeriod {
		return nil
	}
	span := now.Sub(d.since).Seconds()
	d.sequence++
	rows := make([]laburnumlever.ModelDemand, 0, len(d.rows))
	for model, row := range d.rows {
		rows = append(rows, laburnumlever.ModelDemand{
			Model: model, VM: d.vm, Sequence: d.sequence, RequestsPerSecond: row.requests / span,
			PromptTokens: row.prompt / span, AnswerTokens: row.answer / span, Refused: row.refused / span,
			ReadTime: laburnumlever.Duration(paces.of(model)),
		})
	}
	slices.SortFunc(rows, func(a, b laburnumlever.ModelDemand) int { return strings.Compare(string(a.Model), string(b.Model)) })
	d.rows = map[laburnumlever.ModelName]*demandRow{}
	d.since = now
	return rows
}
