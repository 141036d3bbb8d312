package laburnumrouter

import (
	"math/rand/v2"
	"time"

	"laburnumlever"
)

// Query is what a routing decision is made for: a model or a plain service.
type Query struct {
	Model   laburnumlever.ModelName
	Service laburnumlever.ServiceName
	// Avoid is a backend server that an earlier attempt has used; another is
	// taken where there is one.
	Avoid laburnumlever.BackendID
}

// Router holds what this VM knows of each backend server beyond its reports.
type Router struct {
	zone     laburnumlever.ZoneName
	rand     *rand.Rand
	servers  map[laburnumlever.BackendID]*Server
	models   map[laburnumlever.ModelName][]*Server
	services map[laburnumlever.ServiceName][]*Server
}

// New returns a router for a VM in the zone. The seed makes runs repeatable.
func New(zone laburnumlever.ZoneName, seed uint64) *Router {
	return &Router{zone: zone, rand: rand.New(rand.NewPCG(seed, seed)), servers: map[laburnumlever.BackendID]*Server{}}
}

// Update takes a new index. What is known of servers that are still there stays.
func (r *Router) Update(ix *Index, now time.Time) {
	servers := make(map[laburnumlever.BackendID]*Server, len(ix.backends))
	places := make([]*Server, len(ix.backends))
	for i := range ix.backends {
		b := &ix.backends[i]
		s := r.servers[b.Announcement.Backend]
		if s == nil || s.announcement.Incarnation != b.Announcement.Incarnation {
			s = newServer()
		}
		s.update(b, now)
		servers[b.Announcement.Backend] = s
		places[i] = s
	}
	r.servers = servers
	r.models = make(map[laburnumlever.ModelName][]*Server, len(ix.models))
	for name, at := range ix.models {
		r.models[name] = pick(places, at)
	}
	r.services = make(map[laburnumlever.ServiceName][]*Server, len(ix.services))
	for name, at := range ix.services {
		r.services[name] = pick(places, at)
	}
}

// Pick chooses a server; false when none takes work for the query.
func (r *Router) Pick(q Query, now time.Time) (*Server, bool) {
	candidates := r.candidates(q)
	if len(candidates) == 0 {
		return nil, false
	}
	at := r.rand.IntN(len(candidates))
	first := candidates[at]
	second := candidates[(at+1+r.rand.IntN(max(1, len(candidates)-1)))%len(candidates)]
	return better(first, second, q.Avoid, now), true
}

func (r *Router) candidates(q Query) []*Server {
	if q.Model != "" {
		return r.models[q.Model]
	}
	return r.services[q.Service]
}

func better(a, b *Server, avoid laburnumlever.BackendID, now time.Time) *Server {
	if a.ID() == avoid {
		return b
	}
	if b.ID() == avoid || a.load(now) <= b.load(now) {
		return a
	}
	return b
}

func pick(places []*Server, at []int) []*Server {
	out := make([]*Server, len(at))
	for i, n := range at {
		out[i] = places[n]
	}
	return out
}
