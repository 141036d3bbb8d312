package laburnumlimit

import (
	"time"

	"laburnumlever"
)

const (
	// FullShare is the share of a limit that a server's keeper grants.
	FullShare = 1.0
	// StandInShare is the share that another control VM grants while the keeper may be running.
	StandInShare = 0.25
	// gatewayShare is the share that all gateways together send without a control VM. If some gateways
	// reach the keeper, some another control VM and some none, they send one and a half times the limit,
	// which servers tolerate.
	gatewayShare = 0.25

	// MaxWait is the longest time until a granted slot. The slots of a control VM that has stopped
	// are granted again by the next one, so that this bounds the requests beyond the limit.
	MaxWait = 2 * time.Second
	// Grace is how long a gateway may use a slot after its time.
	Grace = 500 * time.Millisecond

	// minPerSecond replaces lower limits. A server that names a limit of 0 must get some requests, as
	// only its answers tell the end of the limit.
	minPerSecond = 0.1
)

// Limit is the limit of one incarnation of a backend server.
type Limit struct {
	Backend     laburnumlever.BackendID `json:"backend"`
	Incarnation uint64                  `json:"born,omitempty"`
	// PerSecond is the number of requests per second from all gateways.
	PerSecond float64 `json:"per-second"`
	// Ended tells that the server no longer has a limit.
	Ended bool `json:"ended,omitempty"`
}

// same reports whether both tell the same of the same incarnation.
func (l Limit) same(other Limit) bool {
	return l.Incarnation == other.Incarnation && l.Ended == other.Ended && (l.Ended || l.PerSecond == other.PerSecond)
}

// interval returns the time between two requests at a share of the limit.
func (l Limit) interval(share float64) time.Duration {
	return time.Duration(float64(time.Second) / (share * max(minPerSecond, l.PerSecond)))
}

// Report is what a gateway knows of a limit.
type Report struct {
	Limit
	// Zone is the availability zone of the backend server.
	Zone laburnumlever.ZoneName `json:"zone"`
	// Age is the time since the gateway saw it in an answer; the longest time that a control VM keeps
	// a limit if the gateway was only told of it.
	Age laburnumlever.Duration `json:"age,omitempty"`
}

// SlotRequest asks for a slot.
type SlotRequest struct {
	Gateway laburnumlever.VMID `json:"gateway"`
	// Report is what the gateway knows of the server.
	Report
	// Wait is how long the request can wait for its slot.
	Wait laburnumlever.Duration `json:"wait"`
}

// SlotAnswer answers a SlotRequest.
type SlotAnswer struct {
	Granted bool `json:"granted,omitempty"`
	// In is the time until the granted slot or, without one, until it is worth while to ask again.
	In laburnumlever.Duration `json:"in,omitempty"`
	// Limit is what the control VM knows. If it has ended, no slot is needed.
	Limit Limit `json:"limit"`
}
