package laburnumquota

import (
	"time"

	"laburnumlever"
)

const (
	// Below freeShare of its allowance an account is granted whatever it needs. Beyond that it is granted no faster
	// than pacedShare of the allowance in a span, and paceBurst at once, so that a hot account is served evenly instead
	// of by turns.
	freeShare  = 0.55
	pacedShare = 0.96
	paceBurst  = 0.03
	// restartShare is the part of that pace in the first span of a share. What was granted of it before a restart is
	// not known, and need not have been granted evenly.
	restartShare = 0.85
	// wantShare is the part of what may be granted freely that one gateway gets ahead of its need.
	wantShare = 0.25
	// minRetryIn and maxRetryIn bound the time until a refused need is said to fit.
	minRetryIn = 50 * time.Millisecond
	maxRetryIn = 30 * time.Second
)

// Keeper grants a control VM's shares of the quotas of client accounts. It is not safe for concurrent use.
type Keeper struct {
	terms   Terms
	buckets map[laburnumlever.AccountName]*bucket
}

// bucket is a share of one account's quota.
type bucket struct {
	span time.Duration
	// allowance is what may be granted in a span.
	allowance float64
	unlimited bool
	granted   grantWindow
	// debt is what was granted ahead of the pace, waiting what callers were told to come back for and have not yet
	// had the time to.
	debt, waiting float64
	at            time.Duration
	// knownAt is when all that was granted in a span is known.
	knownAt time.Duration
}

// NewKeeper returns a keeper without accounts.
func NewKeeper(terms Terms) *Keeper {
	return &Keeper{terms: terms, buckets: map[laburnumlever.AccountName]*bucket{}}
}

// SetShares sets the accounts and the shares of their quotas that this keeper owns, from 0 to 1. A share that is new to it
// counts as used up, as the VM may have granted it before it was restarted.
func (k *Keeper) SetShares(accounts []laburnumlever.Account, share func(laburnumlever.Account) float64, now time.Duration) {
	old := k.buckets
	k.buckets = make(map[laburnumlever.AccountName]*bucket, len(accounts))
	for _, a := range accounts {
		allowance := share(a) * k.terms.allowance(a.Quota)
		b := old[a.Name]
		if b == nil {
			b = newBucket(k.terms.span(), allowance, now)
		}
		b.unlimited = !a.Quota.Limited()
		b.setAllowance(allowance, now)
		k.buckets[a.Name] = b
	}
}

// newBucket returns a bucket that counts as used evenly in the span before now.
func newBucket(span time.Duration, allowance float64, now time.Duration) *bucket {
	b := &bucket{span: span, allowance: allowance, granted: newGrantWindow(span, now), at: now, knownAt: now + span}
	for i := range b.granted.counts {
		b.granted.counts[i] = allowance / float64(len(b.granted.counts))
	}
	b.granted.sum = allowance
	return b
}

// setAllowance changes the allowance. What was granted under a higher one counts in proportion.
func (b *bucket) setAllowance(allowance float64, now time.Duration) {
	b.advance(now)
	switch {
	case b.allowance <= 0 && allowance > 0:
		*b = *newBucket(b.span, allowance, now)
	case allowance < b.allowance:
		b.granted.scale(allowance / b.allowance)
	}
	b.allowance = allowance
}

// Answer answers the asks of a gateway.
func (k *Keeper) Answer(asks []Ask, now time.Duration) []Grant {
	grants := make([]Grant, 0, len(asks))
	for _, a := range asks {
		b := k.buckets[a.Account]
		switch {
		case b == nil, !b.unlimited && b.allowance <= 0:
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
	b.advance(now)
	free := freeShare*b.allowance - b.granted.sum
	if a.Need > 0 && a.Need > free {
		if in := b.fitsIn(a.Need, now); in > 0 {
			b.waiting += a.Need
			return Grant{Account: a.Account, RetryIn: laburnumlever.Duration(in)}
		}
	}
	tokens := a.Need + max(0, min(a.Want, wantShare*(free-a.Need)))
	b.granted.add(tokens)
	if a.Need > free {
		b.debt += tokens
	}
	return Grant{Account: a.Account, Tokens: tokens}
}

// fitsIn returns the time until a need beyond the free share fits; 0 for now.
func (b *bucket) fitsIn(need float64, now time.Duration) time.Duration {
	excess := b.granted.sum + min(need, b.allowance) - b.allowance
	burst := paceBurst * b.allowance
	if excess <= 0 && b.debt <= burst {
		return 0
	}
	in := time.Duration((max(0, b.debt-burst) + b.waiting) / b.pace() * float64(time.Second))
	if excess > 0 {
		in = max(in, b.granted.freeIn(excess, now))
	}
	return min(maxRetryIn, max(minRetryIn, in))
}

// pace returns the tokens per second beyond the free share.
func (b *bucket) pace() float64 {
	pace := pacedShare * b.allowance / b.span.Seconds()
	if b.at < b.knownAt {
		return restartShare * pace
	}
	return pace
}

func (b *bucket) advance(now time.Duration) {
	passed := b.pace() * max(0, now-b.at).Seconds()
	b.debt, b.waiting, b.at = max(0, b.debt-passed), max(0, b.waiting-passed), now
	b.granted.advance(now)
}
