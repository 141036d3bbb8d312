package laburnumplacement

import (
	"laburnumlever"
)

// MoveReason is the reason for a move. Lower values are more urgent.
type MoveReason int

// The reasons for a move, most urgent first.
const (
	ReasonRepair    MoveReason = iota // the model has no active copy
	ReasonMakeRoom                    // an eviction or relocation for a model without a copy
	ReasonVersion                     // the catalogue has another version
	ReasonUpdate                      // the copy's adapters or size differ from the catalogue
	ReasonRemoved                     // the catalogue no longer has the model
	ReasonLeaving                     // all copies are on leaving engines
	ReasonSpread                      // a second copy, in another zone if possible
	ReasonDemand                      // the existing copies cannot serve the demand
	ReasonExchanged                   // evicted for a copy with a higher gain
)

// Snapshot is the input of one round. The planner does not modify it.
type Snapshot struct {
	Catalogue laburnumlever.Catalogue
	Engines   []Engine
	// Demand is per model; a missing model has none.
	Demand map[laburnumlever.ModelName]Demand
	// OwnZone is the planning VM's zone, to which repairs of the models in Overdue are limited.
	OwnZone laburnumlever.ZoneName
	// Overdue holds the models whose repair has taken too long.
	Overdue map[laburnumlever.ModelName]bool
	// RecentlyChanged holds the models whose version changed recently. The owner of another
	// zone may still act on the previous version, so its copies are not relied on.
	RecentlyChanged map[laburnumlever.ModelName]bool
}

// Engine is the state of one model engine as the planning VM knows it.
type Engine struct {
	ID           laburnumlever.BackendID
	Zone         laburnumlever.ZoneName
	Accelerators []laburnumlever.Accelerator
	Copies       []Copy
	// Reserved is the memory in MiB that is reserved on each accelerator in addition to the copies,
	// in the order of Accelerators: that of orders with an unknown outcome.
	Reserved []int
	// Serving reports whether the engine is reachable, so that its copies count as reachable.
	Serving bool
	// Leaving reports whether the engine is about to stop, so that its copies need replacements.
	Leaving bool
	// AcceptsOrders reports whether the engine may be sent orders. An engine whose inventory is not
	// known yet, or that must not receive orders without a quorum, keeps its copies.
	AcceptsOrders          bool
	TokensPerSecond        float64
	PrefillTokensPerSecond float64
}

// Copy is a copy that is loaded on an engine or that the engine was ordered to load.
type Copy struct {
	laburnumlever.ModelCopy
	// Stable reports whether the copy has been ready for some time, so that another copy may be
	// unloaded because of it.
	Stable bool
	// Unloading reports whether an unload of the copy is in flight.
	Unloading bool
	// StaysReserved reports whether its memory stays reserved after an unload, because the order
	// that loaded it may still be delivered again.
	StaysReserved bool
}

// Demand is the demand for one model, summed over all VMs.
type Demand struct {
	// Now follows a rise within seconds; Peak is the decaying peak of about the last half hour.
	Now, Peak Rates
}

// Rates are per second.
type Rates struct {
	Requests, PromptTokens, AnswerTokens float64
}

// Move is one order that a plan asks for.
type Move struct {
	Kind   laburnumlever.OrderKind
	Engine laburnumlever.BackendID
	Zone   laburnumlever.ZoneName
	Copy   laburnumlever.ModelCopy
	Reason MoveReason
	// For is the model that the move makes room for, if any.
	For laburnumlever.ModelName
	// Gain is the expected gain, in requests per second that meet their latency targets.
	Gain float64
}

// Plan is the result of one round.
type Plan struct {
	// Moves are ordered by urgency, most urgent first.
	Moves []Move
	// Unplaced holds the models that have no copy and for which no room can be made.
	Unplaced []laburnumlever.ModelName
	// Unmet is the share of each model's demand that the copies cannot serve. Models with none are
	// left out.
	Unmet map[laburnumlever.ModelName]float64
}
