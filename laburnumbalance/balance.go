package laburnumbalance

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
)

const (
	// defaultReadTime is the time to read (prefill) a prompt token of a model whose read time has
	// not been measured yet.
	defaultReadTime = time.Second / 30000

	// Terms of a server's score, in milliseconds.
	slotMillis    = 1    // for each request at the server: a larger batch has longer steps
	queueMillis   = 100  // for each request beyond the server's slots
	zoneMillis    = 20   // for a server in another zone: traffic between zones is billed
	silentMillis  = 200  // for a server whose heartbeats have stopped
	failureMillis = 250  // for each recent failure: more than a short queue elsewhere
	jitterMillis  = 2    // upper bound of a random term that breaks ties differently on each VM
	permitMillis  = -1e3 // for a server that the request has a permit for, which is lost otherwise
	avoidMillis   = 1e6  // for a server that already failed the request
	pauseMillis   = 200  // for a server at which the prompt would delay running streams too long: less than a failure

	// freeShare is the share of a server's slots kept free for requests that other gateways have
	// sent since its last answer. Requests queue on gateways rather than at engines, since an
	// engine preempts running answers in favour of urgent requests in its queue.
	freeShare = 0.05
	// maxFailures caps a server's number of recent failures, so that the server recovers within
	// seconds.
	maxFailures = 8
	// idleShare is the share of busy slots, by the last reported load, below which a server is
	// taken to have a free slot.
	idleShare = 0.5
	// fullTime is how long a server that refused a request for lack of a slot counts as full.
	fullTime = 300 * time.Millisecond

	// UrgentReservations is the number of engines that an urgent request tries to reserve a slot
	// at before it queues at one of them (the power of two choices).
	UrgentReservations = 2
	// RetrySlack is added to RetryTime before the queue is served again.
	RetrySlack = 10 * time.Millisecond
)

// Query describes a request that needs a server.
type Query struct {
	Service laburnumlever.ServiceName
	// Model and Adapter are empty for a plain service.
	Model   laburnumlever.ModelName
	Adapter laburnumlever.AdapterName
	Prompt  []laburnumlever.PromptPart
	// Target is the latency target of the answer's first part; 0 for none.
	Target time.Duration
	// ReadTime is the time that the model takes to read a prompt token; 0 if unknown.
	ReadTime time.Duration
	// Interval is the usual time between two events of the service's streams, PauseTarget their shortest target for it; 0 if
	// unknown. They count at servers that tell their pace.
	Interval, PauseTarget time.Duration
	// Queue allows the request to queue at a server whose slots are all taken.
	Queue bool
	// Avoid are the servers that already failed the request.
	Avoid []laburnumlever.BackendID
	// Permit allows the request on a limited server; the zero Permit allows none.
	Permit Permit
	// Software is the only software version whose servers may take the request; empty for any.
	Software laburnumlever.SoftwareVersion
	// Rank is the rank whose headroom at the service the request leaves free; 0, the most urgent, leaves none.
	Rank int
	// ExceptSoftware are software versions whose servers may not take the request.
	ExceptSoftware []laburnumlever.SoftwareVersion
	// Connections returns the number of connections that this VM may have to a server, each of which carries one request; nil for any.
	Connections func(laburnumlever.BackendID) int
}

// fits reports whether a server runs software that may take the request.
func (q Query) fits(s *server) bool {
	software := s.record.Heartbeat.Software
	return (q.Software == "" || q.Software == software) && !slices.Contains(q.ExceptSoftware, software)
}

// Permit allows one request on a limited server, from a time until another.
type Permit struct {
	Backend     laburnumlever.BackendID
	From, Until time.Time
	// Leased tells that the server has room for the request, whatever its last load was.
	Leased bool
}

// covers reports whether the permit is for the server and has not expired.
func (p Permit) covers(s *server, now time.Time) bool {
	return p.Backend == s.record.Heartbeat.Backend && now.Before(p.Until)
}

// Verdict is the result of Pick.
type Verdict int

