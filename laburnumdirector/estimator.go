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
	// tokenSeconds is how long a request holds a place for each token of its
	// answer, promptSeconds how long an engine reads for each token of a prompt where
	// that was not measured yet. Engines do not tell their speed; only the proportion
	// between models matters for the choice, and the size for how early a busy engine
	// gets help.
	tokenSeconds  = 0.006
	promptSeconds = 1.0 / 30000
	// promptShare of an engine's time may go to prompts: they are read between the
	// tokens of all other requests there, and at more the pauses between these
	// become too long whenever a few prompts meet.
	promptShare = 0.5
	// readRise is the part of the way that the time to read a token goes up at a higher
	// measure, some a second: an estimate that was too low is right within a minute.
	readRise = 0.01
	// minPace and maxPace bound what is believed of a model's time to read, beside
	// promptSeconds: models that fit the same engines differ by some ten times, and a
	// wrong measure does no more harm than that.
	minPace, maxPace = 0.08, 3.0
	// riseTime and fallTime are how fast the estimate follows. Slower, a model that nobody asks
	// for any more holds slots that the next busy one needs; faster, copies are loaded and
	// evicted for what is chance in a second's requests.
	riseTime = time.Second
	fallTime = 1500 * time.Millisecond
	// quietTime is after how long without a request nobody asks for a model: a dozen times the
	// pause between two requests of one that is asked for once a second.
	quietTime = 10 * time.Second
	// rowsLife is how long a gateway's last word counts.
	rowsLife = 5 * time.Second
)

// estimator follows the demand for each model over all gateways.
type estimator struct {
	rise, fall time.Duration
	rows       map[laburnumlever.VMID]gatewayRows
	smooth     map[laburnumlever.ModelName]load
	at         time.Time
	// reads is what engines take to read a token of a prompt for each model, as gateways
	// measured it.
	reads map[laburnumlever.ModelName]time.Duration
	// askedAt is when each model was asked for last, since when the estimator has listened.
	askedAt map[laburnumlever.ModelName]time.Time
	since   time.Time
	quiet   time.Duration
}

// load is what callers ask of a model: the work, as a share of one engine's, and the
// requests a second.
type load struct{ work, requests float64 }

// toward moves a load towards another by a share of the way.
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

// learnRead takes a gateway's measure. A lower one counts more: what is wanted is the
// time without other work, and engines have other work most of the time.
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

// readSeconds is what an engine takes to read a token of a prompt for the model.
func (s *estimator) readSeconds(model laburnumlever.ModelName) float64 {
	read := s.reads[model]
	if read == 0 {
		return promptSeconds
	}
	return min(maxPace, max(minPace, read.Seconds()/promptSeconds)) * promptSeconds
}

// loads returns the work of each model, for engines with the number of places, and the
// requests a second for it.
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

// listen notes that gateways tell this VM from now on: models that nobody has asked for since
// are not quiet yet.
func (s *estimator) listen(now time.Time) { s.since = now }

// quietModels are those that nobody has asked for lately.
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

// current adds up what the gateways told last.
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
