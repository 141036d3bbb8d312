package laburnumbalance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
)

const (
	// usualReadTime is what a model engine takes to read a token of a prompt where that
	// was not measured yet.
	usualReadTime = time.Second / 30000
	// placeMillis is what each request at a server costs the next one, by the
	// longer steps of a deeper batch.
	placeMillis = 1
	// waitMillis is what each request beyond a server's places costs: a place
	// comes free once in an answer's time over the number of places.
	waitMillis = 100
	// zoneMillis is the price of another zone: above the time of the hop, since
	// every byte between zones is paid for.
	zoneMillis = 20
	// silentMillis is held against a server whose heartbeats have stopped.
	silentMillis = 200
	// freeShare of a server's places stays free: what waits, waits on the gateways,
	// which send first what can still be in time and send it wherever a place comes free
	// first. At an engine it waits behind all that is more urgent, and there the more
	// urgent stop answers under way, which then pause for a second. A twentieth covers
	// what other gateways have sent since the last answer told of it.
	freeShare = 0.05
	// maxFailures bounds what is held against a server, so that it comes back
	// within seconds once it is sound.
	maxFailures = 8
	// jitterMillis breaks ties differently on each VM.
	jitterMillis = 2
	// emptyShare of its places taken is when a server has room, whatever it says.
	emptyShare = 0.5
	// fullTime is how long a server that refused for want of room counts as full.
	fullTime = 300 * time.Millisecond
)

// Query is what a decision is made for.
type Query struct {
	Service laburnumlever.ServiceName
	// Model and Adapter are empty for a plain service.
	Model   laburnumlever.ModelName
	Adapter laburnumlever.AdapterName
	Prompt  []laburnumlever.PromptPart
	// Target is the time within which the answer should begin; 0 for none.
	Target time.Duration
	// ReadTime is what the model's engines take to read a token of a prompt; 0 where it
	// is not known.
	ReadTime time.Duration
	// Queue tells that the request may wait at a server, behind those that have a place.
	Queue bool
	// Avoid are the servers that this request was sent to before.
	Avoid []laburnumlever.BackendID
}

// Verdict says why there is no server.
type Verdict int

// The verdicts.
const (
	Found Verdict = iota
	// NoServer means that no server of the service takes work.
	NoServer
	// ModelAbsent means that none of them holds the model.
	ModelAbsent
	// AdapterAbsent means that some hold the model and none the adapter.
	AdapterAbsent
	// Full means that all that could do it have too much waiting.
	Full
)

// Ticket is a request's place at a server.
type Ticket struct {
	Backend laburnumlever.Heartbeat
	server  *server
	query   Query
	// reading is the time that its prompt takes, until its answer has begun.
	reading float64
	// unread is how many tokens of it the server has not cached, as far as is known.
	unread int
	since  time.Time
	// unsure tells that the server may be full for all that is known.
	unsure bool
}

// Unsure tells whether the server may have no place for all that is known: it was heard of
// too long ago, and had much to do then or is not known at all.
func (ticket *Ticket) Unsure() bool { return ticket.unsure }

// Model is the model that the place is for; empty for a plain service.
func (ticket *Ticket) Model() laburnumlever.ModelName { return ticket.query.Model }

// Sample is what came of an attempt.
type Sample struct {
	// Failed tells that the server did not answer, or wrongly.
	Failed bool
	// Unreachable tells that it took no connection.
	Unreachable bool
	// Full tells that it refused for want of room.
	Full bool
	// Absent tells that it does not hold the model or adapter.
	Absent bool
	// Load is what it said of its load, if HasLoad.
	HasLoad          bool
	Running, Waiting int
	// Taken tells that it had no place free when it was asked for one.
	Taken bool
}

// Table holds the servers.
type Table struct {
	zone      laburnumlever.ZoneName
	rand      *rand.Rand
	servers   map[laburnumlever.BackendID]*server
	byService map[laburnumlever.ServiceName][]*server
	byModel   map[serviceModel][]*server
	// unreachable are the servers that took no connection lately, and may by now.
	unreachable map[laburnumlever.BackendID]struct{}
	prefixes    *prefixes
	freeShare   float64
}

// Option changes a new table.
type Option func(*Table)

// WithFreeShare sets the share of a server's slots that stays free; below 0 requests queue at
// the server.
func WithFreeShare(share float64) Option { return func(t *Table) { t.freeShare = share } }

// serviceModel names a model of a service.
type serviceModel struct {
	service laburnumlever.ServiceName
	model   laburnumlever.ModelName
}

