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
	// learnFactor is how much faster than its usual the requests of an account that surges grow it: a surge is not usual after some
	// seconds, but a demand that stays is after some minutes.
	learnFactor = 1.1
	// minUsualPart is the least part of a surging account's requests that counts as its usual.
	minUsualPart = 0.125
	// knownAfter is how long an account must have been seen, without a pause as long, for its usual to be known.
	knownAfter = 60 * time.Second
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
	// since is when the account was first seen, or seen again after a pause.
	since time.Time
	// within is the part of a request that the usual of a surging account has room for.
	within float64
}

func decay(d, halfLife time.Duration) float64 { return math.Exp2(-d.Seconds() / halfLife.Seconds()) }

func (s share) asOf(now time.Time) share {
	d := now.Sub(s.at)
	s.recent, s.usual, s.at = s.recent*decay(d, recentHalfLife), s.usual*decay(d, usualHalfLife), now
	if d > knownAfter {
		s.since, s.within = now, 0
	}
	return s
}

// known reports whether the usual rate has been measured for long enough.
func (s share) known() bool { return s.at.Sub(s.since) >= knownAfter }

// usualPart returns the usual rate as a part of the recent one, at most 1.
func (s share) usualPart() float64 {
	recent, usual := s.recent/recentHalfLife.Seconds(), s.usual/usualHalfLife.Seconds()
	return min(1, max(minUsualPart, usual/max(recent, math.SmallestNonzeroFloat64)))
}

// surges reports whether the recent rate is a multiple of the usual one. Both sums are rates times their half-lives.
func (s share) surges() bool {
	return s.recent/recentHalfLife.Seconds() > surgeFactor*s.usual/usualHalfLife.Seconds()
}

func (r *Request) shareKey() shareKey { return shareKey{service: r.Query.Service, account: r.Account} }

// add records a request, and marks it if its account asks for more than its usual while it surges.
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
	all := s.asked[shareKey{service: r.Query.Service}].asOf(now)
	all.recent, all.usual = all.recent+r.Cost, all.usual+r.Cost
	s.asked[shareKey{service: r.Query.Service}] = all
	account := s.asked[r.shareKey()].asOf(now)
	account.recent += r.Cost
	learned := 1.0
	if account.surges() && account.recent > surgePart*all.recent {
		part := account.usualPart()
		r.beyondUsual = !account.takesUsual(part)
		if account.known() {
			learned = min(1, learnFactor*part)
		}
	}
	if _, told := s.told[r.shareKey()]; told && !r.beyondUsual {
		r.beyondUsual = !account.takesUsual(1.0 / surgeFactor)
	}
	account.usual += learned * r.Cost
	s.asked[r.shareKey()] = account
}

// takesUsual reports whether a request is one of the part that is usual.
func (s *share) takesUsual(part float64) bool {
	s.within += part
	if s.within < 1 {
		return false
	}
	s.within--
	return true
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

// order returns requests, which are in the order of priority and arrival, with what surging accounts ask for beyond their usual last
// in each priority.
func order(requests []*Request) []*Request {
	if !slices.ContainsFunc(requests, func(r *Request) bool { return r.beyondUsual }) {
		return requests
	}
	last := func(r *Request) int {
		if r.beyondUsual {
			return 1
		}
		return 0
	}
	ordered := slices.Clone(requests)
	slices.SortStableFunc(ordered, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(last(a), last(b)))
	})
	return ordered
}
