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
type bucket struct {
	rate, capacity float64
	unlimited      bool
	// level is negative after a request larger than the capacity.
	level float64
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
	// Refused counts refused needs.
	Refused uint64
}

// Usage returns the use of the keeper's shares, the largest first.
func (k *Keeper) Usage(now time.Duration) []Usage {
	var list []Usage
	for name, b := range k.buckets {
		if b.rate > 0 && !b.unlimited {
			b.refill(now)
			list = append(list, Usage{Account: name, Rate: b.rate, Used: b.used * math.Ln2 / costHalfLife.Seconds(), Refused: b.refused})
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
			b = &bucket{at: now}
		}
		b.refill(now)
		part := share(a)
		b.unlimited, b.rate, b.capacity = !a.Quota.Limited(), part*k.terms.rate(a.Quota), part*k.terms.capacity(a.Quota)
		b.level = min(b.level, b.capacity)
		k.buckets[a.Name] = b
	}
}

// Answer answers the asks of a gateway.
func (k *Keeper) Answer(asks []Ask, now time.Duration) []Grant {
	grants := make([]Grant, 0, len(asks))
	for _, a := range asks {
		b := k.buckets[a.Account]
		switch {
		case b == nil, !b.unlimited && b.rate <= 0:
			grants = append(grants, Grant{Account: a.Account, Elsewhere: true})
		case b.unlimited:
			grants = append(grants, Grant{Account: a.Account, Tokens: a.Need + a.Want})
		default:
			grants = append(grants, b.answer(a, now))
		}
	}
	return grants
}

func (b *bucket) answer(a Ask, now time.Duration) Grant {
	b.refill(now)
	if fits := min(a.Need, b.capacity); a.Need > 0 && b.level < fits {
		in := time.Duration((fits - b.level + b.waiting) / b.rate * float64(time.Second))
		b.waiting += a.Need
		b.refused++
		b.refusedLately++
		return Grant{
			Account: a.Account, RetryIn: laburnumlever.Duration(min(maxRetryIn, max(minRetryIn, in))),
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
	in := max(minAskIn, time.Duration(amount/b.rate*float64(time.Second)))
	crowd := b.refusedLately * math.Ln2 / costHalfLife.Seconds() / refusedAsks
	return min(maxAskIn, time.Duration(max(1, crowd)*float64(in)))
}

func (b *bucket) refill(now time.Duration) {
	passed := max(0, now-b.at).Seconds()
	added := b.rate * passed
	decay := math.Exp2(-passed / costHalfLife.Seconds())
	b.used, b.refusedLately = b.used*decay, b.refusedLately*decay
	b.level = min(b.capacity, b.level+added)
	b.waiting = max(0, b.waiting-added)
	b.at = now
}
