package laburnumroutes

import (
	"net"
	"strings"

	"laburnumlever"
)

// Index finds routes by host and path. It is immutable.
type Index struct {
	table       laburnumlever.RouteTable
	byHost      map[string]map[string]*laburnumlever.Route
	topPriority map[laburnumlever.ServiceName]int
}

// NewIndex indexes a table that Check accepts.
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

// MostUrgent tells whether no route to the service is more urgent than the priority.
func (x *Index) MostUrgent(service laburnumlever.ServiceName, priority int) bool {
	top, ok := x.topPriority[service]
	return !ok || priority <= top
}

// Table returns the table of the index.
func (x *Index) Table() laburnumlever.RouteTable { return x.table }

// Find returns the route with the longest prefix of the path.
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

// Pick chooses one of the route's services by weight; draw is a random number.
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

// normalHost drops the port and lowers the case.
func normalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
