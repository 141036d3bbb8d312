package laburnumsettings

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"laburnumlever"
)

// nameWant describes valid names. Names are used in URLs, headers and metric labels, so
// they exclude characters that need quoting there.
const nameWant = "a name of 1 to 63 lower-case letters, digits, dots and hyphens that starts with a letter or digit"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// methods are the HTTP methods allowed in a call.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

func isName(name string) bool { return namePattern.MatchString(name) }

// CheckCatalogue checks the values and references of a catalogue and returns all faults,
// without file and line.
func CheckCatalogue(c laburnumlever.Catalogue) []laburnumlever.Fault {
	check := &catalogueCheck{catalogue: c, seen: make(map[string]bool)}
	check.deployment()
	check.owners()
	check.classes()
	for i, model := range c.Models {
		check.model(fmt.Sprintf("models[%d]", i), model)
	}
	for i, service := range c.Services {
		check.service(fmt.Sprintf("services[%d]", i), service)
	}
	return check.faults
}

// catalogueCheck collects the faults of one catalogue.
type catalogueCheck struct {
	catalogue laburnumlever.Catalogue
	// seen holds "kind name" of each name already checked, to find duplicates.
	seen   map[string]bool
	faults []laburnumlever.Fault
}

func (c *catalogueCheck) add(key, problem, want string) {
	c.faults = append(c.faults, laburnumlever.Fault{Key: key, Problem: problem, Want: want})
}

func (c *catalogueCheck) checkName(key, kind, name string) {
	if !isName(name) {
		c.add(key, fmt.Sprintf("%q is not a name", name), nameWant)
		return
	}
	if c.seen[kind+" "+name] {
		c.add(key, fmt.Sprintf("%q is the name of another %s", name, kind), "each "+kind+" under a name of its own")
	}
	c.seen[kind+" "+name] = true
}

func (c *catalogueCheck) checkAtLeast(key string, value, least float64) {
	if value < least {
		c.add(key, fmt.Sprintf("%v is too small", value), fmt.Sprintf("%v or more", least))
	}
}

func (c *catalogueCheck) checkPositive(key string, value float64) {
	if value <= 0 {
		c.add(key, fmt.Sprintf("%v is too small", value), "more than 0")
	}
}

func (c *catalogueCheck) deployment() {
	d := c.catalogue.Deployment
	c.checkName("deployment.name", "deployment", d.Name)
	if len(d.Zones) == 0 {
		c.add("deployment.zones", "is empty", "all availability zones")
	}
	for i, zone := range d.Zones {
		c.checkName(fmt.Sprintf("deployment.zones[%d]", i), "availability zone", string(zone))
	}
	c.checkAtLeast("deployment.move-cost", d.MoveCost, 0)
	c.checkAtLeast("deployment.entry-vms", float64(d.EntryVMs), 0)
	c.checkPositive("deployment.weight-store.loads-per-second", d.WeightStore.LoadsPerSecond)
	c.checkAtLeast("deployment.weight-store.parallel-loads", float64(d.WeightStore.ParallelLoads), 1)
}

func (c *catalogueCheck) owners() {
	for i, owner := range c.catalogue.Owners {
		key := fmt.Sprintf("owners[%d]", i)
		c.checkName(key+".name", "owner", string(owner.Name))
		c.limits(key+".limits", owner.Limits)
	}
}

func (c *catalogueCheck) limits(key string, l laburnumlever.Limits) {
	c.checkAtLeast(key+".requests-per-second", l.RequestsPerSecond, 0)
	c.checkAtLeast(key+".tokens-per-second", l.TokensPerSecond, 0)
	c.checkAtLeast(key+".in-flight", float64(l.InFlight), 0)
	c.checkAtLeast(key+".queue", float64(l.Queue), 0)
}

func (c *catalogueCheck) classes() {
	for i, class := range c.catalogue.Classes {
		key := fmt.Sprintf("classes[%d]", i)
		c.checkName(key+".name", "class", string(class.Name))
		if class.FirstToken <= 0 {
			c.add(key+".first-token", class.FirstToken.String()+" is no target", `more than 0, such as "1.9s"`)
		}
		if class.BetweenToken <= 0 {
			c.add(key+".between-tokens", class.BetweenToken.String()+" is no target", `more than 0, such as "70ms"`)
		}
	}
}

// references checks that the owner and class of an entry exist.
func (c *catalogueCheck) references(key string, owner laburnumlever.OwnerName, class laburnumlever.ClassName) {
	if _, found := c.catalogue.Owner(owner); !found {
		c.add(key+".owner", fmt.Sprintf("no owner is named %q", owner), oneOf(c.ownerNames(), "an owner listed under owners"))
	}
	if _, found := c.catalogue.Class(class); !found {
		c.add(key+".class", fmt.Sprintf("no class is named %q", class), oneOf(c.classNames(), "a class listed under classes"))
	}
}

func (c *catalogueCheck) model(key string, m laburnumlever.Model) {
	c.checkName(key+".name", "model", string(m.Name))
	c.references(key, m.Owner, m.Class)
	c.limits(key+".limits", m.Limits)
	c.version(key, m)
	c.checkPositive(key+".weights-mib", float64(m.WeightsMiB))
	c.checkAtLeast(key+".kv-reserve-mib", float64(m.KVReserveMiB), 0)
	c.checkAtLeast(key+".accelerators", float64(m.Accelerators), 0)
	for i, adapter := range m.Adapters {
		at := fmt.Sprintf("%s.adapters[%d]", key, i)
		c.checkName(at+".name", "adapter of "+string(m.Name), string(adapter.Name))
		c.checkPositive(at+".size-mib", float64(adapter.SizeMiB))
	}
}

func (c *catalogueCheck) version(key string, m laburnumlever.Model) {
	if m.Version == "" {
		c.add(key+".version", "is empty", "the version to load")
		return
	}
	if len(m.Versions) > 0 && !slices.Contains(m.Versions, m.Version) {
		c.add(key+".version", fmt.Sprintf("%q is not among the versions", m.Version), fmt.Sprintf("one of %v", m.Versions))
	}
}

func (c *catalogueCheck) service(key string, s laburnumlever.Service) {
	c.checkName(key+".name", "service", string(s.Name))
	c.references(key, s.Owner, s.Class)
	c.limits(key+".limits", s.Limits)
	for i, call := range s.NonIdempotent {
		at := fmt.Sprintf("%s.non-idempotent[%d]", key, i)
		if !slices.Contains(methods, call.Method) {
			c.add(at+".method", fmt.Sprintf("%q is not a method", call.Method), "one of "+strings.Join(methods, ", "))
		}
		if !strings.HasPrefix(call.PathPrefix, "/") {
			c.add(at+".path-prefix", fmt.Sprintf("%q does not start with a slash", call.PathPrefix), `a path such as "/bookings"`)
		}
	}
}

func (c *catalogueCheck) ownerNames() []string {
	names := make([]string, len(c.catalogue.Owners))
	for i, owner := range c.catalogue.Owners {
		names[i] = string(owner.Name)
	}
	return names
}

func (c *catalogueCheck) classNames() []string {
	names := make([]string, len(c.catalogue.Classes))
	for i, class := range c.catalogue.Classes {
		names[i] = string(class.Name)
	}
	return names
}

// oneOf lists the valid names, or returns none if there are no names.
func oneOf(names []string, none string) string {
	if len(names) == 0 {
		return none
	}
	return "one of " + strings.Join(names, ", ")
}
