package laburnumreturn

import (
	"time"

	"laburnumlever"
)

// Need is what requests need that compete for the same slots. Model is empty for a plain service.
type Need struct {
	Service laburnumlever.ServiceName
	Model   laburnumlever.ModelName
}

//go:generate go tool -modfile=../tools/go.mod enumer -type=Kind -transform=kebab -output=kind_gen.go

// Kind is what is expected for a refused caller.
type Kind int

const (
	// Default means that nothing is known.
	Default Kind = iota
	// Drain is a slot, by how fast queued requests got slots.
	Drain
	// ModelLoad is the end of a load under way.
	ModelLoad
)

// loadSpread is the part of the time until a model is expected by which returns are spread at least: all gateways learn of a load at
// the same time.
const loadSpread = 0.25

// Expectation is when a refused caller can be served. The zero value expects nothing.
type Expectation struct {
	Kind Kind
	// In is the time until then, Spread the time after it over which returns are spread.
	In, Spread time.Duration
}

// After returns the delay until a caller's return, by a random number from 0 to 1.
func (e Expectation) After(random float64) time.Duration {
	return e.In + time.Duration(random*float64(e.Spread))
}

// OfLoad returns the expectation of one of the callers that wait for a load, with the time for which a request holds a slot and the
// number of callers that this gateway has told to return for the model. The others are taken to have told as many.
func OfLoad(load Load, hold time.Duration, pending, gateways int) Expectation {
	spread := time.Duration(loadSpread * float64(load.In))
	if load.Slots > 0 {
		turns := float64(pending*max(1, gateways)) / float64(load.Slots)
		spread += time.Duration(turns * float64(hold))
	}
	return Expectation{Kind: ModelLoad, In: load.In, Spread: spread}
}

// OfDrain returns the expectation of a slot after a time, told as least if it is sooner: those who come meanwhile, or return through other
// gateways, take slots as well. It is spread by least.
func OfDrain(in, least time.Duration) Expectation {
	return Expectation{Kind: Drain, In: max(in, least), Spread: least}
}
