package laburnumquota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"laburnumlever"
)

const (
	// wantShare is the part of the tokens left that one gateway gets ahead of its need.
	wantShare = 0.25
	// reserveShare is the part of the reserves left that one gateway gets at once.
	reserveShare = 0.25
	// calmShare is the part of a quota's rate up to which an account gets reserves: beyond, their tokens are needed now.
	calmShare = 0.75
	// minRetryIn and maxRetryIn bound the time until a refused need is said to fit.
	minRetryIn = 50 * time.Millisecond
	// minAskIn is the shortest time until a gateway should ask again. It grows with the asks that are refused in a
	// second, from refusedAsks on, so that many gateways before a hot account don't take the keeper's time.
	minAskIn    = 20 * time.Millisecond
	refusedAsks = 200
	maxRetryIn  = 30 * time.Second
)

// Keeper grants a control VM's shares of the quotas of client accounts. It is not safe for concurrent use.
type Keeper struct {
	terms   Terms
	buckets map[laburnumlever.AccountName]*bucket
}

// bucket holds the tokens of a share of one account's quota.
//
// What may be spent in a window is at most the level and the reserves at its start and what is added in it. So level and
// reserves together stay within the capacity, however unevenly they are spent.
type bucket struct {
	share
	quota     laburnumlever.Quota
	unlimited bool
	// slow is set while the share's slow rate and larger capacity apply, and withinSince is since when level and
	// reserves have been within the smaller one.
	slow        bool
	withinSince time.Duration
	// bound limits level and reserves until boundUntil: others may still hold reserves of the rest.
	bound      float64
	boundUntil time.Duration
	// allowance is what all keepers together may grant in a window.
	allowance float64
	// level is negative after a request larger than the capacity.
	level    float64
	reserves reserves
	// waiting is what callers were told to come back for and have not yet had the time to.
	waiting float64
	at      time.Duration
	// used is what was granted lately and refusedLately how many needs were refused, decayed as of at; refused counts
	// the latter.
	used, refusedLately float64
	refused             uint64
}

// Usage is the use of a share of one account's quota.
type Usage struct {
	Account laburnumlever.AccountName
	// Rate is the share and Used what was granted of it lately, both per second.
	Rate, Used float64
	// Reserved is what gateways hold as reserves.
	Reserved float64
	// Refused counts refused needs.
	Refused uint64
}

// Usage returns the use of the keeper's shares, the largest first.
func (k *Keeper) Usage(now time.Duration) []Usage {
	var list []Usage
	for name, b := range k.buckets {
		if b.rate > 0 && !b.unlimited {
			b.refill(now, k.terms.span())
			list = append(list, Usage{Account: name, Rate: b.rate, Used: b.used * math.Ln2 / costHalfLife.Seconds(), Reserved: b.reserves.total, Refused: b.refused})
		}
	}
	slices.SortFunc(list, func(a, b Usage) int {
		return cmp.Or(-cmp.Compare(a.Used/a.Rate, b.Used/b.Rate), cmp.Compare(a.Account, b.Account))
	})
	return list
}

// NewKeeper returns a keeper without accounts.
func NewKeeper(terms Terms) *Keeper {
	return &Keeper{terms: terms, buckets: map[laburnumlever.AccountName]*bucket{}}
}

// SetShares sets the accounts and the shares of their quotas that this keeper owns, from 0 to 1. A share that is new to it
// starts without tokens, as the VM may have granted them before it was restarted.
func (k *Keeper) SetShares(accounts []laburnumlever.Account, share func(laburnumlever.Account) float64, now time.Duration) {
	old := k.buckets
	k.buckets = make(map[laburnumlever.AccountName]*bucket, len(accounts))
	for _, a := range accounts {
		b := old[a.Name]
		if b == nil {
			b = &bucket{at: now, quota: a.Quota, slow: true, withinSince: now, reserves: reserves{time: k.terms.keeperReserveTime()}}
		}
		b.refill(now, k.terms.span())
		b.unlimited, b.allowance = !a.Quota.Limited(), k.terms.allowance(a.Quota)+k.terms.Slack
		b.setShare(k.terms.share(a.Quota, share(a)), a.Quota, now)
		k.buckets[a.Name] = b
	}
}

// setShare sets the share. One that grows has the larger capacity once nobody else can hold reserves of it.
func (b *bucket) setShare(s share, quota laburnumlever.Quota, now time.Duration) {
	if s.largerCapacity > b.largerCapacity {
		b.bound = max(s.needs, min(b.limit(now), b.largerCapacity))
		b.boundUntil = now + b.reserves.time
	}
	if quota != b.quota {
		b.reserves.close()
	}
	b.share, b.quota = s, quota
	b.level = min(b.level, b.limit(now)-b.reserves.total)
}

