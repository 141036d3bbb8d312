package laburnumdirector

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumresidency"

	"github.com/go-kit/log/level"
)

const (
	layoutPeriod = 3 * time.Second
	maxListed    = 32 // models without a copy named in a log line
)

// logLayout logs how many engines hold and load each model of a service, and how many have memory
// for its largest model. Models with one copy are only counted, which keeps the line short with
// hundreds of models.
func (d *Director) logLayout(name laburnumlever.ServiceName, class *laburnumlever.EngineClass, engines []laburnumresidency.Engine, now time.Time) {
	if now.Sub(d.layoutLogged[name]) < layoutPeriod {
		return
	}
	d.layoutLogged[name] = now
	held, loading := countCopies(engines)
	largest := largestModel(class)
	withRoom := 0
	for i := range engines {
		if engines[i].HasMemoryFor(class, largest) {
			withRoom++
		}
	}
	single := 0
	var none []laburnumlever.ModelName
	for _, m := range class.Models {
		switch {
		case held[m.Name] == 1 && loading[m.Name] == 0:
			single++
			delete(held, m.Name)
		case held[m.Name] == 0 && loading[m.Name] == 0 && len(none) < maxListed:
			none = append(none, m.Name)
		}
	}
	_ = level.Info(d.cfg.logger).Log("event", laburnumlever.EventLayout, "service", name, "engines", len(engines),
		"room", withRoom, "held", held, "loading", loading, "one", single, "none", none)
}

// countCopies returns for each model how many engines serve it and how many are loading it.
func countCopies(engines []laburnumresidency.Engine) (held, loading map[laburnumlever.ModelName]int) {
	held, loading = map[laburnumlever.ModelName]int{}, map[laburnumlever.ModelName]int{}
	for i := range engines {
		e := &engines[i]
		for _, h := range e.Held {
			switch {
			case e.Loading == h.Name:
				loading[h.Name]++
			case e.Serves(h.Name):
				held[h.Name]++
			}
		}
	}
	return held, loading
}

// largestModel returns the model with the largest weights.
func largestModel(class *laburnumlever.EngineClass) laburnumlever.ModelClass {
	var largest laburnumlever.ModelClass
	for _, m := range class.Models {
		if m.WeightsMB > largest.WeightsMB {
			largest = m
		}
	}
	return largest
}
