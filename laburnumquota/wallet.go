package laburnumquota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"laburnumlever"
)

const (
	// costHalfLife is the time in which what was spent counts half in the rate that is expected.
	costHalfLife = 2 * time.Second
	// minExpected is the number of requests that must be expected within the grant time for tokens to be taken
	// ahead of the need.
	minExpected = 0.8
	// maxAskIn is the longest time for which an account is taken to be used up without asking again.
	maxAskIn = time.Second
	// reserveMeans is the least reserve of an account with requests, in requests of the mean cost.
	reserveMeans = 1.5
	// reserveFactor times what is expected to be spent in the reserve time is kept as a reserve: demand varies.
	reserveFactor = 2
)

// Wallet holds a gateway's tokens. It is not safe for concurrent use.
type Wallet struct {
	terms  Terms
	purses map[laburnumlever.AccountName]*purse
	quotas map[laburnumlever.AccountName]laburnumlever.Quota
}

// purse holds the tokens of one account.
type purse struct {
	grants []timedTokens
	// spent and requests are what was spent and on how many requests, decayed as of at.
	spent, requests float64
	at              time.Duration
	reserves        purseReserves
	// emptyUntil is until when the account is taken to be used up, fitsAt when a request will fit.
	emptyUntil, fitsAt time.Duration
}

type timedTokens struct {
	tokens float64
	until  time.Duration
}

// Receipt is what was spent on a request.
type Receipt struct {
	Account laburnumlever.AccountName
	Tokens  float64
	until   time.Duration
}

// NewWallet returns an empty wallet.
func NewWallet(terms Terms) *Wallet {
	return &Wallet{terms: terms, purses: map[laburnumlever.AccountName]*purse{}}
}

func (w *Wallet) purse(account laburnumlever.AccountName) *purse {
	p := w.purses[account]
	if p == nil {
		p = &purse{}
		w.purses[account] = p
	}
	return p
}

// Spend spends tokens on a request, if there are enough.
func (w *Wallet) Spend(account laburnumlever.AccountName, cost float64, now time.Duration) (Receipt, bool) {
	p := w.purse(account)
	p.dropExpired(now)
	if p.left() < cost {
		return Receipt{}, false
	}
	receipt := Receipt{Account: account, Tokens: cost, until: now}
	for rest := cost; rest > 0 && len(p.grants) > 0; {
		first := &p.grants[0]
		used := min(rest, first.tokens)
		rest -= used
		first.tokens -= used
		receipt.until = first.until
		if first.tokens <= 0 {
			p.grants = p.grants[1:]
		}
	}
	p.count(cost, now)
	return receipt, true
}

// SpendReserve spends tokens of the reserves on a request that no keeper grants tokens for, if there are enough. They are
// not refunded.
func (w *Wallet) SpendReserve(account laburnumlever.AccountName, cost float64, now time.Duration) bool {
	p := w.purse(account)
	if p.reserves.left(now) < cost {
		return false
	}
	p.reserves.spend(cost)
	p.count(cost, now)
	return true
}

// HasReserve reports whether SpendReserve would succeed.
func (w *Wallet) HasReserve(account laburnumlever.AccountName, cost float64, now time.Duration) bool {
	return w.purse(account).reserves.left(now) >= cost
}

// Refund returns the tokens of a request that certainly did not run.
func (w *Wallet) Refund(r Receipt, now time.Duration) {
	if r.Tokens > 0 && now < r.until {
		w.purse(r.Account).add(timedTokens{tokens: r.Tokens, until: r.until})
	}
}

// RetryIn returns the time until a request of the account will fit; 0 if that is unknown and a keeper should be asked.
func (w *Wallet) RetryIn(account laburnumlever.AccountName, now time.Duration) time.Duration {
	p := w.purse(account)
	if now >= p.emptyUntil {
		return 0
	}
	return max(minRetryIn, p.fitsAt-now)
}

// Asks returns what to ask a keeper for: the need of an account, and what other accounts are expected to spend.
func (w *Wallet) Asks(account laburnumlever.AccountName, need float64, now time.Duration) []Ask {
	asks := []Ask{w.ask(account, need, now)}
	for name, p := range w.purses {
		if name == account || now < p.emptyUntil {
			continue
		}
		if a := w.ask(name, 0, now); a.Want > 0 {
			asks = append(asks, a)
		}
	}
	return asks
}

