package laburnumrouter

import (
	"math/rand/v2"
	"slices"
	"time"

	"laburnumlever"
)

const (
	// otherZoneFactor is how much worse the own zone's score must be for another zone to be
	// used.
	otherZoneFactor = 3
	// affinityFactor is how much worse the score of a server with the prefix may be.
	affinityFactor = 2
	// maxSlotScan bounds the search for a free slot when the chosen server is full.
	maxSlotScan = 32
)

// Query is the input of a routing decision, for either a model or a plain service.
type Query struct {
	Model   laburnumlever.ModelName
	Service laburnumlever.ServiceName
	// Prefix is the prompt's PrefixHash; 0 for none.
	Prefix uint64
	// Avoid is the backend server of the previous attempt. Another one is preferred if there
	// is one.
	Avoid laburnumlever.BackendID
}

// group is the servers of one model or service, those in the own zone first.
type group struct {
	servers         []*Server
	local           int     // number of servers in the own zone
	medianTokenTime float64 // lower median in seconds per token; 0 when none is known
}

// Router selects backend servers for the requests of one VM. It measures each server's
// load, token time and failures.
type Router struct {
	zone     laburnumlever.ZoneName
	rand     *rand.Rand
	servers  map[laburnumlever.BackendID]*Server
	models   map[laburnumlever.ModelName]*group
	services map[laburnumlever.ServiceName]*group
	prefixes *prefixes
	// generation counts index updates. A server with an older one serves nothing now.
	generation uint64
}

// New returns a router for a VM in the zone. The seed makes runs reproducible.
func New(zone laburnumlever.ZoneName, seed uint64) *Router {
	return &Router{
		zone: zone, rand: rand.New(rand.NewPCG(seed, seed)),
		servers: map[laburnumlever.BackendID]*Server{}, prefixes: newPrefixes(),
	}
}

// Update sets a new index. Measurements of servers of the same incarnation are kept.
func (r *Router) Update(ix *Index) {
	servers := make(map[laburnumlever.BackendID]*Server, len(ix.backends))
	serversByIndex := make([]*Server, len(ix.backends))
	for i := range ix.backends {
		b := &ix.backends[i]
		s := r.servers[b.Announcement.Backend]
		if s == nil || s.announcement.Incarnation != b.Announcement.Incarnation {
			s = &Server{}
		}
		if s.update(b, r.zone) {
			r.prefixes.addReported(s, b.Report.Prefixes)
		}
		servers[b.Announcement.Backend] = s
		serversByIndex[i] = s
	}
	r.servers = servers
	r.generation++
	r.models = make(map[laburnumlever.ModelName]*group, len(ix.models))
	for name, indexes := range ix.models {
		r.models[name] = r.newGroup(serversByIndex, indexes)
	}
	r.services = make(map[laburnumlever.ServiceName]*group, len(ix.services))
	for name, indexes := range ix.services {
		r.services[name] = r.newGroup(serversByIndex, indexes)
	}
}

func (r *Router) newGroup(serversByIndex []*Server, indexes []int) *group {
	g := &group{servers: make([]*Server, 0, len(indexes))}
	for _, i := range indexes {
		serversByIndex[i].generation = r.generation
		if serversByIndex[i].local {
			g.servers = append(g.servers, serversByIndex[i])
		}
	}
	g.local = len(g.servers)
	for _, i := range indexes {
		if !serversByIndex[i].local {
			g.servers = append(g.servers, serversByIndex[i])
		}
	}
	g.medianTokenTime = medianTokenTimeOf(g.servers)
	return g
}

func medianTokenTimeOf(servers []*Server) float64 {
	known := make([]float64, 0, len(servers))
	for _, s := range servers {
		if s.tokenTime > 0 {
			known = append(known, s.tokenTime)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// HasFreeSlot reports whether a server for the query has a free slot.
func (r *Router) HasFreeSlot(q Query, now time.Time) bool {
	g := r.group(q)
	return g != nil && r.findFreeSlot(g, q, now) != nil
}

// HasServer reports whether any server accepts requests for the query.
func (r *Router) HasServer(q Query) bool { return r.group(q) != nil }

// Pick selects a server, preferably one with a free slot. It returns false when no server
// accepts requests for the query.
func (r *Router) Pick(q Query, now time.Time) (*Server, bool) {
	g := r.group(q)
	if g == nil {
		return nil, false
	}
	best := r.choose(g, q, now)
	if !best.hasFreeSlot(now) {
		if s := r.findFreeSlot(g, q, now); s != nil {
			best = s
		}
	}
	if s := r.prefixServer(g, q, best, now); s != nil {
		best = s
	}
	if q.Prefix != 0 {
		r.prefixes.recordSent(q.Prefix, best)
	}
	return best, true
}

// choose picks a server from the own zone, or from another zone when that is better.
func (r *Router) choose(g *group, q Query, now time.Time) *Server {
	if g.local == 0 {
		return r.pickOfTwo(g, 0, len(g.servers), q, now)
	}
	best := r.pickOfTwo(g, 0, g.local, q, now)
	if g.local == len(g.servers) || best.wantsProbe(now, g.medianTokenTime) {
		return best // another zone's server must not replace a probe
	}
	other := r.pickOfTwo(g, g.local, len(g.servers), q, now)
	if best.ID() == q.Avoid || otherZoneIsBetter(best, other, g.medianTokenTime, now) {
		return other
	}
	return best
}

func otherZoneIsBetter(own, other *Server, medianTokenTime float64, now time.Time) bool {
	one := other.score(now, medianTokenTime) / (other.load(now) + 1) // the cost of one more request there
	return own.score(now, medianTokenTime) > otherZoneFactor*other.score(now, medianTokenTime)+one
}

func (r *Router) pickOfTwo(g *group, from, to int, q Query, now time.Time) *Server {
	n := to - from
	at := r.rand.IntN(n)
	first := g.servers[from+at]
	if n == 1 {
		return first
	}
	second := g.servers[from+(at+1+r.rand.IntN(n-1))%n]
	switch {
	case first.ID() == q.Avoid:
		return second
	case second.ID() == q.Avoid, first.wantsProbe(now, g.medianTokenTime):
		return first
	case second.wantsProbe(now, g.medianTokenTime), second.score(now, g.medianTokenTime) < first.score(now, g.medianTokenTime):
		return second
	default:
		return first
	}
}

// findFreeSlot returns a server with a free slot that fails less than half of its requests.
// The scan starts at a random server.
func (r *Router) findFreeSlot(g *group, q Query, now time.Time) *Server {
	start := r.rand.IntN(len(g.servers))
	for i := range min(maxSlotScan, len(g.servers)) {
		s := g.servers[(start+i)%len(g.servers)]
		if s.hasFreeSlot(now) && s.ID() != q.Avoid && s.failureShare(now) < 1.0/2 {
			return s
		}
	}
	return nil
}

// prefixServer returns the server that has the query's prefix cached, nil when there is none
// or its score is too bad.
func (r *Router) prefixServer(g *group, q Query, best *Server, now time.Time) *Server {
	s := r.prefixes.find(q.Prefix)
	if s == nil || s.ID() == q.Avoid || s.generation != r.generation || !s.serves(q.Model) || !s.hasFreeSlot(now) {
		return nil
	}
	if s.score(now, g.medianTokenTime) > affinityFactor*best.score(now, g.medianTokenTime) {
		return nil
	}
	return s
}

func (r *Router) group(q Query) *group {
	if q.Model != "" {
		return r.models[q.Model]
	}
	return r.services[q.Service]
}
