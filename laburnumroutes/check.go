package laburnumroutes

import (
	"fmt"
	"strings"

	"laburnumlever"
)

// Check reports all faults of a table. An error is a
// *laburnumlever.RoutesInvalidError.
func Check(t laburnumlever.RouteTable) error {
	c := checker{services: map[laburnumlever.ServiceName]bool{}, routes: map[hostPrefix]laburnumlever.RouteName{}}
	if t.Version == 0 {
		c.add("version", "is missing or 0", "a number above 0")
	}
	for _, s := range t.Services {
		if c.services[s.Name] || s.Name == "" {
			c.add("services", fmt.Sprintf("%q is not a name of its own", s.Name), "each service once")
		}
		c.services[s.Name] = true
	}
	for i, r := range t.Routes {
		c.checkRoute(fmt.Sprintf("routes[%d]", i), r)
	}
	if len(c.faults) > 0 {
		return &laburnumlever.RoutesInvalidError{Faults: c.faults}
	}
	return nil
}

type hostPrefix struct{ host, prefix string }

type checker struct {
	services map[laburnumlever.ServiceName]bool
	routes   map[hostPrefix]laburnumlever.RouteName
	faults   []laburnumlever.Fault
}

func (c *checker) add(key, problem, want string) {
	c.faults = append(c.faults, laburnumlever.Fault{Key: key, Problem: problem, Want: want})
}

func (c *checker) checkRoute(key string, r laburnumlever.Route) {
	at := hostPrefix{host: normalHost(r.Host), prefix: r.PathPrefix}
	if other, taken := c.routes[at]; taken {
		c.add(key, fmt.Sprintf("has the host and path prefix of %q", other), "a host and path prefix of its own")
	}
	c.routes[at] = r.Name
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		c.add(key+".path-prefix", fmt.Sprintf("%q does not begin and end with a slash", r.PathPrefix), `a prefix such as "/quotes/"`)
	}
	if r.Timeout <= 0 {
		c.add(key+".timeout", "is not above 0", "the longest wait of a caller")
	}
	total := 0
	for _, share := range r.Split {
		if !c.services[share.Service] {
			c.add(key+".split", fmt.Sprintf("names the unknown service %q", share.Service), "a service of the table")
		}
		if share.Weight < 0 {
			c.add(key+".split", "has a negative weight", "weights of 0 or more")
		}
		total += share.Weight
	}
	if total <= 0 {
		c.add(key+".split", "has weights that add up to 0", "at least one service with a weight")
	}
}
