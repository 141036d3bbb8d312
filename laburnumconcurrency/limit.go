package laburnumconcurrency

import (
	"math/rand/v2"
	"time"

	"laburnumlever"
)

const (
	// FullShare is the share of a server's slots that its keeper grants.
	FullShare = 1.0
	// StandInShare is the share that another control VM grants while the keeper may be running.
	StandInShare = 0.25
	// KeeperRetry is the time after which it is worth while to ask the keeper again.
	KeeperRetry = 100 * time.Millisecond
	// MaxWait is the longest time that a request waits at a keeper.
	MaxWait = time.Second
	// Grace is how long a gateway may begin to use a lease.
	Grace = 500 * time.Millisecond
)

// Limit is the bound of one incarnation of a brittle backend server.
type Limit struct {
	Backend     laburnumlever.BackendID   `json:"backend"`
	Service     laburnumlever.ServiceName `json:"service"`
	Incarnation uint64                    `json:"born,omitempty"`
	// Slots is the number of requests that the server runs at once.
	Slots int `json:"slots"`
	// Rejections is the number of requests that it may reject in a second.
	Rejections float64 `json:"rejections"`
	// Ended tells that the server is no longer brittle.
	Ended bool `json:"ended,omitempty"`
}

// same reports whether both tell the same of the same incarnation.
func (l Limit) same(other Limit) bool {
	return l.Incarnation == other.Incarnation && l.Ended == other.Ended && (l.Ended || l.Slots == other.Slots && l.Rejections == other.Rejections)
}

// LeaseID identifies a lease. Those of a keeper that has started again differ from those before, which may still come back.
type LeaseID uint64

// AskID identifies a request for a lease, over all gateways.
type AskID uint64

// NewAskID returns an id that no other request has.
func NewAskID() AskID { return AskID(rand.Uint64() | 1) }

// Request asks for a lease.
type Request struct {
	// Ask identifies the request, so that a gateway that gets no answer can return what it was granted; 0 from earlier builds.
	Ask     AskID              `json:"ask,omitempty"`
	Gateway laburnumlever.VMID `json:"gateway"`
	Limit
	// Zone is the availability zone of the backend server.
	Zone laburnumlever.ZoneName `json:"zone"`
	// Wait is how long the request can wait for its lease, Hold how long it may run.
	Wait laburnumlever.Duration `json:"wait,omitempty"`
	Hold laburnumlever.Duration `json:"hold"`
}

// Answer answers a Request.
type Answer struct {
	Granted bool    `json:"granted,omitempty"`
	Lease   LeaseID `json:"lease,omitempty"`
	// RetryIn is, without a lease, the time until it is worth while to ask again.
	RetryIn laburnumlever.Duration `json:"retry-in,omitempty"`
	// Keeper is, in the refusal of a control VM that grants nothing since the server's keeper answers it, the keeper's address.
	Keeper string `json:"keeper,omitempty"`
	// Limit is what the control VM knows. If it has ended, no lease is needed.
	Limit Limit `json:"limit"`
}

// Release returns a lease.
type Release struct {
	Backend laburnumlever.BackendID `json:"backend"`
	Lease   LeaseID                 `json:"lease,omitempty"`
	// Ask is, without a lease, a request that got no answer and needs none any more.
	Ask AskID `json:"ask,omitempty"`
	// Rejected tells that the server rejected the request for want of room.
	Rejected bool `json:"rejected,omitempty"`
	// Change is what the server's answer said of its brittleness, if that was news to the gateway.
	Change *Limit `json:"change,omitempty"`
}
