package laburnumroutes

import (
	"fmt"
	"strings"

	"laburnumlever"
)

// Check returns an error that lists all faults of a table. Errors:
// *laburnumlever.RoutesInvalidError.
func Check(t laburnumlever.RouteTable) error {
	c := checker{services: map[laburnumlever.ServiceName]bool{}, routes: map[hostPrefix]laburnumlever.RouteName{}}
	if t.Version == 0 {
		c.add("version", "is missing or 0", "a version number above 0")
	}
	for _, s := range t.Services {
		if c.services[s.Name] || s.Name == "" {
			c.add("services", fmt.Sprintf("service name %q is empty or used twice", s.Name), "unique service names")
		}
		c.services[s.Name] = true
	}
	for i, r := range t.Routes {
		c.checkRoute(fmt.Sprintf("routes[%d]", i), r)
	}
	c.checkAccounts(t.Accounts)
	if len(c.faults) > 0 {
		return &laburnumlever.RoutesInvalidError{Faults: c.faults}
	}
	return nil
}

// hostPrefix is what a route matches.
type hostPrefix struct{ host, prefix string }

// checker collects the faults of a table.
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
		c.add(key, fmt.Sprintf("has the same host and path prefix as route %q", other), "a unique host and path prefix")
	}
	c.routes[at] = r.Name
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		c.add(key+".path-prefix", fmt.Sprintf("%q does not begin and end with a slash", r.PathPrefix), `a prefix such as "/quotes/"`)
	}
	if r.Timeout <= 0 {
		c.add(key+".timeout", "is not above 0", "the longest time that a caller waits for an answer")
	}
	total := 0
	for _, share := range r.Split {
		if !c.services[share.Service] {
			c.add(key+".split", fmt.Sprintf("names the unknown service %q", share.Service), "a service listed in the table")
		}
		if share.Weight < 0 {
			c.add(key+".split", "has a negative weight", "weights of 0 or more")
		}
		total += share.Weight
	}
	if total <= 0 {
		c.add(key+".split", "has weights that add up to 0", "at least one service with a weight above 0")
	}
}

// checkAccounts checks client accounts. Faults name accounts, never keys.
func (c *checker) checkAccounts(accounts []laburnumlever.Account) {
	names := map[laburnumlever.AccountName]bool{}
	owners := map[laburnumlever.KeyHash]laburnumlever.AccountName{}
	for i, a := range accounts {
		key := fmt.Sprintf("accounts[%d]", i)
		if names[a.Name] || a.Name == "" {
			c.add(key+".name", fmt.Sprintf("account name %q is empty or used twice", a.Name), "unique account names")
		}
		names[a.Name] = true
		if a.Quota.Rate < 0 || a.Quota.Burst < 0 || a.Quota.PlainTokens < 0 {
			c.add(key+".quota", fmt.Sprintf("of account %q has a negative number", a.Name), "numbers of 0 or more")
		}
		for _, hash := range a.Keys {
			if owner, taken := owners[hash]; taken && owner != a.Name {
				c.add(key+".keys", fmt.Sprintf("account %q has a key of account %q", a.Name, owner), "keys that belong to one account")
			}
			owners[hash] = a.Name
		}
	}
}
