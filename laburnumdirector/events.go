package laburnumdirector

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumresidency"
)

type (
	ticked struct{ now time.Time }
	// recorded is an update of a backend server.
	recorded struct{ record laburnumregistry.Record }
	// heard is a heartbeat without changes.
	heard  struct{ heartbeat laburnumlever.Heartbeat }
	routed struct{ table laburnumlever.RouteTable }
	// told is a gateway's demand and adapter use.
	told struct {
		vm   laburnumlever.VMID
		news laburnumlever.GatewayNews
	}
	// leased is the result of acquiring or renewing the lease.
	leased struct {
		sentAt time.Duration
		result laburnumlever.Result
		err    error
	}
	// ordered is the result of an order.
	ordered struct {
		backend laburnumlever.BackendID
		order   laburnumlever.EngineOrder
		verdict laburnumlever.EngineVerdict
		err     error
	}
	// stated is the result of a state request.
	stated struct {
		backend laburnumlever.BackendID
		state   laburnumlever.EngineState
		err     error
	}
	// arrived is the expected end of an adapter's load.
	arrived struct {
		backend laburnumlever.BackendID
		key     adapterKey
	}
	needed struct{ need *need }
	// planned is the end of a round of planning.
	planned struct {
		round round
		steps []laburnumresidency.Step
	}
)

func (ticked) EventName() string   { return "director-ticked" }
func (recorded) EventName() string { return "director-recorded" }
func (heard) EventName() string    { return "director-heard" }
func (routed) EventName() string   { return "director-routed" }
func (told) EventName() string     { return "director-told" }
func (leased) EventName() string   { return "director-leased" }
func (ordered) EventName() string  { return "director-ordered" }
func (stated) EventName() string   { return "director-stated" }
func (arrived) EventName() string  { return "director-arrived" }
func (needed) EventName() string   { return "director-needed" }
func (planned) EventName() string  { return "director-planned" }
