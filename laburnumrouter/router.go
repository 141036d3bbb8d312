package laburnumrouter

import (
	"math/rand/v2"
	"slices"
	"time"

	"laburnumlever"
)

const (
	// otherZoneFactor is how much worse the own zone must be for another to be used.
	otherZoneFactor = 3
	// affinityFactor is how much worse a server with the prefix may be.
	affinityFactor = 2
	// maxSlotScan bounds the search for a free server after two full ones.
	maxSlotScan = 32
)

// Query is what a routing decision is made for: a model or a plain service.
type Query struct {
	Model   laburnumlever.ModelName
	Service laburnumlever.ServiceName
	// Prefix is the hash of the prompt's beginning; 0 for none.
	Prefix uint64
	// Avoid is a backend server that an earlier attempt has used; another is
	// taken where there is one.
	Avoid laburnumlever.BackendID
}

// group is the servers of one model or service, the own zone's first.
type group struct {
	servers         []*Server
	local           int     // how many are of the own zone
	medianTokenTime float64 // middle pace, seconds a token; 0 when none is known
}

// Router holds what this VM knows of each backend server beyond its reports.
type Router struct {
	zone     laburnumlever.ZoneName
	rand     *rand.Rand
	servers  map[laburnumlever.BackendID]*Server
	models   map[laburnumlever.ModelName]*group
	services map[laburnumlever.ServiceName]*group
	prefixes *prefixes
	// generation of the index; a server of an older one has left.
	generation uint64
}

// New returns a router for a VM in the zone. The seed makes runs repeatable.
func New(zone laburnumlever.ZoneName, seed uint64) *Router {
	return &Router{
		zone: zone, rand: rand.New(rand.NewPCG(seed, seed)),
		servers: map[laburnumlever.BackendID]*Server{}, prefixes: newPrefixes(),
	}
}

// Update takes a new index. What is known of servers that are still there stays.
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

// HasRoom tells whether a server of the query's group has a free place.
func (r *Router) HasRoom(q Query, now time.Time) bool {
	g := r.group(q)
	return g != nil && r.findFreeSlot(g, q, now) != nil
}

// Known tells whether any server takes work for the query.
func (r *Router) Known(q Query) bool { return r.group(q) != nil }

// Pick chooses a server, if need be one without a free place; false when none takes
// work for the query.
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

// choose draws two of the own zone, and one of another as long as that may help.
func (r *Router) choose(g *group, q Query, now time.Time) *Server {
	if g.local == 0 {
		return r.pickOfTwo(g, 0, len(g.servers), q, now)
	}
	best := r.pickOfTwo(g, 0, g.local, q, now)
	if g.local == len(g.servers) || best.wantsProbe(now, g.medianTokenTime) {
		return best // a probe must not go to another zone's server instead
	}
	other := r.pickOfTwo(g, g.local, len(g.servers), q, now)
	if best.ID() == q.Avoid || otherZoneIsBetter(best, other, g.medianTokenTime, now) {
		return other
	}
	return best
}

func otherZoneIsBetter(own, other *Server, medianTokenTime float64, now time.Time) bool {
	one := other.score(now, medianTokenTime) / (other.load(now) + 1) // what one more request costs there
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

// findFreeSlot finds a server with a free place from a drawn start on.
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

// prefixServer is the server that has the prompt's beginning, if that is worth it.
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