// New makes an empty table for a VM in the zone; the seed makes runs repeatable.
func New(zone laburnumlever.ZoneName, seed uint64, opts ...Option) *Table {
	t := &Table{
		freeShare: freeShare, zone: zone, rand: rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // breaks ties, no secret
		servers:     map[laburnumlever.BackendID]*server{},
		byService:   map[laburnumlever.ServiceName][]*server{},
		byModel:     map[serviceModel][]*server{},
		unreachable: map[laburnumlever.BackendID]struct{}{}, prefixes: newPrefixes(),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Set takes a record; one that takes no work leaves the choice.
func (t *Table) Set(r laburnumregistry.Record) {
	id := r.Heartbeat.Backend
	s := t.servers[id]
	if !r.TakesWork() {
		t.remove(id)
		return
	}
	if s != nil && s.record.Heartbeat.Born < r.Heartbeat.Born {
		// It has started again: what was known of it is of before.
		t.remove(id)
		s = nil
	}
	if s == nil {
		s = &server{local: r.Heartbeat.Zone == t.zone, readingLimit: startReading}
		t.servers[id] = s
		t.byService[r.Heartbeat.Service] = append(t.byService[r.Heartbeat.Service], s)
	}
	s.record = r
	t.index(s)
}

// index brings the lists by model up to what the server may hold.
func (t *Table) index(s *server) {
	for _, model := range slices.Clone(s.listed) {
		if !s.record.Heartbeat.Holds(model, "") && !s.wasAdded(model) {
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

// candidates are the servers that may hold a query's model; all of the service for a plain
// one. With hundreds of engines a look at each for every request takes a gateway longer than
// the rest of its work.
func (t *Table) candidates(q Query) []*server {
	if q.Model == "" {
		return t.byService[q.Service]
	}
	return t.byModel[serviceModel{service: q.Service, model: q.Model}]
}

// SetOverlay takes what the VM that gives the orders knows of an engine.
func (t *Table) SetOverlay(o laburnumregistry.Overlay) {
	s := t.servers[o.Backend]
	if s == nil || o.Fence < s.overlay.Fence {
		return
	}
	s.overlay = o
}

func (t *Table) remove(id laburnumlever.BackendID) {
	s := t.servers[id]
	if s == nil {
		return
	}
	delete(t.servers, id)
	service := s.record.Heartbeat.Service
	t.byService[service] = slices.DeleteFunc(t.byService[service], func(o *server) bool { return o == s })
	for _, model := range slices.Clone(s.listed) {
		t.unlist(s, model)
	}
}

// Added notes a model or adapter that a server holds by now.
func (t *Table) Added(id laburnumlever.BackendID, model laburnumlever.ModelName, adapter laburnumlever.AdapterName, now time.Time) {
	if s := t.servers[id]; s != nil {
		s.added = note(s.added, held{model: model, adapter: adapter}, now.Add(addedTime), now)
		t.list(s, model)
		delete(s.absent, held{model: model, adapter: adapter})
	}
}

// Unreachable lists the servers that took no connection lately.
func (t *Table) Unreachable(now time.Time) []laburnumlever.BackendID {
	var ids []laburnumlever.BackendID
	for id := range t.unreachable {
		if s := t.servers[id]; s == nil || !now.Before(s.unreachableTill) {
			delete(t.unreachable, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Len is how many servers take work for the service.
func (t *Table) Len(service laburnumlever.ServiceName) int { return len(t.byService[service]) }

// Useless lists the servers that hold a query's model and can't take it now, whatever
// adapters they have.
func (t *Table) Useless(q Query, now time.Time) []laburnumlever.BackendID {
	var useless []laburnumlever.BackendID
	for _, s := range t.candidates(q) {
		if s.holds(q.Model, "", now) && (now.Before(s.unreachableTill) || t.overfull(s, now, q.Queue)) {
			useless = append(useless, s.record.Heartbeat.Backend)
		}
	}
	return useless
}

// Pick chooses a server and takes a place there.
func (t *Table) Pick(q Query, now time.Time) (*Ticket, Verdict) {
	if len(t.byService[q.Service]) == 0 {
		return nil, NoServer
	}
	verdict := ModelAbsent
	var best *server
	bestScore := math.Inf(1)
	for _, s := range t.candidates(q) {
		if now.Before(s.unreachableTill) {
			continue
		}
		if !s.holds(q.Model, q.Adapter, now) {
			if verdict == ModelAbsent && q.Adapter != "" && s.holds(q.Model, "", now) {
				verdict = AdapterAbsent
			}
			continue
		}
		if verdict != Full {
			verdict = Full
		}
		if t.overfull(s, now, q.Queue) {
			continue
		}
		if score := t.score(s, q, now); score < bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil {
		return nil, verdict
	}
	best.own++
	unread := t.prefixes.missing(best.record.Heartbeat, q)
	reading := q.readMillis(unread)
	best.reading += reading
	t.prefixes.sent(best.record.Heartbeat, q)
	return &Ticket{Backend: best.record.Heartbeat, server: best, query: q, reading: reading, unread: unread, since: now, unsure: best.unsure(now)}, Found
}

// overfull tells whether what waits at the server is too much already.
func (t *Table) overfull(s *server, now time.Time, queue bool) bool {
	slots := float64(max(1, s.record.Heartbeat.Slots))
	return now.Before(s.fullTill) || !queue && s.load(now) >= slots*(1-t.freeShare) ||
		(s.reading > 0 && s.reading >= s.readingLimit)
}

func (t *Table) score(s *server, q Query, now time.Time) float64 {
	load := s.load(now)
	score := placeMillis*load + s.blame(now) + jitterMillis*t.rand.Float64()
	if over := load + 1 - float64(max(1, s.record.Heartbeat.Slots)); over > 0 {
		score += waitMillis * over
	}
	if !s.local {
		score += zoneMillis
	}
	if s.record.Silent {
		score += silentMillis
	}
	if slices.Contains(q.Avoid, s.record.Heartbeat.Backend) {
		score += avoidMillis
	}
	return score + s.reading + t.readMillis(s, q)
}

// readMillis is how long the server reads what it has not cached of the prompt.
func (t *Table) readMillis(s *server, q Query) float64 {
	return q.readMillis(t.prefixes.missing(s.record.Heartbeat, q))
}

func (q Query) readMillis(tokens int) float64 {
	read := q.ReadTime
	if read <= 0 {
		read = usualReadTime
	}
	return float64(tokens) * float64(read) / float64(time.Millisecond)
}

// avoidMillis puts a server behind all others that could do it.
const avoidMillis = 1e6

// Began notes that the answer has begun. It returns how long that took and how many tokens
// of the prompt the server had to read for it.
func (t *Table) Began(ticket *Ticket, now time.Time) (time.Duration, int) {
	if ticket == nil || ticket.server == nil || ticket.reading == 0 {
		return 0, 0
	}
	took := now.Sub(ticket.since)
	ticket.server.began(took, ticket.query.Target)
	ticket.read()
	return took, ticket.unread
}

// read takes the prompt out of what the server has to read.
func (ticket *Ticket) read() {
	ticket.server.reading = max(0, ticket.server.reading-ticket.reading)
	ticket.reading = 0
}

// End frees the place and learns from the attempt. A nil ticket is no place.
func (t *Table) End(ticket *Ticket, sample Sample, now time.Time) {
	if ticket == nil || ticket.server == nil {
		return
	}
	s := ticket.server
	ticket.read()
	ticket.server = nil
	s.own--
	t.Learn(s.record.Heartbeat.Backend, sample, now)
	if sample.Absent {
		key := held{model: ticket.query.Model, adapter: ticket.query.Adapter}
		s.absent = note(s.absent, key, now.Add(absentTime), now)
		delete(s.added, key)
	}
}

// Learn takes what a server's answer says while the request still runs there.
func (t *Table) Learn(id laburnumlever.BackendID, sample Sample, now time.Time) {
	s := t.servers[id]
	if s == nil {
		return
	}
	if sample.HasLoad {
		s.others = float64(max(0, sample.Running+sample.Waiting-s.own))
		s.othersAt = now
		s.taken = false
	}
	if sample.Taken {
		s.taken = true
		s.others = max(0, float64(s.record.Heartbeat.Slots-s.own))
		s.othersAt = now
	}
	if sample.Full {
		s.fullTill = now.Add(fullTime)
		// One that refuses for want of room while it has little to do is not full
		// but broken; its health answers say nothing of that.
		if s.load(now) < emptyShare*float64(s.record.Heartbeat.Slots) {
			s.fail(now)
		}
	}
	if sample.Failed {
		s.fail(now)
	}
	if sample.Unreachable {
		s.unreachable(now)
		t.unreachable[id] = struct{}{}
	} else if !sample.Failed {
		s.unreachableFor = 0
	}
}
