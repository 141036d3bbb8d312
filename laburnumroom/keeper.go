package laburnumroom

import (
	"maps"
	"math"
	"slices"
	"time"

	"laburnumlever"
)

const (
	// reportTime is how long a gateway's last report counts: two periods of reports that ride on polls, which are a second apart.
	reportTime = 2 * time.Second
	// decidePeriod is the least time between two decisions: as reports are not more frequent, more would act on the same news twice.
	decidePeriod = reportPeriod
	// renewPeriod is the longest time between two publications of a level that has an effect.
	renewPeriod = time.Second
	// toleratedShare is the share of requests up to which those without a slot in time are no shortage; at scarceShare the headroom rises
	// at its full rate.
	toleratedShare, scarceShare = 0.02, 0.2
	// The headroom rises fast, since urgent requests can wait for a fraction of a second only, and falls at half that rate.
	risePerSecond, fallPerSecond = 0.5, 0.25
	// levelStep is the step in which levels are published.
	levelStep = 1.0 / 32

	maxGateways = 4096
	maxServices = 64
	maxRanks    = 64
)

// Keeper decides the levels of all services while its VM holds the lease.
type Keeper struct {
	fence uint64
	// sequence is that of the last level. It goes on over leases, as a fencing number may be granted again to the same holder.
	sequence uint64
	gateways map[laburnumlever.VMID]gateway
	services map[laburnumlever.ServiceName]*service
	decided  time.Time
}

// gateway is the last report of a gateway.
type gateway struct {
	report laburnumlever.RoomReport
	at     time.Time
}

// service is the state of a service's levels.
type service struct {
	headroom map[int]float64
	accounts *accounts
	// level is the one published last, at the time.
	level Level
	at    time.Time
}

// Pressure is what the requests of a rank get over all gateways, per second: those that asked, those of which it is decided whether
// they got a slot in time, and those of them that did not.
type Pressure struct {
	Rank  int     `json:"rank"`
	Asked float64 `json:"asked"`
	Done  float64 `json:"done"`
	Short float64 `json:"short"`
}

// Decision is a level to publish.
type Decision struct {
	Level Level
	// Changed is set unless the level is only renewed. Pressures are what it was decided by, in order of rank.
	Changed   bool
	Pressures []Pressure
}

// NewKeeper returns a keeper that knows nothing.
func NewKeeper() *Keeper {
	k := &Keeper{}
	k.Begin(0)
	return k
}

// Begin starts anew under a lease with the fencing number.
func (k *Keeper) Begin(fence uint64) {
	k.fence, k.decided = fence, time.Time{}
	k.gateways, k.services = map[laburnumlever.VMID]gateway{}, map[laburnumlever.ServiceName]*service{}
}

// Report records a gateway's report. One that is not newer than the last one of the gateway is ignored.
func (k *Keeper) Report(vm laburnumlever.VMID, report laburnumlever.RoomReport, now time.Time) {
	last, known := k.gateways[vm]
	if !known && len(k.gateways) >= maxGateways || known && !newer(report, last.report) {
		return
	}
	k.gateways[vm] = gateway{report: report, at: now}
	for _, room := range report.Services {
		s := k.services[room.Service]
		if s == nil {
			if len(k.services) >= maxServices {
				continue
			}
			s = &service{headroom: map[int]float64{}, accounts: newAccounts(now)}
			k.services[room.Service] = s
		}
		s.accounts.add(room.Accounts)
	}
}

func newer(a, b laburnumlever.RoomReport) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Decide moves the levels by the reports that count, and returns those to publish: the changed ones and those to renew. It returns
// nothing within half a second of the last decision.
func (k *Keeper) Decide(now time.Time) []Decision {
	elapsed := now.Sub(k.decided)
	if elapsed < decidePeriod {
		return nil
	}
	if k.decided.IsZero() {
		elapsed = decidePeriod
	}
	k.decided = now
	k.dropSilent(now)
	var decisions []Decision
	for _, name := range slices.Sorted(maps.Keys(k.services)) {
		s := k.services[name]
		pressures := k.pressures(name)
		s.move(pressures, min(time.Second, elapsed))
		next := Level{Service: name, Ranks: s.ranks(), Surging: s.accounts.surging(now)}
		changed := !next.Same(s.level)
		if !changed && (next.IsZero() || now.Sub(s.at) < renewPeriod) {
			continue
		}
		k.sequence++
		next.Fence, next.Sequence, next.Lifetime = k.fence, k.sequence, laburnumlever.Duration(Lifetime)
		s.level, s.at = next, now
		decisions = append(decisions, Decision{Level: next, Changed: changed, Pressures: pressures})
	}
	return decisions
}

