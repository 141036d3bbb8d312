package laburnumroutes

import (
	"net"
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

// Index finds routes by host and path. It is immutable and safe for concurrent use.
type Index struct {
	table laburnumlever.RouteTable
	// byHost holds the routes by host, then by path prefix.
	byHost map[string]map[string]*laburnumlever.Route
	// topPriority is the priority of each service's most urgent route; 0 is the most urgent.
	topPriority map[laburnumlever.ServiceName]int
	// pauseTargets are the shortest pause targets of each service's routes.
	pauseTargets map[laburnumlever.ServiceName]laburnumlever.Duration
	// differing are the services whose routes differ in priority.
	differing map[laburnumlever.ServiceName]struct{}
	// accounts are the client accounts by the hashes of their keys, topAccount the priority of the most urgent
	// one.
	accounts   map[laburnumlever.KeyHash]*laburnumlever.Account
	topAccount int
	// hasPublic is set if a route needs no key.
	hasPublic bool
	// ranks is the number of priorities of routes.
	ranks int
}

// NewIndex indexes a table that Check has accepted.
func NewIndex(table laburnumlever.RouteTable) *Index {
	x := &Index{
		table: table, byHost: map[string]map[string]*laburnumlever.Route{}, topPriority: map[laburnumlever.ServiceName]int{},
		differing: map[laburnumlever.ServiceName]struct{}{}, pauseTargets: map[laburnumlever.ServiceName]laburnumlever.Duration{},
	}
	for i := range table.Routes {
		r := &table.Routes[i]
		host := normalHost(r.Host)
		if x.byHost[host] == nil {
			x.byHost[host] = map[string]*laburnumlever.Route{}
		}
		x.byHost[host][r.PathPrefix] = r
		x.recordPriority(r)
		x.recordPauseTarget(r)
		x.ranks = max(x.ranks, r.Priority+1)
		x.hasPublic = x.hasPublic || r.Public
	}
	x.indexAccounts()
	return x
}

func (x *Index) indexAccounts() {
	x.accounts = make(map[laburnumlever.KeyHash]*laburnumlever.Account, len(x.table.Accounts))
	for i := range x.table.Accounts {
		a := &x.table.Accounts[i]
		if i == 0 || a.Priority < x.topAccount {
			x.topAccount = a.Priority
		}
		for _, hash := range a.Keys {
			x.accounts[hash] = a
		}
	}
}

// Account returns the client account that a key belongs to; nil for none. The time that it takes tells nothing of
// the keys.
func (x *Index) Account(key string) *laburnumlever.Account {
	if key == "" || len(x.accounts) == 0 {
		return nil
	}
	return x.accounts[laburnumlever.HashKey(x.table.KeySalt, key)]
}

// Rank returns the priority of a request: first by its client account, which is nil for none, then by its route.
func (x *Index) Rank(r *laburnumlever.Route, a *laburnumlever.Account) int {
	if a == nil {
		return r.Priority
	}
	return (a.Priority-x.topAccount)*x.ranks + r.Priority
}

// HasPublic reports whether a route needs no key.
func (x *Index) HasPublic() bool { return x.hasPublic }

// DiffersByAccount reports whether client accounts differ in priority.
func (x *Index) DiffersByAccount() bool {
	return slices.ContainsFunc(x.table.Accounts, func(a laburnumlever.Account) bool { return a.Priority != x.topAccount })
}

func (x *Index) recordPriority(r *laburnumlever.Route) {
	for _, share := range r.Split {
		top, ok := x.topPriority[share.Service]
		if ok && r.Priority != top {
			x.differing[share.Service] = struct{}{}
		}
		if !ok || r.Priority < top {
			x.topPriority[share.Service] = r.Priority
		}
	}
}

func (x *Index) recordPauseTarget(r *laburnumlever.Route) {
	if r.PauseTarget <= 0 {
		return
	}
	for _, share := range r.Split {
		if shortest, ok := x.pauseTargets[share.Service]; !ok || r.PauseTarget < shortest {
			x.pauseTargets[share.Service] = r.PauseTarget
		}
	}
}

// PauseTarget returns the shortest target for the pause between two events of the service's streams; 0 for none.
func (x *Index) PauseTarget(service laburnumlever.ServiceName) time.Duration {
	return time.Duration(x.pauseTargets[service])
}

// Differs reports whether requests to a service differ in rank.
func (x *Index) Differs(service laburnumlever.ServiceName) bool {
	_, differs := x.differing[service]
	return differs || x.DiffersByAccount()
}

// MostUrgent tells whether no route to the service has a more urgent priority than the given one.
func (x *Index) MostUrgent(service laburnumlever.ServiceName, priority int) bool {
	top, ok := x.topPriority[service]
	return !ok || priority <= top
}

// Table returns the indexed table.
func (x *Index) Table() laburnumlever.RouteTable { return x.table }

// Find returns the host's route with the longest prefix of the path, compared by whole segments.
func (x *Index) Find(host, path string) (*laburnumlever.Route, bool) {
	prefixes := x.byHost[normalHost(host)]
	if prefixes == nil {
		return nil, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}

// Pick chooses one of the route's services by weight; draw is a uniformly random number. It
// returns "" if no service has a weight.
func Pick(r laburnumlever.Route, draw uint64) laburnumlever.ServiceName {
	total := 0
	for _, share := range r.Split {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(draw % uint64(total))
	for _, share := range r.Split {
		if at < share.Weight {
			return share.Service
		}
		at -= share.Weight
	}
	return ""
}

// normalHost returns the host without its port, in lower case.
func normalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
