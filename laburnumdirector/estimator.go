package laburnumdirector

import (
	"math"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumresidency"
)

const (
	// tokenSeconds is how long a request holds a place for each token of its
	// answer, promptSeconds how long an engine reads for each token of a prompt.
	// Engines do not tell their speed; only the proportion between models matters
	// for the choice, and the size for how early a busy engine gets help.
	tokenSeconds  = 0.006
	promptSeconds = 1.0 / 30000
	// promptShare of an engine's time may go to prompts: they are read between the
	// tokens of all other requests there, and at more the pauses between these
	// become too long whenever a few prompts meet.
	promptShare = 0.5
	// riseTime and fallTime are how fast the estimate follows: up within a
	// second or two, since callers wait, and down slowly, since a copy that is
	// given up too early is loaded again.
	riseTime = 1500 * time.Millisecond
	fallTime = 6 * time.Second
	// rowsLife is how long a gateway's last word counts.
	rowsLife = 5 * time.Second
)

// estimator follows the demand for each model over all gateways.
type estimator struct {
	rows   map[laburnumlever.VMID]gatewayRows
	smooth map[laburnumlever.ModelName]float64
	at     time.Time
}

type gatewayRows struct {
	rows []laburnumlever.ModelDemand
	at   time.Time
}

func newEstimator() *estimator {
	return &estimator{rows: map[laburnumlever.VMID]gatewayRows{}, smooth: map[laburnumlever.ModelName]float64{}}
}

func (s *estimator) add(vm laburnumlever.VMID, rows []laburnumlever.ModelDemand, now time.Time) {
	s.rows[vm] = gatewayRows{rows: rows, at: now}
}

// work returns the work of each model as a share of one engine's, for engines with
// the number of places.
func (s *estimator) work(now time.Time, slots int) laburnumresidency.Demand {
	current := map[laburnumlever.ModelName]float64{}
	for vm, g := range s.rows {
		if now.Sub(g.at) > rowsLife {
			delete(s.rows, vm)
			continue
		}
		for _, row := range g.rows {
			current[row.Model] += row.AnswerTokens*tokenSeconds/float64(max(1, slots)) + row.PromptTokens*promptSeconds/promptShare
		}
	}
	span := now.Sub(s.at)
	s.at = now
	for model := range current {
		if _, ok := s.smooth[model]; !ok {
			s.smooth[model] = 0
		}
	}
	out := laburnumresidency.Demand{}
	for model, was := range s.smooth {
		limit := fallTime
		if current[model] > was {
			limit = riseTime
		}
		share := 1 - math.Exp(-span.Seconds()/limit.Seconds())
		s.smooth[model] = was + share*(current[model]-was)
		const nothing = 1e-4
		if s.smooth[model] < nothing && current[model] == 0 {
			delete(s.smooth, model)
			continue
		}
		out[model] = s.smooth[model]
	}
	return out
}
