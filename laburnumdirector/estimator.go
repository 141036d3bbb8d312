package laburnumdirector

import (
	"maps"
	"math"
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumresidency"
)

const (
	// Assumed speed, as engines do not report theirs. Only the ratios between models matter for
	// placement; the absolute values decide how early a busy model gets another copy.
	tokenSeconds  = 0.006       // time of a slot for a token of an answer
	promptSeconds = 1.0 / 30000 // time of an engine for a token of a prompt, until one is reported

	// promptShare is the share of an engine's time that may go to prompts. All answers pause while
	// the engine reads a prompt.
	promptShare       = 0.5
	readTimeSmoothing = 0.01 // smoothing factor for increases of the time to read a token
	// minReadFactor and maxReadFactor limit the reported time, as factors of promptSeconds.
	minReadFactor, maxReadFactor = 0.08, 3.0

	// Time constants of the estimate. With longer ones, past demand holds memory that current demand
	// needs; with shorter ones, copies follow noise.
	riseTime = time.Second
	fallTime = 1500 * time.Millisecond

	quietTime = 10 * time.Second // time without requests after which a model may lose its last copy
	reportTTL = 5 * time.Second  // time after which a gateway's last report is discarded
)

// estimator smooths the demand for each model over all gateways.
type estimator struct {
	rise, fall time.Duration
	reports    map[laburnumlever.VMID]gatewayReport
	smoothed   map[laburnumlever.ModelName]load
	smoothedAt time.Time
	// readTimes is the reported time to read a token of a prompt, by model.
	readTimes    map[laburnumlever.ModelName]time.Duration
	requestedAt  map[laburnumlever.ModelName]time.Time // last request, by model
	reportsSince time.Time                             // when gateways began to report to this VM
	quiet        time.Duration
}

// load is a model's work, as a share of an engine's capacity, and its requests per second.
type load struct{ work, requests float64 }

// interpolate moves the load towards another one by a share of their difference.
func (l load) interpolate(to load, share float64) load {
	return load{work: l.work + share*(to.work-l.work), requests: l.requests + share*(to.requests-l.requests)}
}

type gatewayReport struct {
	rows []laburnumlever.ModelDemand
	at   time.Time
}

func newEstimator(rise, fall, quiet time.Duration) *estimator {
	return &estimator{rise: rise, fall: fall, reports: map[laburnumlever.VMID]gatewayReport{}, smoothed: map[laburnumlever.ModelName]load{}, readTimes: map[laburnumlever.ModelName]time.Duration{}, requestedAt: map[laburnumlever.ModelName]time.Time{}, quiet: quiet}
}

func (s *estimator) add(vm laburnumlever.VMID, rows []laburnumlever.ModelDemand, now time.Time) {
	s.reports[vm] = gatewayReport{rows: rows, at: now}
	for _, row := range rows {
		s.requestedAt[row.Model] = now
		s.updateReadTime(row.Model, time.Duration(row.ReadTime))
	}
}

// updateReadTime records a reported time to read a token. Lower measurements apply at once, higher
// ones slowly, since those include the wait for other prompts.
func (s *estimator) updateReadTime(model laburnumlever.ModelName, read time.Duration) {
	previous := s.readTimes[model]
	switch {
	case read <= 0:
	case previous == 0 || read < previous:
		s.readTimes[model] = read
	default:
		s.readTimes[model] = previous + time.Duration(readTimeSmoothing*float64(read-previous))
	}
}

// readSeconds is the time to read a token of a prompt, in seconds.
func (s *estimator) readSeconds(model laburnumlever.ModelName) float64 {
	read := s.readTimes[model]
	if read == 0 {
		return promptSeconds
	}
	return min(maxReadFactor, max(minReadFactor, read.Seconds()/promptSeconds)) * promptSeconds
}

// loads returns the smoothed work and requests per second of each model; slots are those of an
// engine.
func (s *estimator) loads(now time.Time, slots int) (laburnumresidency.Demand, map[laburnumlever.ModelName]float64) {
	current := s.current(now, slots)
	span := now.Sub(s.smoothedAt)
	s.smoothedAt = now
	for model := range current {
		if _, ok := s.smoothed[model]; !ok {
			s.smoothed[model] = load{}
		}
	}
	work, requests := laburnumresidency.Demand{}, map[laburnumlever.ModelName]float64{}
	for model, previous := range s.smoothed {
		timeConstant := s.fall
		if current[model].requests > previous.requests {
			timeConstant = s.rise
		}
		next := previous.interpolate(current[model], 1-math.Exp(-span.Seconds()/timeConstant.Seconds()))
		s.smoothed[model] = next
		const negligible = 1e-4
		if next.work < negligible && current[model].requests == 0 {
			delete(s.smoothed, model)
			continue
		}
		work[model], requests[model] = next.work, next.requests
	}
	return work, requests
}

// expectReports sets the time from which gateways report to this VM. No model counts as quiet until
// the quiet time has passed since then.
func (s *estimator) expectReports(now time.Time) { s.reportsSince = now }

// quietModels returns the models without requests for the quiet time, of those that the class lists or
// an engine holds.
func (s *estimator) quietModels(class *laburnumlever.EngineClass, engines []laburnumresidency.Engine, now time.Time) map[laburnumlever.ModelName]bool {
	quiet := map[laburnumlever.ModelName]bool{}
	if now.Sub(s.reportsSince) <= s.quiet {
		return quiet
	}
	add := func(name laburnumlever.ModelName) {
		if now.Sub(s.requestedAt[name]) > s.quiet {
			quiet[name] = true
		}
	}
	for _, m := range class.Models {
		add(m.Name)
	}
	for i := range engines {
		for _, h := range engines[i].Held {
			add(h.Name)
		}
	}
	return quiet
}

// current sums the last reports of the gateways.
func (s *estimator) current(now time.Time, slots int) map[laburnumlever.ModelName]load {
	sum := map[laburnumlever.ModelName]load{}
	for _, vm := range slices.Sorted(maps.Keys(s.reports)) { // float sums depend on the order
		g := s.reports[vm]
		if now.Sub(g.at) > reportTTL {
			delete(s.reports, vm)
			continue
		}
		for _, row := range g.rows {
			l := sum[row.Model]
			l.work += row.AnswerTokens*tokenSeconds/float64(max(1, slots)) + row.PromptTokens*s.readSeconds(row.Model)/promptShare
			l.requests += row.RequestsPerSecond
			sum[row.Model] = l
		}
	}
	return sum
}
