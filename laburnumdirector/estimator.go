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
	// Engines do not report their speed. Only ratios between models matter for placement, the
	// absolute values decide how early a busy model gets another copy.
	tokenSeconds  = 0.006       // of a slot, for a token of an answer
	promptSeconds = 1.0 / 30000 // of an engine, for a token of a prompt, before the first report

	// promptShare of an engine's time may go to prompts: they are read between the tokens of all
	// answers, which pause meanwhile.
	promptShare = 0.5
	readRise    = 0.01 // smoothing factor of a rising time to read a token
	// minPace and maxPace bound the reported time, as factors of promptSeconds.
	minPace, maxPace = 0.08, 3.0

	// Time constants of the estimate. Slower, former demand holds memory that current demand
	// needs; faster, copies follow noise.
	riseTime = time.Second
	fallTime = 1500 * time.Millisecond

	quietTime = 10 * time.Second // without requests, after which a model may lose its last copy
	rowsLife  = 5 * time.Second  // of a gateway's last report
)

// estimator smooths the demand for each model over all gateways.
type estimator struct {
	rise, fall time.Duration
	rows       map[laburnumlever.VMID]gatewayRows
	smooth     map[laburnumlever.ModelName]load
	at         time.Time
	// reads is the reported time to read a token of a prompt, by model.
	reads   map[laburnumlever.ModelName]time.Duration
	askedAt map[laburnumlever.ModelName]time.Time // of the last request
	since   time.Time                             // of the first report
	quiet   time.Duration
}

// load is the work of a model, as a share of an engine's, and its requests per second.
type load struct{ work, requests float64 }

// toward interpolates between two loads.
func (l load) toward(to load, share float64) load {
	return load{work: l.work + share*(to.work-l.work), requests: l.requests + share*(to.requests-l.requests)}
}

type gatewayRows struct {
	rows []laburnumlever.ModelDemand
	at   time.Time
}

func newEstimator(rise, fall, quiet time.Duration) *estimator {
	return &estimator{rise: rise, fall: fall, rows: map[laburnumlever.VMID]gatewayRows{}, smooth: map[laburnumlever.ModelName]load{}, reads: map[laburnumlever.ModelName]time.Duration{}, askedAt: map[laburnumlever.ModelName]time.Time{}, quiet: quiet}
}

func (s *estimator) add(vm laburnumlever.VMID, rows []laburnumlever.ModelDemand, now time.Time) {
	s.rows[vm] = gatewayRows{rows: rows, at: now}
	for _, row := range rows {
		s.askedAt[row.Model] = now
		s.learnRead(row.Model, time.Duration(row.ReadTime))
	}
}

// learnRead prefers lower measurements, since others include the wait for other prompts.
func (s *estimator) learnRead(model laburnumlever.ModelName, read time.Duration) {
	was := s.reads[model]
	switch {
	case read <= 0:
	case was == 0 || read < was:
		s.reads[model] = read
	default:
		s.reads[model] = was + time.Duration(readRise*float64(read-was))
	}
}

// readSeconds is the time to read a token of a prompt.
func (s *estimator) readSeconds(model laburnumlever.ModelName) float64 {
	read := s.reads[model]
	if read == 0 {
		return promptSeconds
	}
	return min(maxPace, max(minPace, read.Seconds()/promptSeconds)) * promptSeconds
}

// loads returns the work and the requests per second of each model, for engines with a number of
// slots.
func (s *estimator) loads(now time.Time, slots int) (laburnumresidency.Demand, map[laburnumlever.ModelName]float64) {
	current := s.current(now, slots)
	span := now.Sub(s.at)
	s.at = now
	for model := range current {
		if _, ok := s.smooth[model]; !ok {
			s.smooth[model] = load{}
		}
	}
	work, requests := laburnumresidency.Demand{}, map[laburnumlever.ModelName]float64{}
	for model, was := range s.smooth {
		limit := s.fall
		if current[model].requests > was.requests {
			limit = s.rise
		}
		is := was.toward(current[model], 1-math.Exp(-span.Seconds()/limit.Seconds()))
		s.smooth[model] = is
		const nothing = 1e-4
		if is.work < nothing && current[model].requests == 0 {
			delete(s.smooth, model)
			continue
		}
		work[model], requests[model] = is.work, is.requests
	}
	return work, requests
}

// listen sets the time from which gateways report to this VM. Models are quiet a whole quiet time
// after it at the earliest.
func (s *estimator) listen(now time.Time) { s.since = now }

// quietModels are those without recent requests.
func (s *estimator) quietModels(class *laburnumlever.EngineClass, now time.Time) map[laburnumlever.ModelName]bool {
	quiet := map[laburnumlever.ModelName]bool{}
	if now.Sub(s.since) <= s.quiet {
		return quiet
	}
	for _, m := range class.Models {
		if now.Sub(s.askedAt[m.Name]) > s.quiet {
			quiet[m.Name] = true
		}
	}
	return quiet
}

// current sums the last reports of the gateways.
func (s *estimator) current(now time.Time, slots int) map[laburnumlever.ModelName]load {
	sum := map[laburnumlever.ModelName]load{}
	for _, vm := range slices.Sorted(maps.Keys(s.rows)) { // sums of floats depend on their order
		g := s.rows[vm]
		if now.Sub(g.at) > rowsLife {
			delete(s.rows, vm)
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
