package laburnumresidency

import (
	"math"
	"slices"

	"laburnumlever"
)

// Engine is the state of a model engine, as input of a planning round.
type Engine struct {
	ID   laburnumlever.BackendID
	Zone laburnumlever.ZoneName
	// Held are the models that occupy memory, including loading and unloading ones.
	Held               []laburnumlever.EngineModel
	Loading, Unloading laburnumlever.ModelName // empty for none
	// Idle tells that the engine accepts an order.
	Idle bool
	// IdleInSeconds is the time until the order in progress ends; 0 if unknown.
	IdleInSeconds    float64
	InMemory, OnDisk []laburnumlever.ModelName
	// RecentlyLoaded are the models loaded too recently to be evicted.
	RecentlyLoaded []laburnumlever.ModelName
}

// Demand is the work of each model, as a share of an engine's capacity.
type Demand map[laburnumlever.ModelName]float64

// Step is an order to an engine.
type Step struct {
	Engine laburnumlever.BackendID
	Kind   laburnumlever.OrderKind
	Model  laburnumlever.ModelName
	// FromStore tells that the weights come from the weight store.
	FromStore bool
	// Reason is logged as the cause of the order.
	Reason string
}

// Serves tells whether the engine holds or is loading the model, and is not unloading it.
func (e *Engine) Serves(model laburnumlever.ModelName) bool {
	return e.Unloading != model && laburnumlever.Holds(e.Held, model, "")
}

// usedMB is the memory in use, in MB; infinite if the class does not list a held model, whose size is
// then unknown.
func (e *Engine) usedMB(class *laburnumlever.EngineClass) float64 {
	total := 0.0
	for _, h := range e.Held {
		m, ok := class.Model(h.Name)
		if !ok {
			return math.Inf(1)
		}
		total += m.WeightsMB + float64(m.AdapterMB*float64(len(h.Adapters)))
	}
	return total
}

// HasMemoryFor tells whether the model fits into the engine's free memory.
func (e *Engine) HasMemoryFor(class *laburnumlever.EngineClass, m laburnumlever.ModelClass) bool {
	return e.usedMB(class)+size(m) <= class.WeightsMB
}

// Holds tells whether the model occupies memory on the engine.
func (e *Engine) Holds(model laburnumlever.ModelName) bool {
	return laburnumlever.Holds(e.Held, model, "")
}

// isLoading tells whether a load is in progress.
func (e *Engine) isLoading() bool { return e.Loading != "" }

// loadsFromStore tells whether a load from the weight store is in progress. The model may have left the
// manifest since it was ordered.
func (e *Engine) loadsFromStore() bool {
	return e.isLoading() && !slices.Contains(e.InMemory, e.Loading) && !slices.Contains(e.OnDisk, e.Loading)
}

// waitSeconds is the expected time until the engine accepts an order.
func (e *Engine) waitSeconds() float64 {
	switch {
	case e.Idle:
		return 0
	case e.IdleInSeconds > 0:
		return e.IdleInSeconds
	default:
		return unknownWait
	}
}

// LoadSeconds is the duration of a load from the fastest source of the weights: host memory, disk or
// the weight store.
func (e *Engine) LoadSeconds(m laburnumlever.ModelClass) float64 {
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
