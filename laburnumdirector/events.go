package laburnumdirector

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumresidency"
)

type (
	ticked struct{ now time.Time }
	// recordUpdated is a changed record of a backend server.
	recordUpdated struct{ record laburnumregistry.Record }
	// heartbeatReceived is a heartbeat that brings no change.
	heartbeatReceived struct{ heartbeat laburnumlever.Heartbeat }
	routesUpdated     struct{ table laburnumlever.RouteTable }
	// gatewayReported is a gateway's report on demand, adapter use and backend servers.
	gatewayReported struct {
		vm     laburnumlever.VMID
		report laburnumlever.GatewayReport
	}
	// leaseAnswered is the result of acquiring or renewing the lease.
	leaseAnswered struct {
		sentAt time.Duration
		result laburnumlever.Result
		err    error
	}
	// orderAnswered is the result of sending an order.
	orderAnswered struct {
		backend laburnumlever.BackendID
		order   laburnumlever.EngineOrder
		verdict laburnumlever.EngineVerdict
		err     error
	}
	// stateReceived is the result of a state request.
	stateReceived struct {
		backend laburnumlever.BackendID
		state   laburnumlever.EngineState
		err     error
	}
	// adapterLoaded is the expected end of an adapter load.
	adapterLoaded struct {
		backend laburnumlever.BackendID
		key     adapterKey
	}
	adapterRequested struct{ request *adapterRequest }
	// roundPlanned is the result of a planning round.
	roundPlanned struct {
		round round
		steps []laburnumresidency.Step
	}
)

func (ticked) EventName() string            { return "director-ticked" }
func (recordUpdated) EventName() string     { return "director-recorded" }
func (heartbeatReceived) EventName() string { return "director-heard" }
func (routesUpdated) EventName() string     { return "director-routed" }
func (gatewayReported) EventName() string   { return "director-told" }
func (leaseAnswered) EventName() string     { return "director-leased" }
func (orderAnswered) EventName() string     { return "director-ordered" }
func (stateReceived) EventName() string     { return "director-stated" }
func (adapterLoaded) EventName() string     { return "director-arrived" }
func (adapterRequested) EventName() string  { return "director-needed" }
func (roundPlanned) EventName() string      { return "director-planned" }
