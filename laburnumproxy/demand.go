package laburnumproxy

import (
	"slices"
	"strings"
	"sync"
	"time"

	"laburnumlever"

	"github.com/cockroachdb/errors"
)

// demand counts requests and tokens of each model, as input to placement.
type demand struct {
	mu       sync.Mutex
	since    time.Time
	sequence uint64
	models   map[laburnumlever.ModelName]*modelCounts
}

type modelCounts struct {
	requests, promptTokens, answerTokens, refused, answered, withinTarget float64
}

func newDemand(now time.Time) *demand {
	return &demand{since: now, models: map[laburnumlever.ModelName]*modelCounts{}}
}

func (d *demand) counts(model laburnumlever.ModelName) *modelCounts {
	c := d.models[model]
	if c == nil {
		c = &modelCounts{}
		d.models[model] = c
	}
	return c
}

func (d *demand) countRequest(q *request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.counts(q.model)
	c.requests++
	c.promptTokens += float64(q.promptTokens)
	c.answerTokens += float64(q.answerTokens)
}

// countResult counts a finished request; err is nil for a complete response.
func (d *demand) countResult(q *request, firstToken time.Duration, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.counts(q.model)
	var refusal *laburnumlever.RefusalError
	if errors.As(err, &refusal) && isCapacityRefusal(refusal.Reason) {
		c.refused++
		return
	}
	if err != nil {
		return
	}
	c.answered++
	target := time.Duration(q.class.FirstToken)
	if target == 0 || firstToken <= target {
		c.withinTarget++
	}
}

func isCapacityRefusal(reason laburnumlever.RefusalReason) bool {
	switch reason {
	case laburnumlever.RefusedQueueFull, laburnumlever.RefusedQueueTimeout, laburnumlever.RefusedDeadline,
		laburnumlever.RefusedNoBackend, laburnumlever.RefusedBackendBusy:
		return true
	default:
		return false
	}
}

// Demand returns the demand for each model since the last call, in rates per second. Call
// it at a fixed interval; models without requests are omitted.
func (p *Proxy) Demand() []laburnumlever.ModelDemand {
	d := p.demand
	now := p.timers.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	span := now.Sub(d.since).Seconds()
	if span <= 0 {
		return nil
	}
	d.sequence++
	out := make([]laburnumlever.ModelDemand, 0, len(d.models))
	for name, c := range d.models {
		out = append(out, laburnumlever.ModelDemand{
			Model: name, VM: p.views.View().Self.ID, Sequence: d.sequence,
			RequestsPerSecond: c.requests / span, PromptTokens: c.promptTokens / span,
			AnswerTokens: c.answerTokens / span, Refused: c.refused / span,
			InsideTarget: ratio(c.withinTarget, c.answered+c.refused),
		})
	}
	slices.SortFunc(out, func(a, b laburnumlever.ModelDemand) int {
		return strings.Compare(string(a.Model), string(b.Model))
	})
	d.since = now
	d.models = map[laburnumlever.ModelName]*modelCounts{}
	return out
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return part / whole
}