// The verdicts. Of those on several servers the last one counts.
const (
	// Found means that a server was chosen.
	Found Verdict = iota
	// NoServer means that no server of the service accepts requests.
	NoServer
	// ModelAbsent means that no server outside backoff holds the model.
	ModelAbsent
	// Resting means that every server outside backoff that holds the model has asked this VM for rest.
	Resting
	// Limited means that every server outside backoff that holds the model is limited, and that the
	// request has no permit for one.
	Limited
	// AdapterAbsent means that servers outside backoff hold the model, but none the adapter, except for
	// limited ones.
	AdapterAbsent
	// Full means that every server outside backoff that holds the model and adapter, except for
	// limited ones, has no free slot or no connection left for this VM, has just refused a request or has
	// too many unread prompts, or that the request's permit is not valid yet.
	Full
)

// Ticket is the slot that a request occupies at a server, from Pick to End.
type Ticket struct {
	Backend laburnumlever.Heartbeat
	server  *server
	query   Query
	// unreadPromptTime is the estimated time to read the prompt, in ms; 0 once the answer has begun.
	unreadPromptTime float64
	// uncached is the number of prompt tokens that the server has probably not cached.
	uncached  int
	since     time.Time // when Pick returned the ticket
	mayBeFull bool
	limited   bool
	// trial is set for the only request that a server gets after a rest until it answers.
	trial bool
	// replaceable is set if other servers could have taken the request.
	replaceable bool
}

// Limited tells whether the server is limited.
func (ticket *Ticket) Limited() bool { return ticket.limited }

// MayBeFull tells whether the server may have no free slot, since its load was stale at Pick or its
// last reservation was refused.
func (ticket *Ticket) MayBeFull() bool { return ticket.mayBeFull }

// Model returns the request's model; it is empty for a plain service.
func (ticket *Ticket) Model() laburnumlever.ModelName { return ticket.query.Model }

// AttemptResult is what an attempt, or an answer that has not ended yet, tells of a server.
type AttemptResult struct {
	// Failed means that there was no answer or an invalid one.
	Failed bool
	// Faulty means that the server itself answered with an error, which excludes a network
	// fault.
	Faulty bool
	// Unreachable means that no connection could be opened.
	Unreachable bool
	// Full means that the server refused the request for lack of a slot.
	Full bool
	// Absent means that the server does not hold the model or adapter.
	Absent bool
	// HasLoad tells that Running and Waiting are set.
	HasLoad          bool
	Running, Waiting int
	// ReservationRefused means that a reservation was refused for lack of a slot.
	ReservationRefused bool
	// Rested means that the server turned the request away and asked for rest, which is no fault of it.
	Rested bool
	// PassedOver means that the server was asked how it is, and was sent nothing.
	PassedOver bool
	// NoConnection means that this VM had as many connections to the server open as it may have.
	NoConnection bool
}

// Table holds the state of the backend servers as seen by this VM.
type Table struct {
	zone      laburnumlever.ZoneName
	rand      *rand.Rand
	servers   map[laburnumlever.BackendID]*server
	byService map[laburnumlever.ServiceName][]*server
	byModel   map[serviceModel][]*server
	// unreachable are the servers in backoff after a failed connection.
	unreachable map[laburnumlever.BackendID]struct{}
	// failing are the servers that have counted a failure since the last call of Outcomes.
	failing   map[laburnumlever.BackendID]*server
	prefixes  *prefixes
	headroom  map[laburnumlever.ServiceName]map[int]float64
	asked     map[serviceModel]askedModel
	freeShare float64
	retryTime time.Duration
}

// Option configures a new table.
type Option func(*Table)

// WithFreeShare sets the share of a server's slots that is kept free. A negative share lets
// requests queue at the server, which works only if slots are not reserved first.
func WithFreeShare(share float64) Option { return func(t *Table) { t.freeShare = share } }

// serviceModel names a model of a service.
type serviceModel struct {
	service laburnumlever.ServiceName
	model   laburnumlever.ModelName
}

