package laburnumstate

import (
	"encoding/json"

	"laburnumlever"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Limits bound the tables. They must be the same on all replicas.
type Limits struct {
	// Changes is how many change ids are remembered, the oldest forgotten.
	// A forgotten one resent fails on its expected revision.
	Changes int
	// Claims is how many claims are held at once; a further one is refused.
	Claims int
	// OwnerClaims is how many of them one owner may hold, so that one owner
	// can't use up the table for all.
	OwnerClaims int
	// ClaimMillis is how long a claim is kept after the last command on it.
	ClaimMillis int64
	// AnswerBytes bounds one recorded answer, TotalBytes all together. Beyond
	// them the claim stays, and its answer becomes unknown.
	AnswerBytes int
	TotalBytes  int
	// Intents and Leases bound the rest.
	Intents int
	Leases  int
}

// DefaultLimits are those of a deployment: at 200 claims a second for ten
// minutes the table is just not full.
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
	routes    *laburnumlever.EncodedRoutes // nil before the first
	changes   changeTable
	claims    claimTable
	leases    leaseTable
}

// Option changes a new machine.
type Option func(*Machine)

// WithLimits sets the bounds of the tables.
func WithLimits(limits Limits) Option { return func(m *Machine) { m.limits = limits } }

// New makes an empty machine.
func New(opts ...Option) *Machine {
	m := &Machine{limits: DefaultLimits()}
	for _, opt := range opts {
		opt(m)
	}
	m.changes = newChangeTable()
	m.claims = newClaimTable()
	return m
}

// Catalogue is the one last accepted; revision 0 when none was.
func (m *Machine) Catalogue() laburnumlever.Catalogue { return m.catalogue }

// Clock is the latest time of a command, in the leader's milliseconds.
func (m *Machine) Clock() int64 { return m.clock }

// Leases are those held or held before, in the order of their first grant.
func (m *Machine) Leases() []Lease { return m.leases.list }

// ClaimCount is the number of claims held.
func (m *Machine) ClaimCount() int { return len(m.claims.byKey) }

// Apply runs one command. At is the leader's clock in milliseconds; a time before
// the latest one counts as the latest one.
func (m *Machine) Apply(at int64, cmd laburnumlever.Command) laburnumlever.Result {
	m.clock = max(m.clock, at)
	m.claims.expire(m.clock, m.limits.ClaimMillis)
	result := m.readResult(cmd)
	if mutates(cmd) {
		result = m.dispatch(cmd)
	}
	if result.Revision == 0 { // a recorded answer keeps the revision that it gave
		result.Revision = m.catalogue.Revision
	}
	return result
}

// mutates tells commands that change the state from those that only take a place
// in the log.
func mutates(cmd laburnumlever.Command) bool {
	return cmd.Kind != laburnumlever.CommandNoop && cmd.Kind != laburnumlever.CommandReadRoutes
}

// readResult answers a command that changes nothing.
func (m *Machine) readResult(cmd laburnumlever.Command) laburnumlever.Result {
	if cmd.Kind == laburnumlever.CommandReadRoutes {
		return laburnumlever.Result{Routes: m.routes}
	}
	return laburnumlever.Result{}
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
		return laburnumlever.Result{Code: laburnumlever.ResultInvalid, Detail: "the command's kind and content do not agree"}
	}
}

func (m *Machine) applyCatalogue(a laburnumlever.ApplyCatalogue) laburnumlever.Result {
	digest, err := contentDigest(a.WithAskOnly(false))
	if err != nil || a.ChangeID == "" {
		return laburnumlever.Result{Code: laburnumlever.ResultInvalid, Detail: "a change needs an id"}
	}
	if known, ok := m.changes.find(a.ChangeID); ok {
		return known.repeatResult(digest)
	}
	if a.AskOnly {
		return laburnumlever.Result{Code: laburnumlever.ResultUnknown, Detail: "the change id is not known"}
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

// Routes is the route table with the highest version accepted; nil before the
// first.
func (m *Machine) Routes() *laburnumlever.EncodedRoutes { return m.routes }

// applyRoutes takes a table with a higher version than the one held. A lower or
// equal one is accepted and changes nothing: its sender has lost an answer, or
// another operator was faster.
func (m *Machine) applyRoutes(t laburnumlever.EncodedRoutes) laburnumlever.Result {
	if m.routes == nil || t.Version() > m.routes.Version() {
		m.routes = &t
	}
	return laburnumlever.Result{Code: laburnumlever.ResultOK}
}
