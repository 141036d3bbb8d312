package laburnumroutes

import (
	"net"
	"strings"

	"laburnumlever"
)

// Index finds routes by host and path. It is immutable and safe for concurrent use.
type Index struct {
	table laburnumlever.RouteTable
	// byHost holds the routes by host, then by path prefix.
	byHost map[string]map[string]*laburnumlever.Route
	// topPriority is the priority of each service's most urgent route; 0 is the most urgent.
	topPriority map[laburnumlever.ServiceName]int
}

// NewIndex indexes a table that Check has accepted.
func NewIndex(table laburnumlever.RouteTable) *Index {
	x := &Index{table: table, byHost: map[string]map[string]*laburnumlever.Route{}, topPriority: map[laburnumlever.ServiceName]int{}}
	for i := range table.Routes {
		r := &table.Routes[i]
		host := normalHost(r.Host)
		if x.byHost[host] == nil {
			x.byHost[host] = map[string]*laburnumlever.Route{}
		}
		x.byHost[host][r.PathPrefix] = r
		x.recordPriority(r)
	}
	return x
}

func (x *Index) recordPriority(r *laburnumlever.Route) {
	for _, share := range r.Split {
		if top, ok := x.topPriority[share.Service]; !ok || r.Priority < top {
			x.topPriority[share.Service] = r.Priority
		}
	}
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