// New returns an empty table for a VM in the zone. The seed makes choices repeatable.
func New(zone laburnumlever.ZoneName, seed uint64, opts ...Option) *Table {
	t := &Table{
		freeShare: freeShare, retryTime: maxRetry, zone: zone, rand: rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // breaks ties, no secret
		servers:     map[laburnumlever.BackendID]*server{},
		byService:   map[laburnumlever.ServiceName][]*server{},
		byModel:     map[serviceModel][]*server{},
		unreachable: map[laburnumlever.BackendID]struct{}{}, prefixes: newPrefixes(),
		failing: map[laburnumlever.BackendID]*server{}, headroom: map[laburnumlever.ServiceName]map[int]float64{}, asked: map[serviceModel]askedModel{},
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// SetGateways sets the number of gateways that send to the servers. RetryTime grows with it.
func (t *Table) SetGateways(n int) {
	t.retryTime = min(maxRetry, max(minRetry, time.Duration(n)*retryPerGateway))
}

// RetryTime returns the time after which a server whose slots are all taken is tried again.
func (t *Table) RetryTime() time.Duration { return t.retryTime }

// Set updates a server, or removes it if it no longer accepts requests.
func (t *Table) Set(r laburnumregistry.Record) {
	id := r.Heartbeat.Backend
	s := t.servers[id]
	if !r.AcceptsRequests() {
		t.remove(id)
		return
	}
	if s != nil && s.record.Heartbeat.Incarnation < r.Heartbeat.Incarnation {
		t.remove(id) // it has restarted
		s = nil
	}
	if s == nil {
		s = &server{local: r.Heartbeat.Zone == t.zone, unreadPromptLimit: initialUnreadPromptLimit}
		t.servers[id] = s
		t.byService[r.Heartbeat.Service] = append(t.byService[r.Heartbeat.Service], s)
	}
	s.record = r
	t.index(s)
}

// index updates byModel, which lists the server under each model that it may hold.
func (t *Table) index(s *server) {
	for _, model := range slices.Clone(s.listed) {
		if !s.record.Heartbeat.Holds(model, "") && !s.wasLoaded(model) {
			t.unlist(s, model)
		}
	}
	for _, held := range s.record.Heartbeat.Models {
		t.list(s, held.Name)
	}
}

func (t *Table) list(s *server, model laburnumlever.ModelName) {
	if slices.Contains(s.listed, model) {
		return
	}
	s.listed = append(s.listed, model)
	key := serviceModel{service: s.record.Heartbeat.Service, model: model}
	t.byModel[key] = append(t.byModel[key], s)
}

func (t *Table) unlist(s *server, model laburnumlever.ModelName) {
	s.listed = slices.DeleteFunc(s.listed, func(o laburnumlever.ModelName) bool { return o == model })
	key := serviceModel{service: s.record.Heartbeat.Service, model: model}
	t.byModel[key] = slices.DeleteFunc(t.byModel[key], func(o *server) bool { return o == s })
	if len(t.byModel[key]) == 0 {
		delete(t.byModel, key)
	}
}

// candidates returns the servers that may hold the query's model, or all servers of a plain
// service.
func (t *Table) candidates(q Query) []*server {
	if q.Model == "" {
		return t.byService[q.Service]
	}
	return t.byModel[serviceModel{service: q.Service, model: q.Model}]
}

// SetLimited records whether requests need a permit for the server.
func (t *Table) SetLimited(id laburnumlever.BackendID, limited bool) {
	if s := t.servers[id]; s != nil {
		s.limited = limited
	}
}

// LimitedServers returns the limited servers that could take the query with a permit, best first.
func (t *Table) LimitedServers(q Query, now time.Time) []laburnumlever.Heartbeat {
	type candidate struct {
		server laburnumlever.Heartbeat
		score  float64
	}
	var candidates []candidate
	for _, s := range t.candidates(q) {
		if s.limited && q.fits(s) && !s.trialing && !now.Before(s.restUntil) && !now.Before(s.unreachableUntil) && s.holds(q.Model, q.Adapter, now) {
			candidates = append(candidates, candidate{server: s.record.Heartbeat, score: t.score(s, q, now)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	servers := make([]laburnumlever.Heartbeat, 0, len(candidates))
	for _, c := range candidates {
		servers = append(servers, c.server)
	}
	return servers
}

// SetOverlay updates what the director knows of an engine beyond its heartbeats. An overlay of an
// earlier director (a lower fencing number) is ignored.
func (t *Table) SetOverlay(o laburnumregistry.Overlay, now time.Time) {
	s := t.servers[o.Backend]
	if s == nil || o.Fence < s.overlay.Fence {
		return
	}
	if o.Outliers > 0 && o.Incarnation == s.record.Heartbeat.Incarnation && (o.Fence > s.overlay.Fence || o.Outliers > s.overlay.Outliers) {
		s.markOutlier(now)
	}
	s.overlay = o
}

func (t *Table) remove(id laburnumlever.BackendID) {
	s := t.servers[id]
	if s == nil {
		return
	}
	delete(t.servers, id)
	delete(t.failing, id)
	service := s.record.Heartbeat.Service
	t.byService[service] = slices.DeleteFunc(t.byService[service], func(o *server) bool { return o == s })
	for _, model := range slices.Clone(s.listed) {
		t.unlist(s, model)
	}
}

// ModelLoaded records a model or adapter that a server holds before its heartbeat lists it.
func (t *Table) ModelLoaded(id laburnumlever.BackendID, model laburnumlever.ModelName, adapter laburnumlever.AdapterName, now time.Time) {
	if s := t.servers[id]; s != nil {
		s.loaded = setExpiry(s.loaded, heldModel{model: model, adapter: adapter}, now.Add(loadedTime), now)
		t.list(s, model)
		delete(s.absent, heldModel{model: model, adapter: adapter})
	}
}

// Outcomes returns the outcomes since the last call for servers that had failures, sorted by ID.
func (t *Table) Outcomes() []laburnumlever.BackendOutcome {
	var outcomes []laburnumlever.BackendOutcome
	for id, s := range t.failing {
		outcomes = append(outcomes, laburnumlever.BackendOutcome{Backend: id, Incarnation: s.record.Heartbeat.Incarnation, Failed: s.failedSinceReport, Answered: s.answeredSinceReport})
		s.failedSinceReport, s.answeredSinceReport = 0, 0
	}
	clear(t.failing)
	slices.SortFunc(outcomes, func(a, b laburnumlever.BackendOutcome) int { return cmp.Compare(a.Backend, b.Backend) })
	return outcomes
}

// countOutcome adds the result of an attempt to the next report by Outcomes.
func (t *Table) countOutcome(s *server, result AttemptResult) {
	switch {
	case result.Rested, result.PassedOver:
	case result.Faulty:
		t.countFailure(s)
	case !result.Failed && !result.Unreachable && !result.Full && !result.ReservationRefused:
		s.answeredSinceReport++
	}
}

func (t *Table) countFailure(s *server) {
	s.failedSinceReport++
	t.failing[s.record.Heartbeat.Backend] = s
}

// Unreachable returns the servers in backoff after a failed connection, sorted by ID.
func (t *Table) Unreachable(now time.Time) []laburnumlever.BackendID {
	var ids []laburnumlever.BackendID
	for id := range t.unreachable {
		if s := t.servers[id]; s == nil || !now.Before(s.unreachableUntil) {
			delete(t.unreachable, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Has reports whether the table holds an incarnation of a server.
func (t *Table) Has(id laburnumlever.BackendID, incarnation uint64) bool {
	s := t.servers[id]
	return s != nil && s.record.Heartbeat.Incarnation >= incarnation
}

// ForgetUnreachable ends the backoff of the servers.
func (t *Table) ForgetUnreachable(ids ...laburnumlever.BackendID) {
	for _, id := range ids {
		if s := t.servers[id]; s != nil {
			s.unreachableUntil, s.unreachableTime = time.Time{}, 0
		}
		delete(t.unreachable, id)
	}
}

// ForgetAllUnreachable ends the backoff of all servers.
func (t *Table) ForgetAllUnreachable() {
	t.ForgetUnreachable(slices.Collect(maps.Keys(t.unreachable))...)
}

// Len returns the number of servers that accept requests for the service.
func (t *Table) Len(service laburnumlever.ServiceName) int { return len(t.byService[service]) }

// HasSoftware reports whether a server that accepts requests for the service runs a software version.
func (t *Table) HasSoftware(service laburnumlever.ServiceName, software laburnumlever.SoftwareVersion) bool {
	return slices.ContainsFunc(t.byService[service], func(s *server) bool { return s.record.Heartbeat.Software == software })
}

// Unavailable returns the servers that hold the query's model but are full, resting, unreachable, of another software version
// or, unless all are, limited.
func (t *Table) Unavailable(q Query, now time.Time) []laburnumlever.BackendID {
	var unavailable, limited []laburnumlever.BackendID
	unlimited := false
	for _, s := range t.candidates(q) {
		if !s.holds(q.Model, "", now) {
			continue
		}
		if !q.fits(s) {
			unavailable = append(unavailable, s.record.Heartbeat.Backend)
			continue
		}
		unlimited = unlimited || !s.limited
		if s.limited {
			limited = append(limited, s.record.Heartbeat.Backend)
		} else if now.Before(s.unreachableUntil) || now.Before(s.restUntil) || s.lacksConnection(q, now) || t.saturated(s, q, now) {
			unavailable = append(unavailable, s.record.Heartbeat.Backend)
		}
	}
	if unlimited {
		return append(unavailable, limited...)
	}
	return unavailable
}

// Pick chooses the server with the lowest score and occupies a slot there.
func (t *Table) Pick(q Query, now time.Time) (*Ticket, Verdict) {
	if len(t.byService[q.Service]) == 0 {
		return nil, NoServer
	}
	verdict := ModelAbsent
	var best *server
	bestScore := math.Inf(1)
	found := 0
	for _, s := range t.candidates(q) {
		if !q.fits(s) {
			continue
		}
		if v := t.verdictOn(s, q, now); v != Found {
			verdict = max(verdict, v)
			continue
		}
		found++
		if score := t.score(s, q, now); score < bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil {
		return nil, verdict
	}
	best.own++
	trial := best.recovering
	best.trialing = best.trialing || trial
	uncached := t.prefixes.uncachedTokens(best.record.Heartbeat, q)
	unreadPromptTime := q.readMillis(uncached)
	best.unreadPromptTime += unreadPromptTime
	t.prefixes.add(best.record.Heartbeat, q)
	return &Ticket{
		Backend: best.record.Heartbeat, server: best, query: q, unreadPromptTime: unreadPromptTime, uncached: uncached, since: now,
		mayBeFull: best.mayBeFull(now) || t.mayLackHeadroom(best, q, now), limited: best.limited, trial: trial,
		replaceable: found > 1,
	}, Found
}

// HasRoom reports whether a server could take the query now.
func (t *Table) HasRoom(q Query, now time.Time) bool {
	return slices.ContainsFunc(t.candidates(q), func(s *server) bool { return q.fits(s) && t.verdictOn(s, q, now) == Found })
}

// LacksConnections reports whether a server that has room for the query lacks a connection for it.
func (t *Table) LacksConnections(q Query, now time.Time) bool {
	return slices.ContainsFunc(t.candidates(q), func(s *server) bool { return q.fits(s) && t.lacksOnlyConnection(s, q, now) })
}

// LackingConnections returns the servers that have room for the query but lack a connection for it, with the number of this VM's
// requests there: at most a number, the best first.
func (t *Table) LackingConnections(q Query, most int, now time.Time) []InUse {
	lacking := slices.DeleteFunc(slices.Clone(t.candidates(q)), func(s *server) bool { return !q.fits(s) || !t.lacksOnlyConnection(s, q, now) })
	scores := make(map[*server]float64, len(lacking))
	for _, s := range lacking {
		scores[s] = t.score(s, q, now)
	}
	slices.SortFunc(lacking, func(a, b *server) int { return cmp.Compare(scores[a], scores[b]) })
	servers := make([]InUse, 0, most)
	for _, s := range lacking[:min(most, len(lacking))] {
		servers = append(servers, InUse{Server: s.record.Heartbeat, Requests: s.own})
	}
	return servers
}

// InUse is a server with the number of this VM's requests there.
type InUse struct {
	Server   laburnumlever.Heartbeat
	Requests int
}

// InUse returns the ticket's server with the number of this VM's requests there.
func (ticket *Ticket) InUse() InUse {
	return InUse{Server: ticket.Backend, Requests: ticket.server.own}
}

// lacksOnlyConnection reports whether a server would take the query if this VM might open one more connection to it.
func (t *Table) lacksOnlyConnection(s *server, q Query, now time.Time) bool {
	if !s.lacksConnection(q, now) {
		return false
	}
	q.Connections = nil
	return t.verdictOn(s, q, now) == Found
}

// Connections returns the largest number of this VM's requests at one server of a service, and the number of servers that have all
// that they may have.
func (t *Table) Connections(service laburnumlever.ServiceName, allowed func(laburnumlever.BackendID) int) (busiest, usedUp int) {
	for _, s := range t.byService[service] {
		busiest = max(busiest, s.own)
		if s.own >= allowed(s.record.Heartbeat.Backend) {
			usedUp++
		}
	}
	return busiest, usedUp
}

// verdictOn returns whether one server can take the query, and why not: ModelAbsent also if it is
// unreachable.
func (t *Table) verdictOn(s *server, q Query, now time.Time) Verdict {
	switch {
	case now.Before(s.unreachableUntil) || !s.holds(q.Model, "", now):
		return ModelAbsent
	case now.Before(s.restUntil):
		return Resting
	case !s.holds(q.Model, q.Adapter, now):
		return AdapterAbsent
	case s.trialing || s.lacksConnection(q, now):
		return Full
	case s.limited:
		return t.limitedVerdict(s, q, now)
	case t.saturated(s, q, now):
		return Full
	default:
		return Found
	}
}

// limitedVerdict is verdictOn for a limited server that holds what the query needs.
func (t *Table) limitedVerdict(s *server, q Query, now time.Time) Verdict {
	switch {
	case !q.Permit.covers(s, now):
		return Limited
	case q.Permit.Leased:
		return Found
	case now.Before(q.Permit.From) || t.saturated(s, q, now):
		return Full
	default:
		return Found
	}
}

// saturated tells whether the server has recently refused a request, has no free slot (unless the
// request may queue there), or has reached the limit on this VM's unread prompts.
func (t *Table) saturated(s *server, q Query, now time.Time) bool {
	return now.Before(s.fullUntil) || !q.Queue && t.noSlot(s, q, now) || (s.unreadPromptTime > 0 && s.unreadPromptTime >= s.unreadPromptLimit)
}

// noSlot tells whether the server's slots are taken, except for freeShare and the rank's headroom, by its last reported load.
// After a refused reservation they count as taken until retryTime has passed, and then if this VM's
// own requests take them.
func (t *Table) noSlot(s *server, q Query, now time.Time) bool {
	headroom := t.headroomAt(s, q, now)
	limit := float64(max(1, s.record.Heartbeat.Slots)) * (1 - max(t.freeShare, headroom))
	if s.reservationRefused && headroom == 0 {
		return now.Sub(s.othersAt) < t.retryTime || float64(s.own) >= limit
	}
	return s.load(now) >= limit
}

// score estimates the cost of sending the request to the server, in milliseconds.
func (t *Table) score(s *server, q Query, now time.Time) float64 {
	load, pace := s.load(now), s.pace.Pace(now)
	score := slotMillis*load*pace + s.failurePenalty(now) + jitterMillis*t.rand.Float64()
	if over := load + 1 - float64(max(1, s.record.Heartbeat.Slots)); over > 0 {
		score += queueMillis * over
	}
	if !s.local {
		score += zoneMillis
	}
	if s.record.Silent {
		score += silentMillis
	}
	if s.limited && q.Permit.covers(s, now) {
		score += permitMillis
	}
	if slices.Contains(q.Avoid, s.record.Heartbeat.Backend) {
		score += avoidMillis
	}
	read := t.readMillis(s, q)
	return score + s.unreadPromptTime*pace + read*pace + s.pausePenalty(q.promptOf(read), now)
}

// readMillis estimates the time that the server takes to read the uncached part of the prompt.
func (t *Table) readMillis(s *server, q Query) float64 {
	return q.readMillis(t.prefixes.uncachedTokens(s.record.Heartbeat, q))
}

func (q Query) readMillis(tokens int) float64 {
	read := q.ReadTime
	if read <= 0 {
		read = defaultReadTime
	}
	return float64(tokens) * float64(read) / float64(time.Millisecond)
}

// AnswerStarted records the first part of the answer. It returns the time to the first part and the
// estimated number of prompt tokens that the server had to read. Both are 0 on later calls, and if
// there was nothing to read.
func (t *Table) AnswerStarted(ticket *Ticket, now time.Time) (time.Duration, int) {
	if ticket == nil || ticket.server == nil || ticket.unreadPromptTime == 0 {
		return 0, 0
	}
	took := now.Sub(ticket.since)
	ticket.server.adaptUnreadPromptLimit(took, ticket.query.Target)
	ticket.promptRead()
	return took, ticket.uncached
}

func (ticket *Ticket) promptRead() {
	ticket.server.unreadPromptTime = max(0, ticket.server.unreadPromptTime-ticket.unreadPromptTime)
	ticket.unreadPromptTime = 0
}

// End frees the slot and records the result of the attempt. A nil or ended ticket is ignored.
func (t *Table) End(ticket *Ticket, result AttemptResult, now time.Time) {
	if ticket == nil || ticket.server == nil {
		return
	}
	s := ticket.server
	ticket.promptRead()
	ticket.server = nil
	s.own--
	if result.PassedOver {
		t.prefixes.forget(ticket.Backend, ticket.query, ticket.uncached)
	}
	s.noConnectionUntil = time.Time{}
	if result.NoConnection {
		s.noConnectionUntil = now.Add(t.retryTime)
	}
	if ticket.trial {
		s.trialing = false
	}
	if t.servers[s.record.Heartbeat.Backend] != s {
		return // it has restarted or is gone: the result tells nothing of the new start
	}
	t.countOutcome(s, result)
	t.Observe(s.record.Heartbeat.Backend, result, now)
	if result.Absent {
		key := heldModel{model: ticket.query.Model, adapter: ticket.query.Adapter}
		s.absent = setExpiry(s.absent, key, now.Add(absentTime), now)
		delete(s.loaded, key)
	}
}

// Observe updates a server's state from an answer, also while the request is still running.
func (t *Table) Observe(id laburnumlever.BackendID, result AttemptResult, now time.Time) {
	s := t.servers[id]
	if s == nil {
		return
	}
	if result.HasLoad {
		s.others = float64(max(0, result.Running+result.Waiting-s.own))
		s.othersAt = now
		s.reservationRefused = false
	}
	if result.ReservationRefused {
		s.reservationRefused = true
		s.others = max(0, float64(s.record.Heartbeat.Slots-s.own))
		s.othersAt = now
	}
	if result.Full {
		s.fullUntil = now.Add(fullTime)
		// A server that refuses requests although most of its slots are free is failing, even if
		// its health checks pass.
		if s.load(now) < idleShare*float64(s.record.Heartbeat.Slots) {
			s.recordFailure(now)
			t.countFailure(s)
		}
	}
	if result.Failed && !result.Rested {
		s.recordFailure(now)
	}
	if result.Unreachable {
		s.backOff(now)
		t.unreachable[id] = struct{}{}
	} else if !result.Failed {
		s.unreachableTime = 0
	}
}