// dropSilent drops gateways whose last report counts no more.
func (k *Keeper) dropSilent(now time.Time) {
	maps.DeleteFunc(k.gateways, func(_ laburnumlever.VMID, g gateway) bool { return now.Sub(g.at) > reportTime })
}

// pressures returns what a service's ranks get, in order of rank, by the reports that count.
func (k *Keeper) pressures(name laburnumlever.ServiceName) []Pressure {
	byRank := map[int]Pressure{}
	for _, g := range k.gateways {
		span := max(reportPeriod, time.Duration(g.report.Span)).Seconds()
		for _, room := range g.report.Services {
			if room.Service == name {
				addRanks(byRank, room.Ranks, span)
			}
		}
	}
	pressures := make([]Pressure, 0, len(byRank))
	for _, rank := range slices.Sorted(maps.Keys(byRank)) {
		pressures = append(pressures, byRank[rank])
	}
	return pressures
}

func addRanks(byRank map[int]Pressure, ranks []laburnumlever.RankRoom, span float64) {
	for _, r := range ranks[:min(maxRanks, len(ranks))] {
		p, known := byRank[r.Rank]
		if !known && len(byRank) >= maxRanks {
			continue
		}
		short := float64(max(0, r.Late) + max(0, r.Refused))
		p.Rank = r.Rank
		p.Asked += float64(max(0, r.Asked)) / span
		p.Done += (float64(max(0, r.Served)) + short) / span
		p.Short += short / span
		byRank[r.Rank] = p
	}
}

// move raises the headroom of ranks while more urgent ones are short of slots, and lowers it otherwise.
func (s *service) move(pressures []Pressure, elapsed time.Duration) {
	rising := scarcities(pressures)
	for rank := range s.headroom {
		if _, rises := rising[rank]; !rises {
			s.lower(rank, fallPerSecond*elapsed.Seconds())
		}
	}
	for rank, share := range rising {
		rise := risePerSecond * elapsed.Seconds() * min(1, share/scarceShare)
		s.headroom[rank] = min(MaxHeadroom, s.headroom[rank]+rise)
	}
}

// scarcities returns, for each rank that must yield, the requests of more urgent ranks without a slot as a share of those from the rank
// on that have one: so much of what they hold would serve all. A few requests of a rare rank don't put off the bulk of all others.
func scarcities(pressures []Pressure) map[int]float64 {
	behind := 0.0
	for _, p := range pressures {
		behind += p.Done - p.Short
	}
	yielding := map[int]float64{}
	var done, short, worst float64
	for _, p := range pressures {
		if worst > toleratedShare && short > toleratedShare*behind && p.Asked > 0 {
			yielding[p.Rank] = short / max(short, behind)
		}
		done, short, behind = done+p.Done, short+p.Short, behind-(p.Done-p.Short)
		if done > 0 {
			worst = max(worst, short/done)
		}
	}
	return yielding
}

func (s *service) lower(rank int, by float64) {
	if s.headroom[rank] -= by; s.headroom[rank] <= 0 {
		delete(s.headroom, rank)
	}
}

// ranks returns the headroom by rank, in steps.
func (s *service) ranks() []RankLevel {
	var ranks []RankLevel
	for _, rank := range slices.Sorted(maps.Keys(s.headroom)) {
		if stepped := levelStep * math.Floor(s.headroom[rank]/levelStep); stepped > 0 {
			ranks = append(ranks, RankLevel{Rank: rank, Headroom: stepped})
		}
	}
	return ranks
}
