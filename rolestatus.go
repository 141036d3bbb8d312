package laburnumlever

// RoleStatus is what a gateway or a control VM knows of itself and of the fleet, in counts: its
// size does not grow with VMs, models or backend servers.
type RoleStatus struct {
	// Role is "gateway" or "control".
	Role string   `json:"role"`
	VM   VMID     `json:"vm"`
	Zone ZoneName `json:"zone"`
	// RoutesVersion is the version in force; 0 for none.
	RoutesVersion uint64 `json:"routes-version"`
	// Director is the peer address or the name of the director as far as known.
	Director string `json:"director,omitempty"`
	// Gateways and Controls are the VMs known; only a control VM knows the control VMs.
	Gateways int `json:"gateways"`
	Controls int `json:"controls,omitempty"`
	// Ready, InFlight and Queued are a gateway's.
	Ready    bool `json:"ready,omitempty"`
	InFlight int  `json:"in-flight,omitempty"`
	Queued   int  `json:"queued,omitempty"`
	// Services are those of the routes in force.
	Services []ServiceStatus `json:"services,omitempty"`
}

// ServiceStatus counts the backend servers of a service.
type ServiceStatus struct {
	Service ServiceName `json:"service"`
	// Serving take work; Silent are those of them without heartbeats. Leaving take none.
	Serving int `json:"serving"`
	Silent  int `json:"silent"`
	Leaving int `json:"leaving"`
	// Models are in the catalogue, Absent of them are held by no serving engine.
	Models int `json:"models,omitempty"`
	Absent int `json:"absent,omitempty"`
	// Copies are models held, over all serving engines.
	Copies int `json:"copies,omitempty"`
	// Examples are some of the absent models.
	Examples []ModelName `json:"examples,omitempty"`
}
