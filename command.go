package laburnumlever

import "encoding/json"

// Command is one entry of the replicated log: exactly one of the pointers
// that Kind names is set.
type Command struct {
	Kind   CommandKind     `json:"kind"`
	Apply  *ApplyCatalogue `json:"apply,omitempty"`
	Claim  *ClaimRequest   `json:"claim,omitempty"`
	Answer *RecordAnswer   `json:"answer,omitempty"`
	Lease  *LeaseCommand   `json:"lease,omitempty"`
	Intent *OrderIntent    `json:"intent,omitempty"`
	Routes *EncodedRoutes  `json:"routes,omitempty"`
}

// ChangesCatalogue tells whether the command is an operator's change.
func (c Command) ChangesCatalogue() bool { return c.Apply != nil || c.Routes != nil }

// ApplyCatalogue replaces the catalogue if ExpectedRevision is the current one.
// A ChangeID seen before gets the recorded result and changes nothing.
type ApplyCatalogue struct {
	ChangeID         string    `json:"change-id"`
	ExpectedRevision uint64    `json:"expected-revision"`
	Catalogue        Catalogue `json:"catalogue"`
	// AskOnly asks whether the change id is known and changes nothing; the
	// result is ResultUnknown when it is not.
	AskOnly bool `json:"ask-only,omitempty"`
}

// WithAskOnly returns the change as a question about itself.
func (a ApplyCatalogue) WithAskOnly(askOnly bool) ApplyCatalogue {
	a.AskOnly = askOnly
	return a
}

// ClaimRequest claims the one run of a non-idempotent request. The same key
// with another Digest is a mismatch.
type ClaimRequest struct {
	Owner   OwnerName   `json:"owner"`
	Service ServiceName `json:"service"`
	Key     string      `json:"key"`
	Digest  uint64      `json:"digest"`
	VM      VMID        `json:"vm"`
	// At is the claiming VM's wall clock in Unix milliseconds, used only to
	// bound how long answers are kept.
	At int64 `json:"at"`
	// Claim is unique to this one claim, so that a command sent twice is not
	// taken for a second request; Propose fills it in when it is empty.
	Claim string `json:"claim,omitempty"`
}

// RecordAnswer records the answer of a claimed request, or that its outcome
// is unknown, or that it surely did not run (which frees the claim).
type RecordAnswer struct {
	Service ServiceName `json:"service"`
	Owner   OwnerName   `json:"owner"`
	Key     string      `json:"key"`
	VM      VMID        `json:"vm"`
	// Claim is that of the ClaimRequest; the record of another claim on the same key
	// is refused. Empty matches any.
	Claim   string          `json:"claim,omitempty"`
	Outcome RequestOutcome  `json:"outcome"`
	Answer  *RecordedAnswer `json:"answer,omitempty"`
}

// RecordedAnswer is a backend server's whole answer, kept for resends.
type RecordedAnswer struct {
	Status int               `json:"status"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body"`
}

// LeaseCommand acquires, renews, expires or releases a named lease. Each grant to a
// new holder raises the fencing number.
type LeaseCommand struct {
	Name   string `json:"name"`
	Holder VMID   `json:"holder"`
	// Incarnation of the holder: a restarted VM is a new holder.
	Incarnation uint64   `json:"incarnation"`
	Fence       uint64   `json:"fence,omitempty"`
	TTL         Duration `json:"ttl,omitempty"`
	// Renewals, for an expiry, is how many renewals the leader had seen: a
	// renewal committed before the expiry makes the expiry void.
	Renewals uint64 `json:"renewals,omitempty"`
	// Idle, for an expiry, is at most the time since the last renewal was sent.
	Idle Duration `json:"idle,omitempty"`
}

// OrderIntent is recorded before an order goes to an engine that does not
// check fencing numbers, and resolved once the outcome is known.
type OrderIntent struct {
	Lease   string    `json:"lease"`
	Backend BackendID `json:"backend"`
	// Incarnation of the engine that the order is meant for.
	Incarnation uint64 `json:"incarnation"`
	Order       Order  `json:"order"`
}

// Result is the state machine's answer to a command.
type Result struct {
	Code ResultCode `json:"code"`
	// Revision of the catalogue after the command.
	Revision uint64 `json:"revision,omitempty"`
	// Fence of the lease, for lease commands.
	Fence uint64 `json:"fence,omitempty"`
	// Idle is at most the time for which the lease had not been renewed when it expired.
	Idle Duration `json:"idle,omitempty"`
	// Holder of the lease, or the VM that holds the claim.
	Holder VMID `json:"holder,omitempty"`
	// Outcome and Answer of a claim that is settled.
	Outcome RequestOutcome  `json:"outcome,omitempty"`
	Answer  *RecordedAnswer `json:"answer,omitempty"`
	// Intents unresolved under the lease, returned on acquiring it.
	Intents []OrderIntent `json:"intents,omitempty"`
	// Routes answers a read of the routes.
	Routes *EncodedRoutes `json:"routes,omitempty"`
	Detail string         `json:"detail,omitempty"`
}

// VoterStatus is what a VM knows of the replicated log.
type VoterStatus struct {
	// Role is leader, follower, candidate, learner, or client on a VM without
	// a vote.
	Role    string  `json:"role"`
	Term    uint64  `json:"term"`
	Leader  VMID    `json:"leader,omitempty"`
	Commit  uint64  `json:"commit"`
	Applied uint64  `json:"applied"`
	Voters  []Voter `json:"voters"`
}

// Voter is a VM that holds a replica of the log.
type Voter struct {
	VM          VMID   `json:"vm"`
	PeerAddress string `json:"peer-address"`
}

// Explanation says why something is as it is, for operators.
type Explanation struct {
	Subject string   `json:"subject"`
	Lines   []string `json:"lines"`
}

// Status is one VM's account of itself and of what it sees.
type Status struct {
	View  View        `json:"view"`
	Voter VoterStatus `json:"voter"`
	// ZoneOwners maps a lease holder to each zone, as far as this VM knows.
	ZoneOwners map[ZoneName]VMID `json:"zone-owners,omitempty"`
	Moves      uint64            `json:"moves"`
	// Role is set by gateways and control VMs, which leave out View, ZoneOwners and Moves.
	Role *RoleStatus `json:"role,omitempty"`
}

// ApplyRequest is an operator's change: exactly what ApplyCatalogue carries,
// plus whether it is only to be tried.
type ApplyRequest struct {
	ApplyCatalogue
	DryRun bool `json:"dry-run,omitempty"`
}

// ApplyAnswer tells an operator what became of a change.
type ApplyAnswer struct {
	Revision uint64   `json:"revision"`
	Repeated bool     `json:"repeated,omitempty"`
	Warnings []string `json:"warnings,omitempty"`
}

// RawMessage is a message whose type the method's name tells.
type RawMessage = json.RawMessage