func (w *Wallet) ask(account laburnumlever.AccountName, need float64, now time.Duration) Ask {
	p := w.purse(account)
	a := Ask{Account: account, Need: need, Want: p.wanted(w.terms.GrantTime(), now)}
	if need > 0 || a.Want > 0 {
		a.Reserve, a.Held = p.reserves.ask(p.reserveTarget(need, w.terms.ReserveTime(), now), w.terms.ReserveTime(), now)
	}
	return a
}

// Apply adds granted tokens. Asked is when the ask was sent, unless a grant has a time of its own: the tokens expire relative to it.
func (w *Wallet) Apply(grants []Grant, asked time.Duration) {
	for _, g := range grants {
		p, sent := w.purse(g.Account), cmp.Or(g.Asked, asked)
		p.reserves.apply(g, w.quotas[g.Account], sent+w.terms.ReserveTime())
		if tokens := amount(g.Tokens); tokens > 0 {
			p.add(timedTokens{tokens: tokens, until: sent + w.terms.GrantTime()})
			p.emptyUntil = 0
		}
	}
}

// UsedUp records that the keepers refused a need, when it will fit and when to ask again.
func (w *Wallet) UsedUp(account laburnumlever.AccountName, fitsIn, askIn, now time.Duration) {
	p := w.purse(account)
	p.fitsAt, p.emptyUntil = now+fitsIn, now+min(askIn, maxAskIn)
}

// Keep drops the accounts that are not listed, and the reserves of those whose quota has changed.
func (w *Wallet) Keep(accounts []laburnumlever.Account) {
	old := w.quotas
	w.quotas = make(map[laburnumlever.AccountName]laburnumlever.Quota, len(accounts))
	for _, a := range accounts {
		w.quotas[a.Name] = a.Quota
	}
	for name, p := range w.purses {
		quota, known := w.quotas[name]
		switch {
		case !known:
			delete(w.purses, name)
		case quota != old[name]:
			p.reserves.dropAll()
		}
	}
}

func (p *purse) dropExpired(now time.Duration) {
	p.grants = slices.DeleteFunc(p.grants, func(t timedTokens) bool { return t.until <= now })
}

func (p *purse) left() float64 {
	total := 0.0
	for _, t := range p.grants {
		total += t.tokens
	}
	return total
}

// add inserts tokens in the order in which they expire.
func (p *purse) add(t timedTokens) {
	at, _ := slices.BinarySearchFunc(p.grants, t, func(a, b timedTokens) int { return int(a.until - b.until) })
	p.grants = slices.Insert(p.grants, at, t)
}

func (p *purse) count(cost float64, now time.Duration) {
	p.decay(now)
	p.spent += cost
	p.requests++
}

func (p *purse) decay(now time.Duration) {
	factor := math.Exp2(-(now - p.at).Seconds() / costHalfLife.Seconds())
	p.spent, p.requests, p.at = p.spent*factor, p.requests*factor, now
}

// wanted returns what is expected to be spent within a time beyond the tokens that are left.
func (p *purse) wanted(within time.Duration, now time.Duration) float64 {
	p.decay(now)
	p.dropExpired(now)
	perSecond := math.Ln2 / costHalfLife.Seconds()
	requests := p.requests * perSecond * within.Seconds()
	if requests < minExpected {
		return 0
	}
	return max(0, p.spent*perSecond*within.Seconds()-p.left())
}

// reserveTarget returns the reserves that an account should have: for what it is expected to spend in a time, and for a
// request at least.
func (p *purse) reserveTarget(need float64, within, now time.Duration) float64 {
	p.decay(now)
	perSecond := math.Ln2 / costHalfLife.Seconds()
	return max(need, reserveMeans*p.mean(), reserveFactor*p.spent*perSecond*within.Seconds())
}

// mean returns the mean cost of a request.
func (p *purse) mean() float64 {
	if p.requests <= 0 {
		return 0
	}
	return p.spent / p.requests
}
