package laburnumlever

import "encoding/json"

// Command is one entry of the replicated log. Kind determines which one of the
// pointers is set.
type Command struct {
	Kind   CommandKind     `json:"kind"`
	Apply  *ApplyCatalogue `json:"apply,omitempty"`
	Claim  *ClaimRequest   `json:"claim,omitempty"`
	Answer *RecordAnswer   `json:"answer,omitempty"`
	Lease  *LeaseCommand   `json:"lease,omitempty"`
	Intent *OrderIntent    `json:"intent,omitempty"`
	Routes *EncodedRoutes  `json:"routes,omitempty"`
}

// ChangesCatalogue reports whether the command carries an operator's change.
func (c Command) ChangesCatalogue() bool { return c.Apply != nil || c.Routes != nil }

// ApplyCatalogue replaces the catalogue if ExpectedRevision is the current revision. A
// known ChangeID changes nothing and returns the recorded result.
type ApplyCatalogue struct {
	ChangeID         string    `json:"change-id"`
	ExpectedRevision uint64    `json:"expected-revision"`
	Catalogue        Catalogue `json:"catalogue"`
	// AskOnly only looks up the change ID and changes nothing; the result is
	// ResultUnknown if the ID is not known.
	AskOnly bool `json:"ask-only,omitempty"`
}

// WithAskOnly returns a copy of the change with AskOnly set.
func (a ApplyCatalogue) WithAskOnly(askOnly bool) ApplyCatalogue {
	a.AskOnly = askOnly
	return a
}

// ClaimRequest claims the right to run a non-idempotent request, which runs at most once.
// The same key with a different Digest is a mismatch.
type ClaimRequest struct {
	Owner   OwnerName   `json:"owner"`
	Service ServiceName `json:"service"`
	Key     string      `json:"key"`
	Digest  uint64      `json:"digest"`
	VM      VMID        `json:"vm"`
	// At is the claiming VM's wall clock in Unix milliseconds. It only limits how
	// long answers are kept.
	At int64 `json:"at"`
	// Claim identifies this claim, so that a command that is sent twice does not
	// count as a second request. Propose sets it if it is empty.
	Claim string `json:"claim,omitempty"`
}

// RecordAnswer records the answer of a claimed request, that its outcome is unknown, or
// that it certainly did not run, which releases the claim.
type RecordAnswer struct {
	Service ServiceName `json:"service"`
	Owner   OwnerName   `json:"owner"`
	Key     string      `json:"key"`
	VM      VMID        `json:"vm"`
	// Claim is the claim of the ClaimRequest. A record for a different claim on the same
	// key is refused; empty matches any claim.
	Claim   string          `json:"claim,omitempty"`
	Outcome RequestOutcome  `json:"outcome"`
	Answer  *RecordedAnswer `json:"answer,omitempty"`
}

// RecordedAnswer is a backend server's complete answer, kept for repeated requests.
type RecordedAnswer struct {
	Status int               `json:"status"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body"`
}

// LeaseCommand acquires, renews, expires or releases a named lease. Each grant to a
// new holder increases the fencing number.
type LeaseCommand struct {
	Name   string `json:"name"`
	Holder VMID   `json:"holder"`
	// Incarnation of the holder: a restarted VM is a new holder.
	Incarnation uint64   `json:"incarnation"`
	Fence       uint64   `json:"fence,omitempty"`
	TTL         Duration `json:"ttl,omitempty"`
	// Renewals, for an expiry, is the number of renewals that the leader had seen. A
	// renewal committed before the expiry voids the expiry.
	Renewals uint64 `json:"renewals,omitempty"`
	// Idle, for an expiry, is a lower bound of the time since the last renewal was sent.
	Idle Duration `json:"idle,omitempty"`
}

// OrderIntent is recorded before an order goes to an engine that does not
// check fencing numbers, and resolved once the outcome is known.
type OrderIntent struct {
	Lease   string    `json:"lease"`
	Backend BackendID `json:"backend"`
	// Incarnation of the engine that the order is addressed to.
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
	// Idle is a lower bound of the time without renewal when the lease expired.
	Idle Duration `json:"idle,omitempty"`
	// Holder of the lease, or the VM that holds the claim.
	Holder VMID `json:"holder,omitempty"`
	// Outcome and Answer of a completed claim.
	Outcome RequestOutcome  `json:"outcome,omitempty"`
	Answer  *RecordedAnswer `json:"answer,omitempty"`
	// Intents are the unresolved intents of the lease, returned when it is acquired.
	Intents []OrderIntent `json:"intents,omitempty"`
	// Routes is the result of CommandReadRoutes.
	Routes *EncodedRoutes `json:"routes,omitempty"`
	// RoutesVersion is the version of the route table after CommandNoop and CommandApplyRoutes; 0 for none, and from
	// earlier builds.
	RoutesVersion uint64 `json:"routes-version,omitempty"`
	Detail        string `json:"detail,omitempty"`
}

// Check returns the result of a command that was carried out, which includes a change that is known already. For any other
// it returns a *CommandRejectedError.
func (r Result) Check(kind CommandKind) (Result, error) {
	if r.Code == ResultOK || r.Code == ResultRepeated {
		return r, nil
	}
	return Result{}, &CommandRejectedError{Kind: kind, Result: r}
}

// VoterStatus is the state of the replicated log as seen by one VM.
type VoterStatus struct {
	// Role is leader, follower, candidate or learner, unconfirmed before enough other VMs have
	// registered the start of the replica, or client on a VM without a replica.
	Role    string  `json:"role"`
	Term    uint64  `json:"term"`
	Leader  VMID    `json:"leader,omitempty"`
	Commit  uint64  `json:"commit"`
	Applied uint64  `json:"applied"`
	Voters  []Voter `json:"voters"`
	// WaitsFor are the VMs that have not registered the start of an unconfirmed replica.
	WaitsFor []VMID `json:"waits-for,omitempty"`
}

// Voter is a VM that holds a replica of the log.
type Voter struct {
	VM          VMID   `json:"vm"`
	PeerAddress string `json:"peer-address"`
}

// Explanation tells operators the reasons for the state of a model or request.
type Explanation struct {
	Subject string   `json:"subject"`
	Lines   []string `json:"lines"`
}

// Status is the state of one VM and of the fleet as that VM sees it.
type Status struct {
	View  View        `json:"view"`
	Voter VoterStatus `json:"voter"`
	// ZoneOwners maps zones to the holder of their lease, as far as this VM knows.
	ZoneOwners map[ZoneName]VMID `json:"zone-owners,omitempty"`
	Moves      uint64            `json:"moves"`
	// Role is set by gateways and control VMs, which omit View, ZoneOwners and Moves.
	Role *RoleStatus `json:"role,omitempty"`
}

// ApplyRequest is an operator's catalogue change, optionally as a dry run.
type ApplyRequest struct {
	ApplyCatalogue
	DryRun bool `json:"dry-run,omitempty"`
}

// ApplyAnswer is the result of an operator's change.
type ApplyAnswer struct {
	Revision uint64   `json:"revision"`
	Repeated bool     `json:"repeated,omitempty"`
	Warnings []string `json:"warnings,omitempty"`
}

// RawMessage is an encoded message whose type depends on the method.
type RawMessage = json.RawMessage