// limit returns what level and reserves may be together.
func (b *bucket) limit(now time.Duration) float64 {
	limit := b.capacity
	if b.slow {
		limit = b.largerCapacity
	}
	if now < b.boundUntil {
		limit = min(limit, b.bound)
	}
	return limit
}

// Answer answers the asks of a gateway.
func (k *Keeper) Answer(asks []Ask, now time.Duration) []Grant {
	grants := make([]Grant, 0, len(asks))
	for _, a := range asks {
		a = a.checked()
		b := k.buckets[a.Account]
		switch {
		case b == nil, !b.unlimited && b.rate <= 0:
			grants = append(grants, Grant{Account: a.Account, Elsewhere: true})
		case b.unlimited:
			grants = append(grants, Grant{Account: a.Account, Tokens: a.Need + a.Want})
		default:
			b.refill(now, k.terms.span())
			grants = append(grants, b.answerAll(a, now))
		}
	}
	return grants
}

// answerAll answers what an ask says about needs and reserves.
func (b *bucket) answerAll(a Ask, now time.Duration) Grant {
	var extended []uint64
	for _, h := range a.Held {
		returned, ok := b.reserves.update(h, b.calm(), now)
		b.level += returned
		if ok {
			extended = append(extended, h.ID)
		}
	}
	g := b.answer(a, now)
	g.Extended, g.Reserve = extended, b.reserve(a.Reserve, min(a.Reserve, a.Need), now)
	return g
}

// calm reports whether an account leaves enough of its quota unused for reserves.
func (b *bucket) calm() bool {
	return b.used*math.Ln2/costHalfLife.Seconds() <= calmShare*b.slowRate
}

// reserve grants a reserve of what others leave, at least some; nil for none.
func (b *bucket) reserve(tokens, least float64, now time.Duration) *Reserve {
	if tokens <= 0 || b.level < b.needs || !b.calm() {
		return nil
	}
	if !b.slow {
		b.slow, b.withinSince = true, now
	}
	left := min(b.level-b.needs, b.largerCapacity-b.needs-b.reserves.total)
	tokens = min(tokens, left, max(least, reserveShare*left))
	if tokens <= 0 || tokens < least {
		return nil
	}
	b.level -= tokens
	return &Reserve{ID: b.reserves.grant(tokens, now), Tokens: tokens, Quota: b.quota}
}

func (b *bucket) answer(a Ask, now time.Duration) Grant {
	if a.Need > b.allowance {
		// It never fits. Others are not asked to wait for it: AskIn is 0, and it is not in waiting.
		b.refused++
		return Grant{Account: a.Account, RetryIn: laburnumlever.Duration(maxRetryIn)}
	}
	if fits := min(a.Need, max(b.needs, b.limit(now)-b.reserves.total)); a.Need > 0 && b.level < fits {
		in := b.timeFor(fits - b.level + b.waiting)
		b.waiting += a.Need
		b.refused++
		b.refusedLately++
		return Grant{
			Account: a.Account, RetryIn: laburnumlever.Duration(max(minRetryIn, in)),
			AskIn: laburnumlever.Duration(b.askIn(fits - b.level)),
		}
	}
	tokens := a.Need + max(0, min(a.Want, wantShare*(b.level-a.Need)))
	b.level -= tokens
	b.used += tokens
	return Grant{Account: a.Account, Tokens: tokens}
}

// askIn returns the time until an amount has been added, or longer if many asks are refused.
func (b *bucket) askIn(amount float64) time.Duration {
	in := max(minAskIn, b.timeFor(amount))
	crowd := b.refusedLately * math.Ln2 / costHalfLife.Seconds() / refusedAsks
	return min(maxAskIn, time.Duration(max(1, crowd)*float64(in)))
}

// timeFor returns the time until an amount has been added, at most maxRetryIn: a large enough one has no time.Duration.
func (b *bucket) timeFor(amount float64) time.Duration {
	return time.Duration(min(maxRetryIn.Seconds(), amount/b.perSecond()) * float64(time.Second))
}

// refill adds what came since it was last called. The slow rate ends when level and reserves have been within the smaller
// capacity for a span.
func (b *bucket) refill(now, span time.Duration) {
	passed := max(0, now-b.at).Seconds()
	added := b.perSecond() * passed
	decay := math.Exp2(-passed / costHalfLife.Seconds())
	b.used, b.refusedLately = b.used*decay, b.refusedLately*decay
	b.level = min(b.level+added, b.limit(now)-b.reserves.total)
	if b.level+b.reserves.total > b.capacity {
		b.withinSince = now
	}
	if b.slow && now-b.withinSince >= span {
		b.slow = false
	}
	b.reserves.expire(now)
	b.waiting = max(0, b.waiting-added)
	b.at = now
}

// perSecond returns the rate at which tokens are added.
func (b *bucket) perSecond() float64 {
	if b.slow {
		return b.slowRate
	}
	return b.rate
}
