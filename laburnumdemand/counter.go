package laburnumdemand

import (
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

// demandReportInterval is how often demand is told: at a few requests a second for a model, a
// second is the least in which their number means something.
const demandReportInterval = time.Second

// refusedWeight is what a refused request counts for in the end: its caller comes back at least
// once, under another id, and would be counted twice. A model that nobody serves seemed
// to be asked for twice as much as it was, and took engines that others needed.
const refusedWeight = 0.5

// Request is what one request asks of a model.
type Request struct {
	Model                      laburnumlever.ModelName
	PromptTokens, AnswerTokens int
}

// RequestOf is what a caller's request asks of a model.
func RequestOf(c laburnumlever.CallerRequest) Request {
	return Request{Model: c.Model, PromptTokens: c.PromptTokens, AnswerTokens: AnswerTokens(c)}
}

// AnswerTokens is the likely length of an answer: the caller's estimate, else half of
// the bound.
func AnswerTokens(c laburnumlever.CallerRequest) int {
	if c.AnswerHint > 0 {
		return min(c.AnswerHint, max(1, c.MaxAnswerTokens))
	}
	return c.MaxAnswerTokens / 2
}

// Counter counts what callers ask of models between two reports.
type Counter struct {
	vm       laburnumlever.VMID
	sequence uint64
	since    time.Time
	models   map[laburnumlever.ModelName]*modelCount
}

type modelCount struct{ requests, prompt, answer, refused float64 }

// NewCounter makes an empty counter for a gateway.
func NewCounter(vm laburnumlever.VMID) *Counter {
	return &Counter{vm: vm, models: map[laburnumlever.ModelName]*modelCount{}}
}

// Asked counts a request that has come. Counted at its end, a model that callers turn to would be
// seen by the time that an answer takes later.
func (c *Counter) Asked(r Request) { c.addWeighted(r, 1) }

// Refused counts that a request was refused.
func (c *Counter) Refused(r Request) {
	c.addWeighted(r, refusedWeight-1)
	if count := c.models[r.Model]; count != nil {
		count.refused++
	}
}

func (c *Counter) addWeighted(r Request, weight float64) {
	if r.Model == "" {
		return
	}
	count := c.models[r.Model]
	if count == nil {
		count = &modelCount{}
		c.models[r.Model] = count
	}
	count.requests += weight
	count.prompt += weight * float64(r.PromptTokens)
	count.answer += weight * float64(r.AnswerTokens)
}

// Take returns the rates since the last time that it did so; none sooner than a period
// after, since rates over a few requests say nothing.
func (c *Counter) Take(now time.Time, times Paces) []laburnumlever.ModelDemand {
	if c.since.IsZero() {
		c.since = now
	}
	if now.Sub(c.since) < demandReportInterval {
		return nil
	}
	span := now.Sub(c.since).Seconds()
	c.sequence++
	rows := make([]laburnumlever.ModelDemand, 0, len(c.models))
	for model, r := range c.models {
		rows = append(rows, laburnumlever.ModelDemand{
			Model: model, VM: c.vm, Sequence: c.sequence, RequestsPerSecond: max(0, r.requests/span),
			PromptTokens: max(0, r.prompt/span), AnswerTokens: max(0, r.answer/span), Refused: r.refused / span,
			ReadTime: laburnumlever.Duration(times.Of(model)),
		})
	}
	slices.SortFunc(rows, func(a, b laburnumlever.ModelDemand) int { return strings.Compare(string(a.Model), string(b.Model)) })
	c.models = map[laburnumlever.ModelName]*modelCount{}
	c.since = now
	return rows
}
