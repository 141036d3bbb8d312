package laburnummembership

import (
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

const (
	// demandPeriod is how often demand is sent to the zone owners.
	demandPeriod = time.Second
	// demandStep lengthens demandPeriod for each known VM: 39 s with 780 VMs, where demand
	// changes tenfold within an hour.
	demandStep = 50 * time.Millisecond
	// demandSmallFleet is the number of VMs up to which every zone owner gets every VM's
	// demand.
	demandSmallFleet = 50
	// demandMaxPeriods is the number of periods without a report after which a VM's demand no
	// longer counts.
	demandMaxPeriods = 15
)

// demandTable holds the demand of each VM.
type demandTable struct {
	self   laburnumlever.VMID
	own    []laburnumlever.ModelDemand
	others map[laburnumlever.VMID]vmDemand
	sentAt time.Time
	dirty  bool
}

type vmDemand struct {
	rows []laburnumlever.ModelDemand
	at   time.Time
}

func newDemandTable(self laburnumlever.VMID) *demandTable {
	return &demandTable{self: self, others: map[laburnumlever.VMID]vmDemand{}}
}

func (t *demandTable) setOwn(rows []laburnumlever.ModelDemand) {
	t.own = rows
	t.dirty = true
}

// merge stores another VM's demand, unless it is older than a known one that has not expired.
func (t *demandTable) merge(n demandReport, now time.Time) {
	known := t.others[n.From]
	if len(n.Rows) > 0 && len(known.rows) > 0 && n.Rows[0].Sequence < known.rows[0].Sequence && now.Sub(known.at) < t.maxAge() {
		return
	}
	t.others[n.From] = vmDemand{rows: n.Rows, at: now}
}

// maxAge is a multiple of the sending period, estimated from the number of VMs that send demand
// here.
func (t *demandTable) maxAge() time.Duration {
	return demandMaxPeriods * max(demandPeriod, time.Duration(len(t.others))*demandStep)
}

func (t *demandTable) list(now time.Time) []laburnumlever.ModelDemand {
	out := slices.Clone(t.own)
	for id, d := range t.others {
		if now.Sub(d.at) > t.maxAge() {
			delete(t.others, id)
			continue
		}
		out = append(out, d.rows...)
	}
	slices.SortFunc(out, func(a, b laburnumlever.ModelDemand) int {
		if by := strings.Compare(string(a.Model), string(b.Model)); by != 0 {
			return by
		}
		return strings.Compare(string(a.VM), string(b.VM))
	})
	return out
}

func (c *core) mergeDemand(n demandReport, now time.Time) {
	c.demand.merge(n, now)
	c.loadsChanged = true
}

// sendDemand sends this VM's demand to the zone owners: to all of them in a small fleet,
// otherwise to the owner of this zone, where most requests stay. The period grows with the
// fleet; otherwise an owner would receive hundreds of reports of hundreds of models each
// second.
func (c *core) sendDemand(now time.Time) {
	period := max(demandPeriod, time.Duration(len(c.vms.records))*demandStep)
	if !c.demand.dirty || now.Sub(c.demand.sentAt) < period {
		return
	}
	c.demand.sentAt = now
	c.demand.dirty = false
	message := demandReport{From: c.self.ID, Rows: c.demand.own}
	for _, r := range c.zoneOwners() {
		c.outbox = append(c.outbox, send{Address: r.vm.PeerAddress, Method: methodDemand, Params: message})
	}
}

func (c *core) zoneOwners() []*vmRecord {
	all := c.vms.sorted(func(r *vmRecord) bool { return isLiving(r.vm.State) && r.vm.OwnsZone })
	if len(c.vms.records) <= demandSmallFleet {
		return all
	}
	near := slices.DeleteFunc(slices.Clone(all), func(r *vmRecord) bool { return r.vm.Zone != c.self.Zone })
	if len(near) == 0 && !c.self.OwnsZone {
		return all
	}
	return near
}
