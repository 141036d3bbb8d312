package laburnumquota

import (
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
)

// Wallet holds a gateway's tokens. It is not safe for concurrent use.
type Wallet struct {
	terms  Terms
	purses map[laburnumlever.AccountName]*purse
}

// purse holds the tokens of one account.
type purse struct {
	grants []timedTokens
	// spent and requests are what was spent and on how many requests, decayed as of at.
	spent, requests float64
	at              time.Duration
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
	asks := []Ask{{Account: account, Need: need, Want: w.purse(account).wanted(w.terms.GrantTime(), now)}}
	for name, p := range w.purses {
		if want := p.wanted(w.terms.GrantTime(), now); name != account && want > 0 && now >= p.emptyUntil {
			asks = append(asks, Ask{Account: name, Want: want})
		}
	}
	return asks
}

// Apply adds granted tokens. Asked is when the ask was sent: the tokens expire relative to it.
func (w *Wallet) Apply(grants []Grant, asked time.Duration) {
	for _, g := range grants {
		if g.Tokens > 0 {
			p := w.purse(g.Account)
			p.add(timedTokens{tokens: g.Tokens, until: asked + w.terms.GrantTime()})
			p.emptyUntil = 0
		}
	}
}

// UsedUp records that the keepers refused a need, when it will fit and when to ask again.
func (w *Wallet) UsedUp(account laburnumlever.AccountName, fitsIn, askIn, now time.Duration) {
	p := w.purse(account)
	p.fitsAt, p.emptyUntil = now+fitsIn, now+min(askIn, maxAskIn)
}

// Keep drops the accounts that are not listed.
func (w *Wallet) Keep(accounts []laburnumlever.Account) {
	for name := range w.purses {
		if !slices.ContainsFunc(accounts, func(a laburnumlever.Account) bool { return a.Name == name }) {
			delete(w.purses, name)
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
