package laburnumslotqueue

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"laburnumlever"
)

const (
	// recentHalfLife and usualHalfLife are the half-lives of what an account asked for recently and usually.
	recentHalfLife, usualHalfLife = 2 * time.Second, 30 * time.Second
	// surgeFactor is how many times its usual an account that surges asks for, surgePart the least part of all that is
	// asked for: the requests of a small account come in bursts by chance.
	surgeFactor, surgePart = 3, 0.25
	// maxShares is the number of shares above which old ones are dropped.
	maxShares = 1024
)

// shares is what client accounts ask for of each service, and all of them together under no name.
type shares struct {
	asked map[shareKey]share
	// told are the accounts that surge over all gateways.
	told map[shareKey]struct{}
}

type shareKey struct {
	service laburnumlever.ServiceName
	account laburnumlever.AccountName
}

// share is a decaying sum of costs with each half-life, as of a time.
type share struct {
	recent, usual float64
	at            time.Time
}

func decay(d, halfLife time.Duration) float64 { return math.Exp2(-d.Seconds() / halfLife.Seconds()) }

func (s share) asOf(now time.Time) share {
	d := now.Sub(s.at)
	return share{recent: s.recent * decay(d, recentHalfLife), usual: s.usual * decay(d, usualHalfLife), at: now}
}

// surges reports whether the recent rate is a multiple of the usual one. Both sums are rates times their half-lives.
func (s share) surges() bool {
	return s.recent/recentHalfLife.Seconds() > surgeFactor*s.usual/usualHalfLife.Seconds()
}

func (r *Request) shareKey() shareKey { return shareKey{service: r.Query.Service, account: r.Account} }

// add records a request.
func (s *shares) add(r *Request, now time.Time) {
	if r.Account == "" {
		return
	}
	if s.asked == nil {
		s.asked = map[shareKey]share{}
	}
	if len(s.asked) >= maxShares {
		maps.DeleteFunc(s.asked, func(_ shareKey, old share) bool { return now.Sub(old.at) > usualHalfLife })
	}
	for _, key := range [...]shareKey{r.shareKey(), {service: r.Query.Service}} {
		a := s.asked[key].asOf(now)
		a.recent, a.usual = a.recent+r.Cost, a.usual+r.Cost
		s.asked[key] = a
	}
}

// setTold replaces the accounts that surge over all gateways at a service.
func (s *shares) setTold(service laburnumlever.ServiceName, accounts []laburnumlever.AccountName) {
	maps.DeleteFunc(s.told, func(key shareKey, _ struct{}) bool { return key.service == service })
	for _, account := range accounts {
		if s.told == nil {
			s.told = map[shareKey]struct{}{}
		}
		s.told[shareKey{service: service, account: account}] = struct{}{}
	}
}

// surges reports whether a request's account surges.
func (s *shares) surges(r *Request, now time.Time) bool {
	if r.Account == "" {
		return false
	}
	if _, told := s.told[r.shareKey()]; told {
		return true
	}
	account, all := s.asked[r.shareKey()].asOf(now), s.asked[shareKey{service: r.Query.Service}].asOf(now)
	return account.surges() && account.recent > surgePart*all.recent
}

// order returns requests, which are in the order of priority and arrival, with those of accounts that surge last in each
// priority.
func (s *shares) order(requests []*Request, now time.Time) []*Request {
	surging := map[shareKey]bool{}
	for _, r := range requests {
		if _, ok := surging[r.shareKey()]; !ok && s.surges(r, now) {
			surging[r.shareKey()] = true
		}
	}
	if len(surging) == 0 {
		return requests
	}
	last := func(r *Request) int {
		if surging[r.shareKey()] {
			return 1
		}
		return 0
	}
	order := slices.Clone(requests)
	slices.SortStableFunc(order, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(last(a), last(b)))
	})
	return order
}
