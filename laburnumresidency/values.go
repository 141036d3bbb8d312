package laburnumresidency

import (
	"slices"

	"laburnumlever"
)

// Engine is what the planner knows of one model engine.
type Engine struct {
	ID   laburnumlever.BackendID
	Zone laburnumlever.ZoneName
	// Held are the models that take memory, those on their way in or out
	// included.
	Held []laburnumlever.HeldModel
	// Loading and Unloading are on their way; empty for none.
	Loading, Unloading laburnumlever.ModelName
	// Idle tells that the engine takes an order now.
	Idle bool
	// FreeIn is how many seconds it takes, as far as is known, until one that is not
	// idle takes an order; 0 where nothing is known.
	FreeIn           float64
	InMemory, OnDisk []laburnumlever.ModelName
	// Young are models that came too short a time ago to be given up.
	Young []laburnumlever.ModelName
}

// Demand is the work that each model makes, as a share of one engine's: 1 keeps one
// engine as busy as it may be.
type Demand map[laburnumlever.ModelName]float64

// Step is one order to one engine.
type Step struct {
	Engine laburnumlever.BackendID
	Kind   laburnumlever.OrderKind
	Model  laburnumlever.ModelName
	// FromStore tells that the weights come from the weight store.
	FromStore bool
	// Reason is for the log.
	Reason string
}

// Serves tells whether requests for the model can go to the engine, now or once a
// load is done.
func (e *Engine) Serves(model laburnumlever.ModelName) bool {
	return e.Unloading != model && laburnumlever.Holds(e.Held, model, "")
}

// used is the memory taken, in MB.
func (e *Engine) used(class *laburnumlever.EngineClass) float64 {
	total := 0.0
	for _, h := range e.Held {
		m, _ := class.Model(h.Name)
		total += m.WeightsMB + m.AdapterMB*float64(len(h.Adapters))
	}
	return total
}

// HasRoom tells whether the model fits beside what the engine holds.
func (e *Engine) HasRoom(class *laburnumlever.EngineClass, m laburnumlever.ResidentClass) bool {
	return e.used(class)+size(m) <= class.WeightsMB
}

// Holds tells whether the model takes memory at the engine.
func (e *Engine) Holds(model laburnumlever.ModelName) bool {
	return laburnumlever.Holds(e.Held, model, "")
}

// loads tells whether the engine loads a model.
func (e *Engine) loads() bool { return e.Loading != "" }

// wait is how many seconds pass until the engine takes an order.
func (e *Engine) wait() float64 {
	switch {
	case e.Idle:
		return 0
	case e.FreeIn > 0:
		return e.FreeIn
	default:
		return busyWait
	}
}

// LoadSeconds is how long a load takes at the engine.
func (e *Engine) LoadSeconds(m laburnumlever.ResidentClass) float64 {
	switch {
	case slices.Contains(e.InMemory, m.Name):
		return seconds(m.MemoryLoad)
	case slices.Contains(e.OnDisk, m.Name):
		return seconds(m.DiskLoad)
	default:
		return seconds(m.StoreLoad)
	}
}

func seconds(d laburnumlever.Duration) float64 { return float64(d) / 1e9 }
