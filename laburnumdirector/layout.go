package laburnumdirector

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumresidency"

	"github.com/go-kit/log/level"
)

// layoutPeriod is how often the layout is told: about as fast as it changes.
const layoutPeriod = 3 * time.Second

// reportLayout tells how many engines hold each model of a service, how many are loading it,
// and how many have room for another, so that an hour can be understood afterwards from the
// lines of the VMs that gave the orders.
func (d *Director) reportLayout(name laburnumlever.ServiceName, class *laburnumlever.EngineClass, engines []laburnumresidency.Engine, now time.Time) {
	if now.Sub(d.laidOutAt[name]) < layoutPeriod {
		return
	}
	d.laidOutAt[name] = now
	held, loading := map[laburnumlever.ModelName]int{}, map[laburnumlever.ModelName]int{}
	room := 0
	for _, e := range engines {
		for _, h := range e.Held {
			switch {
			case e.Loading == h.Name:
				loading[h.Name]++
			case e.Serves(h.Name):
				held[h.Name]++
			}
		}
		if e.HasRoom(class, largest(class)) {
			room++
		}
	}
	_ = level.Info(d.cfg.logger).Log("event", laburnumlever.EventLayout, "service", name, "engines", len(engines),
		"room", room, "held", held, "loading", loading)
}

// largest is the model that takes most memory: an engine with room for it takes any.
func largest(class *laburnumlever.EngineClass) laburnumlever.ResidentClass {
	var largest laburnumlever.ResidentClass
	for _, m := range class.Models {
		if m.WeightsMB > largest.WeightsMB {
			largest = m
		}
	}
	return largest
}
