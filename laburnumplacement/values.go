package laburnumplacement

import (
	"laburnumlever"
)

// MoveReason says what a move is for. Lower values are more urgent.
type MoveReason int

// The reasons for a move, the most urgent first.
const (
	ReasonRepair    MoveReason = iota // the model has no copy at all
	ReasonMakeRoom                    // room for a model that has no copy
	ReasonVersion                     // the catalogue names another version
	ReasonUpdate                      // the copy's adapters or size changed
	ReasonRemoved                     // the catalogue no longer has the model
	ReasonLeaving                     // the only copies are on engines that leave
	ReasonSpread                      // a second copy, in another zone if there is room
	ReasonDemand                      // the copies that there are can't carry the demand
	ReasonExchanged                   // another copy brings more here
)

// Snapshot is all that one round reads. It is not changed.
type Snapshot struct {
	Catalogue laburnumlever.Catalogue
	Engines   []Engine
	// Demand per model; a model that is missing has none.
	Demand map[laburnumlever.ModelName]Demand
	// OwnZone limits repairs that other zones have not made in time to this zone,
	// for the models in Overdue.
	OwnZone laburnumlever.ZoneName
	// Overdue are the models that have been without a copy for too long.
	Overdue map[laburnumlever.ModelName]bool
	// Fresh are the models whose version changed a moment ago: another zone's
	// owner may still act on the last one, so its copies are not relied on.
	Fresh map[laburnumlever.ModelName]bool
}

// Engine is one model engine as the planning VM knows it.
type Engine struct {
	ID           laburnumlever.BackendID
	Zone         laburnumlever.ZoneName
	Accelerators []laburnumlever.Accelerator
	Copies       []Copy
	// Reserved is committed on each accelerator, in the order of Accelerators,
	// beside the copies: orders whose outcome is unknown.
	Reserved []int
	// Serving tells that its copies count as reachable.
	Serving bool
	// Leaving tells that its copies will soon be gone and need successors.
	Leaving bool
	// Usable tells that it takes orders. One whose inventory is not known yet, or
	// that must not be ordered without a quorum, keeps what it has.
	Usable                 bool
	TokensPerSecond        float64
	PrefillTokensPerSecond float64
}

// Copy is a copy that an engine holds or has been ordered to load.
type Copy struct {
	laburnumlever.Loaded
	// Stable tells that it has been seen ready for some time, so that it may
	// be relied on when another copy is given up.
	Stable bool
	// Going tells that its unload is under way.
	Going bool
	// Counted tells that its memory stays counted when it is unloaded: the order that
	// loaded it may yet arrive once more.
	Counted bool
}

// Demand is what callers ask of one model, over all VMs.
type Demand struct {
	// Now follows rises at once; Hold is the highest of about the last half hour.
	Now, Hold Rates
}

// Rates are a second.
type Rates struct {
	Requests, PromptTokens, AnswerTokens float64
}

// Move is one order that a plan asks for.
type Move struct {
	Kind   laburnumlever.OrderKind
	Engine laburnumlever.BackendID
	Zone   laburnumlever.ZoneName
	Copy   laburnumlever.Loaded
	Reason MoveReason
	// For is the model that room is made for.
	For laburnumlever.ModelName
	// Gain is the expected attainment, in requests inside their targets a second.
	Gain float64
}

// Plan is what one round decided.
type Plan struct {
	// Moves are ordered: the most urgent first.
	Moves []Move
	// Unplaced models have no copy and no room.
	Unplaced []laburnumlever.ModelName
	// Unmet is the demand that the copies can't carry, as a share of each
	// model's demand; models without any are left out.
	Unmet map[laburnumlever.ModelName]float64
}
