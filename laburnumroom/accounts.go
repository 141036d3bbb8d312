package laburnumroom

import (
	"maps"
	"math"
	"slices"
	"time"

	"laburnumlever"
)

const (
	// recentHalfLife and usualHalfLife are the half-lives of what an account asked for recently and usually.
	recentHalfLife, usualHalfLife = 2 * time.Second, 30 * time.Second
	// surgeFactor is how many times its usual an account that surges asks for: less than for the requests of a single gateway, which
	// vary more by chance. surgePart is the least part of all that is asked for.
	surgeFactor, surgePart = 2, 0.25
	// settleTime is how long a keeper must have had reports before it knows what is usual.
	settleTime = 6 * time.Second
	// maxKept bounds the accounts of a service that are kept.
	maxKept = 1024
)

// accounts is what client accounts ask for of one service over all gateways.
type accounts struct {
	since time.Time
	all   usage
	each  map[laburnumlever.AccountName]usage
	// reported are the costs that gateways have reported and that are not in the sums yet.
	reported map[laburnumlever.AccountName]float64
}

// usage is a decaying sum of costs with each half-life, as of a time.
type usage struct {
	recent, usual float64
	at            time.Time
}

func decay(d, halfLife time.Duration) float64 { return math.Exp2(-d.Seconds() / halfLife.Seconds()) }

func (u usage) asOf(now time.Time) usage {
	d := max(0, now.Sub(u.at))
	return usage{recent: u.recent * decay(d, recentHalfLife), usual: u.usual * decay(d, usualHalfLife), at: now}
}

func (u usage) plus(cost float64, now time.Time) usage {
	u = u.asOf(now)
	u.recent, u.usual = u.recent+cost, u.usual+cost
	return u
}

func newAccounts(now time.Time) *accounts {
	return &accounts{since: now, each: map[laburnumlever.AccountName]usage{}, reported: map[laburnumlever.AccountName]float64{}}
}

// add adds the costs that a gateway reports. They count from the next call of surging: to decay all sums at each report would take
// most of a keeper's time.
func (a *accounts) add(costs []laburnumlever.AccountCost) {
	for _, c := range costs[:min(maxAccounts, len(costs))] {
		if _, known := a.reported[c.Account]; known || len(a.reported) < maxKept {
			a.reported[c.Account] += max(0, c.Cost)
		}
	}
}

func (a *accounts) addReported(now time.Time) {
	if len(a.each) >= maxKept {
		maps.DeleteFunc(a.each, func(_ laburnumlever.AccountName, u usage) bool { return now.Sub(u.at) > usualHalfLife })
	}
	sum := 0.0
	for name, cost := range a.reported {
		sum += cost
		if _, known := a.each[name]; known || len(a.each) < maxKept {
			a.each[name] = a.each[name].plus(cost, now)
		}
	}
	a.all = a.all.plus(sum, now)
	clear(a.reported)
}

// surging returns the accounts whose recent rate is a multiple of their usual one, and a large part of the whole. A sum counts in
// proportion to what an even rate since the first report would have come to: while reports are young, the sums with the longer
// half-life have not filled up.
func (a *accounts) surging(now time.Time) []laburnumlever.AccountName {
	a.addReported(now)
	age := now.Sub(a.since)
	if age < settleTime {
		return nil
	}
	weight := surgeFactor * filled(age, recentHalfLife) / filled(age, usualHalfLife)
	least := surgePart * a.all.asOf(now).recent
	var names []laburnumlever.AccountName
	for name, u := range a.each {
		if u = u.asOf(now); u.recent > weight*u.usual && u.recent > least {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// filled returns the sum of an even rate of one a second over an age.
func filled(age, halfLife time.Duration) float64 {
	return halfLife.Seconds() / math.Ln2 * (1 - decay(age, halfLife))
}
