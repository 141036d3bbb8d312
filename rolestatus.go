package laburnumlever

import "time"

// RoleStatus is the state of a gateway or control VM and of the fleet as it sees it. It
// holds counts, so its size does not grow with VMs, models or backend servers.
type RoleStatus struct {
	// Role is "gateway" or "control".
	Role string   `json:"role"`
	VM   VMID     `json:"vm"`
	Zone ZoneName `json:"zone"`
	// RoutesVersion is the version of the routes in effect; 0 for none.
	RoutesVersion uint64 `json:"routes-version"`
	// RoutesBytes is the size of the operators' text of the routes, of at most MaxRoutesDocument bytes; control VMs set it.
	RoutesBytes int `json:"routes-bytes,omitempty"`
	// Director is the peer address or the name of the director; empty if unknown.
	Director string `json:"director,omitempty"`
	// Gateways and Controls count the known VMs; only a control VM knows the control VMs.
	Gateways int `json:"gateways"`
	Controls int `json:"controls,omitempty"`
	// Ready, InFlight and Queued are set by gateways.
	Ready    bool `json:"ready,omitempty"`
	InFlight int  `json:"in-flight,omitempty"`
	Queued   int  `json:"queued,omitempty"`
	// HeldBytes is how much of answers a gateway holds for callers that read slowly.
	HeldBytes int `json:"held-bytes,omitempty"`
	// Keys is set by gateways if there are client accounts.
	Keys *KeysStatus `json:"keys,omitempty"`
	// Refusals are those of a gateway in the last RefusalsWindow; nil for none.
	Refusals *RefusalsStatus `json:"refusals,omitempty"`
	// Accounts are the client accounts with a quota that a control VM grants parts of, at most
	// MaxAccountStatuses of them, those with the largest use first.
	Accounts []AccountStatus `json:"accounts,omitempty"`
	// Parts are the parts of prompts that a control VM refuses, at most MaxPartStatuses of them, those with the most crashes first.
	Parts []PartStatus `json:"parts,omitempty"`
	// Room lists the services of which less urgent requests leave slots free: on gateways what is in force, on the director what it
	// has decided.
	Room []RoomStatus `json:"room,omitempty"`
	// ConnectionLeases are the gateways to which a control VM leases connections to backend servers, at most MaxConnectionLeases of
	// them, those with the most first.
	ConnectionLeases []ConnectionLeases `json:"connection-leases,omitempty"`
	// Services are the services of the routes in effect.
	Services []ServiceStatus `json:"services,omitempty"`
}

// MaxAccountStatuses is the number of client accounts in a status.
const MaxAccountStatuses = 64

// MaxConnectionLeases is the number of gateways with leased connections in a status.
const MaxConnectionLeases = 16

// ConnectionLeases are the connections that one gateway has leased beyond its share.
type ConnectionLeases struct {
	Gateway VMID `json:"gateway"`
	// Servers counts the backend servers, Connections the connections to them all.
	Servers     int `json:"servers"`
	Connections int `json:"connections"`
}

// MaxPartStatuses is the number of parts of prompts in a status.
const MaxPartStatuses = 64

// PartStatus is a part of prompts with which requests are refused.
type PartStatus struct {
	Service ServiceName `json:"service"`
	Part    PartID      `json:"part"`
	// Crashes counts the backend servers that crashed under it since the last answer, Trials those of them in a trial.
	Crashes int `json:"crashes"`
	Trials  int `json:"trials,omitempty"`
	// RetryIn is the time until it may be tried again.
	RetryIn Duration `json:"retry-in"`
}

// PartLift asks for a part of prompts to be served again.
type PartLift struct {
	Service ServiceName `json:"service"`
	Part    PartID      `json:"part"`
}

// KeysStatus tells whether a gateway accepts the keys of client accounts.
type KeysStatus struct {
	Accepted bool `json:"accepted"`
	// Age is the time since the routes in effect were last known to be the newest.
	Age Duration `json:"age"`
	// Accounts and Keys count those of the routes in effect.
	Accounts int `json:"accounts"`
	Keys     int `json:"keys"`
}

// RefusalsWindow is the time over which a status counts refusals.
const RefusalsWindow = time.Minute

// RefusalsStatus counts the requests that a gateway refused in the last RefusalsWindow.
type RefusalsStatus struct {
	Requests int                   `json:"requests"`
	Reasons  map[RefusalReason]int `json:"reasons"`
	// Accounts are at most MaxAccountStatuses client accounts, those with the most refusals first.
	Accounts []AccountRefusals `json:"accounts,omitempty"`
}

// AccountRefusals counts the requests of one client account that a gateway refused.
type AccountRefusals struct {
	Account  AccountName           `json:"account"`
	Requests int                   `json:"requests"`
	Reasons  map[RefusalReason]int `json:"reasons"`
}

// AccountStatus is the use of a control VM's share of a client account's quota.
type AccountStatus struct {
	Account AccountName `json:"account"`
	// Keys are the fingerprints of its keys.
	Keys []string `json:"keys,omitempty"`
	// Rate is the share of the quota and Used what was granted of it lately, both per second.
	Rate float64 `json:"rate"`
	Used float64 `json:"used"`
	// Reserved is what gateways hold as reserves.
	Reserved float64 `json:"reserved,omitempty"`
	// Refused counts the needs that were refused.
	Refused uint64 `json:"refused"`
}

// ServiceStatus counts the backend servers of a service.
type ServiceStatus struct {
	Service ServiceName `json:"service"`
	// Serving counts backend servers that accept requests, Silent those of them without
	// recent heartbeats, Leaving those that accept no requests.
	Serving int `json:"serving"`
	Silent  int `json:"silent"`
	Leaving int `json:"leaving"`
	// Resting counts the serving backend servers that have asked a gateway for rest; gateways set it.
	Resting int `json:"resting,omitempty"`
	// Slow counts the serving backend servers that told a gateway just now that work takes longer there than usual; gateways set it.
	Slow int `json:"slow,omitempty"`
	// Connections is what a gateway may have to one backend server of the service; nil without a limit. Gateways set it.
	Connections *ConnectionsStatus `json:"connections,omitempty"`
	// Software counts the serving backend servers by software version, without those whose version is unknown.
	Software map[SoftwareVersion]int `json:"software,omitempty"`
	// Models counts the models in the catalogue, Absent those of them that no serving
	// engine has loaded.
	Models int `json:"models,omitempty"`
	Absent int `json:"absent,omitempty"`
	// Copies counts the loaded models over all serving engines.
	Copies int `json:"copies,omitempty"`
	// Examples are some of the absent models.
	Examples []ModelName `json:"examples,omitempty"`
}

// ConnectionsStatus tells how a gateway shares the connection limit of a service's backend servers with the other gateways. Each
// connection carries one request at a time.
type ConnectionsStatus struct {
	// Limit is the number of connections that one backend server accepts from all VMs, Share this gateway's own part of it, Leased what
	// it has leased beyond that of all servers together.
	Limit  int `json:"limit"`
	Share  int `json:"share"`
	Leased int `json:"leased"`
	// Busiest is the largest number of this gateway's requests at one backend server, UsedUp the number of backend servers to
	// which it has all connections that it may open.
	Busiest int `json:"busiest"`
	UsedUp  int `json:"used-up"`
}
