package laburnumstate

import (
	"encoding/json"

	"laburnumlever"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Limits bounds the tables. It must be the same on all replicas.
type Limits struct {
	// Changes is the maximum number of change ids; the oldest are dropped first. A
	// change resent after that fails on its expected revision.
	Changes int
	// Claims is the maximum number of claims; further ones are refused.
	Claims int
	// OwnerClaims is the maximum number of claims per owner, so that one owner can't
	// fill the table.
	OwnerClaims int
	// ClaimMillis is how many milliseconds a claim is kept after it was claimed or
	// settled, whichever is later.
	ClaimMillis int64
	// AnswerBytes bounds one recorded answer, TotalBytes all of them. A claim whose
	// answer exceeds a bound stays, with an unknown outcome.
	AnswerBytes int
	TotalBytes  int
	// Intents and Leases are the maximum numbers of unresolved intents and of leases.
	Intents int
	Leases  int
}

// DefaultLimits returns the limits for a deployment: 200 claims per second, each kept for
// ten minutes, almost fill the table.
func DefaultLimits() Limits {
	const (
		claims      = 1 << 17
		ownerShare  = 4
		tenMinutes  = 10 * 60 * 1000
		answerBytes = 64 << 10
		totalBytes  = 32 << 20
	)
	return Limits{
		Changes: 4096, Claims: claims, OwnerClaims: claims / ownerShare, ClaimMillis: tenMinutes,
		AnswerBytes: answerBytes, TotalBytes: totalBytes, Intents: 1 << 14, Leases: 1 << 12,
	}
}

// Machine is the replicated state. It is not safe for concurrent use.
type Machine struct {
	limits    Limits
	clock     int64
	catalogue laburnumlever.Catalogue
	routes    *laburnumlever.EncodedRoutes // nil before the first table
	changes   changeTable
	claims    claimTable
	leases    leaseTable
}

// Option configures a new machine.
type Option func(*Machine)

// WithLimits sets the limits of the tables.
func WithLimits(limits Limits) Option { return func(m *Machine) { m.limits = limits } }

// New returns an empty machine.
func New(opts ...Option) *Machine {
	m := &Machine{limits: DefaultLimits()}
	for _, opt := range opts {
		opt(m)
	}
	m.changes = newChangeTable()
	m.claims = newClaimTable()
	return m
}

// Catalogue returns the last accepted catalogue, with revision 0 if there is none.
func (m *Machine) Catalogue() laburnumlever.Catalogue { return m.catalogue }

// Clock returns the latest time of a command, in milliseconds by the leader's clock.
func (m *Machine) Clock() int64 { return m.clock }

// Leases returns all leases that were ever granted, in the order of their first grant.
func (m *Machine) Leases() []Lease { return m.leases.list }

// ClaimCount returns the number of claims.
func (m *Machine) ClaimCount() int { return len(m.claims.byKey) }

// Apply applies one command. The argument at is the leader's clock in milliseconds; a time
// before the latest one counts as the latest one.
func (m *Machine) Apply(at int64, cmd laburnumlever.Command) laburnumlever.Result {
	m.clock = max(m.clock, at)
	m.claims.expire(m.clock, m.limits.ClaimMillis)
	result := m.readResult(cmd)
	if mutates(cmd) {
		result = m.dispatch(cmd)
	}
	if result.Revision == 0 { // the result of a change has its own revision
		result.Revision = m.catalogue.Revision
	}
	return result
}

// mutates reports whether the command can change the state; the others only need a
// position in the log.
func mutates(cmd laburnumlever.Command) bool {
	return cmd.Kind != laburnumlever.CommandNoop && cmd.Kind != laburnumlever.CommandReadRoutes
}

// readResult returns the result of a command that does not change the state.
func (m *Machine) readResult(cmd laburnumlever.Command) laburnumlever.Result {
	switch {
	case m.routes == nil:
		return laburnumlever.Result{}
	case cmd.Kind == laburnumlever.CommandReadRoutes:
		return laburnumlever.Result{Routes: m.routes}
	default:
		return laburnumlever.Result{RoutesVersion: m.routes.Version()}
	}
}

func (m *Machine) dispatch(cmd laburnumlever.Command) laburnumlever.Result {
	switch {
	case cmd.Kind == laburnumlever.CommandApplyCatalogue && cmd.Apply != nil:
		return m.applyCatalogue(*cmd.Apply)
	case cmd.Kind == laburnumlever.CommandClaimRequest && cmd.Claim != nil:
		return m.claims.claim(m.clock, m.limits, *cmd.Claim)
	case cmd.Kind == laburnumlever.CommandRecordAnswer && cmd.Answer != nil:
		return m.claims.answer(m.clock, m.limits, *cmd.Answer)
	case cmd.Kind == laburnumlever.CommandApplyRoutes && cmd.Routes != nil:
		return m.applyRoutes(*cmd.Routes)
	case cmd.Lease != nil:
		return m.leases.apply(m.limits, cmd.Kind, *cmd.Lease)
	case cmd.Intent != nil:
		return m.leases.applyIntent(m.limits, cmd.Kind, *cmd.Intent)
	default:
		return laburnumlever.Result{Code: laburnumlever.ResultInvalid, Detail: "the command's kind and content do not match"}
	}
}

func (m *Machine) applyCatalogue(a laburnumlever.ApplyCatalogue) laburnumlever.Result {
	digest, err := contentDigest(a.WithAskOnly(false))
	if err != nil || a.ChangeID == "" {
		return laburnumlever.Result{Code: laburnumlever.ResultInvalid, Detail: "the change has no id or can't be encoded"}
	}
	if known, ok := m.changes.find(a.ChangeID); ok {
		return known.repeatResult(digest)
	}
	if a.AskOnly {
		return laburnumlever.Result{Code: laburnumlever.ResultUnknown, Detail: "the change id is unknown"}
	}
	result := laburnumlever.Result{Code: laburnumlever.ResultConflict, Revision: m.catalogue.Revision}
	if a.ExpectedRevision == m.catalogue.Revision {
		m.catalogue = a.Catalogue.WithRevision(m.catalogue.Revision + 1)
		result = laburnumlever.Result{Code: laburnumlever.ResultOK, Revision: m.catalogue.Revision}
	}
	m.changes.add(change{ID: a.ChangeID, Digest: digest, Code: result.Code, Revision: result.Revision}, m.limits.Changes)
	return result
}

func contentDigest(a laburnumlever.ApplyCatalogue) (uint64, error) {
	data, err := json.Marshal(a)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	return xxhash.Sum64(data), nil
}

// Routes returns the route table with the highest accepted version, nil before the first.
func (m *Machine) Routes() *laburnumlever.EncodedRoutes { return m.routes }

// applyRoutes stores a table with a higher version than the current one. A lower or equal
// version is acknowledged without effect: its sender lost an answer, or another operator's
// change came first.
func (m *Machine) applyRoutes(t laburnumlever.EncodedRoutes) laburnumlever.Result {
	if m.routes == nil || t.Version() > m.routes.Version() {
		m.routes = &t
	}
	return laburnumlever.Result{Code: laburnumlever.ResultOK, RoutesVersion: m.routes.Version()}
}
