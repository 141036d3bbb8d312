package laburnumdemand

import (
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

// demandReportInterval is the least time between two reports of demand. A model gets a few requests
// per second, so rates over a shorter time would be too noisy.
const demandReportInterval = time.Second

// refusedWeight is the weight of a refused request in the demand. Its caller retries at least once,
// under another request ID. With full weights, the demand for a model that no engine holds would
// look at least twice as high as it is, and the model would take engines that others need.
const refusedWeight = 0.5

// Request is the work that a request demands of a model.
type Request struct {
	Model                      laburnumlever.ModelName
	PromptTokens, AnswerTokens int
}

// RequestOf returns the work that a caller's request demands of its model.
func RequestOf(c laburnumlever.CallerRequest) Request {
	return Request{Model: c.Model, PromptTokens: c.PromptTokens, AnswerTokens: AnswerTokens(c)}
}

// AnswerTokens estimates the length of an answer: the caller's estimate, or else half of the
// maximum.
func AnswerTokens(c laburnumlever.CallerRequest) int {
	if c.AnswerHint > 0 {
		return min(c.AnswerHint, max(1, c.MaxAnswerTokens))
	}
	return c.MaxAnswerTokens / 2
}

// Counter counts the demand for models between two reports.
type Counter struct {
	vm       laburnumlever.VMID
	sequence uint64
	since    time.Time
	models   map[laburnumlever.ModelName]*modelCount
}

// modelCount is the demand for a model since the last report; prompt and answer are in tokens.
type modelCount struct{ requests, prompt, answer, refused float64 }

// NewCounter returns an empty counter for the gateway on the VM.
func NewCounter(vm laburnumlever.VMID) *Counter {
	return &Counter{vm: vm, models: map[laburnumlever.ModelName]*modelCount{}}
}

// Received counts a request. Call it when the request arrives: if requests were counted at their end,
// a shift of demand would show only after the time that an answer takes.
func (c *Counter) Received(r Request) { c.addWeighted(r, 1) }

// Refused records that a request counted by Received was refused, and lowers its weight to
// refusedWeight.
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

// Take returns the rates since its last report, or else its first call, sorted by model. It returns
// nil within demandReportInterval of that.
func (c *Counter) Take(now time.Time, times ReadTimes) []laburnumlever.ModelDemand {
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
