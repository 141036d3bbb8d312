package laburnumquota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumquota"
)

const (
	account = laburnumlever.AccountName("acme")
	zones   = 4
	// tick is the resolution of the model.
	tick = 5 * time.Millisecond
	// meanCost is what a request of the model costs on average, in tokens.
	meanCost = 1000
)

// terms are those of a platform that allows some overshoot.
var terms = laburnumquota.Terms{Window: 8 * time.Second, Overshoot: 0.1, Slack: 7400}

// longTime is the time for which the ways longTokens and uncharged let gateways go on without an answer.
const longTime = 1500 * time.Millisecond

// way is how gateways share a quota.
type way int

const (
	// sharedKeepers is the package's own: several keepers, each with a share.
	sharedKeepers way = iota
	// singleKeeper has one keeper; while it is down nobody else may grant.
	singleKeeper
	// dividedByGateways gives each gateway an equal part, without messages.
	dividedByGateways
	// withoutReserves has shared keepers, and gateways with tokens for the next moment only.
	withoutReserves
	// longTokens has shared keepers that grant tokens for longTime ahead of the need, all of which are charged. Keepers
	// grant less, as a window sees the grants of that time before it too.
	longTokens
	// uncharged lets gateways that get no answer go on as before, for as long as longTime.
	uncharged
)

// scenario is a fleet and the demand for one account's quota.
type scenario struct {
	name               string
	way                way
	gateways, controls int
	quota              laburnumlever.Quota
	// demand is the requests per second of all gateways in terms of the quota's rate, by time.
	demand func(now time.Duration) float64
	// zone is the only zone with demand by time; -1 for all.
	zone func(now time.Duration) int
	// faults are played if set: keepers are killed, gateways restart and freeze, zones are cut off.
	faults bool
	// silences are the times at which gateways get no answer.
	silences []silence
	// loweredAt is when the quota is lowered to a quarter; 0 for never. Every second gateway learns it learnedIn later.
	loweredAt, learnedIn time.Duration
	length               time.Duration
}

// silence is a time in which control VMs don't answer.
type silence struct {
	from, to time.Duration
	// kept is set if keepers keep their state, as behind a cut or in a freeze; otherwise they restart.
	kept bool
	// keepers are those that are silent; all if it is empty.
	keepers []int
	// half is set if every second gateway gets no answer and the others do.
	half bool
}

type use struct {
	at      time.Duration
	cost    float64
	gateway int
}

// fleet is a run of a scenario.
type fleet struct {
	scenario
	random  *rand.Rand
	keepers []*modelKeeper
	wallets []*laburnumquota.Wallet
	buckets []float64 // of gateways with an equal part
	frozen  []time.Duration
	// preferred is the keeper that last granted something to a gateway.
	preferred []int
	pasts     []past
	cut       [zones]time.Duration
	uses      []use
	// startRate is the rate of the quota that the demand refers to.
	startRate float64
	requests  int
	refused   int
	messages  int
	// requestsInSilence and refusedInSilence count those that came while control VMs didn't answer.
	requestsInSilence, refusedInSilence int
}

// past is what a gateway goes on with while it gets no answer.
type past struct {
	silentSince time.Duration
	rate, spent float64
}

type modelKeeper struct {
	keeper    *laburnumquota.Keeper
	downUntil time.Duration
}

func newFleet(s scenario, seed uint64) *fleet {
	f := &fleet{scenario: s, startRate: s.quota.Rate, random: rand.New(rand.NewPCG(seed, 1))} //nolint:gosec // a model
	if s.way == singleKeeper {
		f.controls = 1
	}
	for range f.controls {
		f.keepers = append(f.keepers, &modelKeeper{})
	}
	for i := range f.controls {
		f.startKeeper(i, 0)
	}
	for range s.gateways {
		f.wallets = append(f.wallets, f.newWallet())
		f.buckets = append(f.buckets, s.quota.Burst/float64(s.gateways))
		f.frozen, f.preferred = append(f.frozen, 0), append(f.preferred, -1)
		f.pasts = append(f.pasts, past{})
	}
	return f
}

// walletTerms are those of a grant time of longTime for longTokens.
func (f *fleet) walletTerms() laburnumquota.Terms {
	t := terms
	if f.way == longTokens {
		t.Overshoot *= float64(longTime) / float64(terms.GrantTime())
	}
	return t
}

// keeperTerms are those of a window that includes the time of tokens granted before it.
func (f *fleet) keeperTerms() laburnumquota.Terms {
	t := terms
	if f.way == longTokens {
		t.Window += longTime
	}
	return t
}

// keeperQuota is the quota of which such a window allows as much as f.quota.
func (f *fleet) keeperQuota() laburnumlever.Quota {
	q := f.quota
	if f.way == longTokens {
		part := (terms.Window + time.Second).Seconds() / (terms.Window + longTime + time.Second).Seconds()
		q.Rate, q.Burst = q.Rate*part, q.Burst*part
	}
	return q
}

func (f *fleet) newWallet() *laburnumquota.Wallet {
	w := laburnumquota.NewWallet(f.walletTerms())
	w.Keep(accountsWith(f.quota))
	return w
}

// accountsWith returns the model's account with a quota.
func accountsWith(q laburnumlever.Quota) []laburnumlever.Account {
	return []laburnumlever.Account{{Name: account, Quota: q}}
}

func wholeShare(laburnumlever.Account) float64 { return 1 }

func (f *fleet) startKeeper(i int, now time.Duration) {
	f.keepers[i].keeper = laburnumquota.NewKeeper(f.keeperTerms())
	f.setShares(i, now)
}

func (f *fleet) setShares(i int, now time.Duration) {
	f.keepers[i].keeper.SetShares(accountsWith(f.keeperQuota()), func(a laburnumlever.Account) float64 {
		if holders := terms.Holders(a.Quota, f.controls); i < holders {
			return 1 / float64(holders)
		}
		return 0
	}, now)
}

// run plays the scenario and leaves out the first seconds, in which new keepers grant less.
func (f *fleet) run() {
	const warmUp = 9 * time.Second
	nextFault := warmUp
	for now := tick; now < f.length; now += tick {
		if f.loweredAt > 0 && now >= f.loweredAt && now < f.loweredAt+tick {
			f.quota.Rate, f.quota.Burst = f.quota.Rate/4, f.quota.Burst/4
			for i := range f.keepers {
				f.setShares(i, now)
			}
		}
		f.learn(now)
		f.silence(now)
		if f.faults && now >= nextFault {
			f.disturb(now)
			nextFault += time.Duration(f.random.Int64N(int64(3 * time.Second)))
		}
		if now < warmUp {
			continue
		}
		for i := range f.wallets {
			f.buckets[i] = min(f.quota.Burst/float64(f.gateways), f.buckets[i]+f.quota.Rate*tick.Seconds()/float64(f.gateways))
			for range f.arrivals(i, now) {
				f.request(i, now)
			}
		}
	}
}

// learn tells the gateways of the lowered quota when they learn it.
func (f *fleet) learn(now time.Duration) {
	for i, w := range f.wallets {
		if at := f.loweredAt + time.Duration(i%2)*f.learnedIn; f.loweredAt > 0 && now >= at && now < at+tick {
			w.Keep(accountsWith(f.quota))
		}
	}
}

// silence begins the silences that are due.
func (f *fleet) silence(now time.Duration) {
	for _, s := range f.silences {
		if s.half || now < s.from || now >= s.from+tick {
			continue
		}
		for i := range f.keepers {
			if len(s.keepers) > 0 && !slices.Contains(s.keepers, i) {
				continue
			}
			f.keepers[i].downUntil = s.to
			if !s.kept {
				f.startKeeper(i, s.to)
			}
		}
	}
}

// silent reports whether a time lies in a silence.
func (f *fleet) silent(now time.Duration) bool {
	return slices.ContainsFunc(f.silences, func(s silence) bool { return now >= s.from && now < s.to })
}

// arrivals draws the number of requests that reach a gateway in a tick.
func (f *fleet) arrivals(gateway int, now time.Duration) int {
	if now < f.frozen[gateway] {
		return 0
	}
	share := 1 / float64(f.gateways)
	if zone := f.zone(now); zone >= 0 {
		if gateway%zones != zone {
			return 0
		}
		share *= zones
	}
	mean := f.demand(now) * f.startRate / meanCost * share * tick.Seconds()
	n, p := 0, f.random.Float64()
	for p > math.Exp(-mean) {
		p *= f.random.Float64()
		n++
	}
	return n
}

func (f *fleet) request(gateway int, now time.Duration) {
	cost := 200 + f.random.ExpFloat64()*(meanCost-200)
	cost = min(cost, 4500)
	f.requests++
	if f.silent(now) {
		f.requestsInSilence++
	}
	if !f.admit(gateway, cost, now) {
		f.refused++
		if f.silent(now) {
			f.refusedInSilence++
		}
		return
	}
	f.uses = append(f.uses, use{now, cost, gateway})
}

func (f *fleet) admit(gateway int, cost float64, now time.Duration) bool {
	if f.way == dividedByGateways {
		if f.buckets[gateway] < cost {
			return false
		}
		f.buckets[gateway] -= cost
		return true
	}
	w := f.wallets[gateway]
	if _, ok := w.Spend(account, cost, now); ok {
		return true
	}
	if w.RetryIn(account, now) > 0 {
		return false
	}
	asks := w.Asks(account, cost, now)
	if f.way != sharedKeepers {
		asks[0].Reserve, asks[0].Held = 0, nil
	}
	grants := f.ask(gateway, asks, now)
	w.Apply(grants, now)
	if _, ok := w.Spend(account, cost, now); ok {
		return true
	}
	if w.SpendReserve(account, cost, now) || f.way == uncharged && f.goesOn(gateway, cost, grants, now) {
		return true
	}
	fitsIn, askIn := laburnumquota.Refusal(grants, account)
	w.UsedUp(account, fitsIn, askIn, now)
	return false
}

// goesOn reports whether a gateway without an answer serves a request uncharged: it goes on at the rate of the second
// before.
func (f *fleet) goesOn(gateway int, cost float64, grants []laburnumquota.Grant, now time.Duration) bool {
	p := &f.pasts[gateway]
	if len(grants) > 0 {
		p.silentSince = 0
		return false
	}
	if p.silentSince == 0 {
		p.silentSince, p.spent, p.rate = now, 0, 0
		for _, u := range f.uses {
			if u.gateway == gateway && u.at > now-time.Second {
				p.rate += u.cost
			}
		}
	}
	if now-p.silentSince > longTime || p.spent+cost > p.rate*longTime.Seconds() {
		return false
	}
	p.spent += cost
	return true
}

// order returns the keepers in the order in which a gateway asks them: the one that granted last, those of its own
// zone, the others by lot.
func (f *fleet) order(gateway int) []int {
	order := rand.New(rand.NewPCG(uint64(gateway), 2)).Perm(len(f.keepers)) //nolint:gosec // a model
	rank := func(i int) int {
		switch {
		case i == f.preferred[gateway]:
			return 0
		case i%zones == gateway%zones:
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return rank(a) - rank(b) })
	return order
}

// ask asks up to four keepers that the gateway reaches.
func (f *fleet) ask(gateway int, asks []laburnumquota.Ask, now time.Duration) []laburnumquota.Grant {
	var grants []laburnumquota.Grant
	asked := 0
	for _, i := range f.order(gateway) {
		if asked == 4 || !f.reaches(gateway, i, now) {
			continue
		}
		f.messages++
		grants = append(grants, f.keepers[i].keeper.Answer(asks, now)...)
		if last := grants[len(grants)-1]; !last.Elsewhere {
			asked++
			if !last.Refused() {
				f.preferred[gateway] = i
				return grants
			}
		}
		asks = []laburnumquota.Ask{{Account: account, Need: asks[0].Need}}
	}
	return grants
}

func (f *fleet) reaches(gateway, keeper int, now time.Duration) bool {
	if gateway%2 == 0 && slices.ContainsFunc(f.silences, func(s silence) bool { return s.half && now >= s.from && now < s.to }) {
		return false
	}
	from, to := gateway%zones, keeper%zones
	return now >= f.keepers[keeper].downUntil && (from == to || now >= f.cut[from] && now >= f.cut[to])
}

// disturb plays one fault.
func (f *fleet) disturb(now time.Duration) {
	lasts := time.Duration(f.random.Int64N(int64(6 * time.Second)))
	switch f.random.IntN(4) {
	case 0:
		i := f.random.IntN(len(f.keepers))
		f.keepers[i].downUntil = now + lasts
		f.startKeeper(i, now+lasts)
	case 1:
		f.wallets[f.random.IntN(f.gateways)] = f.newWallet()
	case 2:
		f.frozen[f.random.IntN(f.gateways)] = now + lasts
	case 3:
		f.cut[f.random.IntN(zones)] = now + lasts
	}
}

// busiest returns the most that was used in one window, as a share of what a quota allows.
func (f *fleet) busiest(q laburnumlever.Quota, from time.Duration) float64 {
	allowed := (q.Rate*terms.Window.Seconds()+q.Burst)*(1+terms.Overshoot) + terms.Slack
	most, sum, first := 0.0, 0.0, 0
	for i, u := range f.uses {
		if u.at < from {
			first = i + 1
			continue
		}
		sum += u.cost
		for f.uses[first].at <= u.at-terms.Window {
			sum -= f.uses[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most / allowed
}

func (f *fleet) String() string {
	text := fmt.Sprintf("%s with %d gateways: %.2f of the allowance, %.2f%% refused, %.2f messages a request",
		f.name, f.gateways, f.busiest(f.quota, 0), 100*float64(f.refused)/float64(max(1, f.requests)), float64(f.messages)/float64(max(1, f.requests)))
	if len(f.silences) > 0 {
		text += fmt.Sprintf(", %.1f%% of %d refused in the silence", 100*float64(f.refusedInSilence)/float64(max(1, f.requestsInSilence)), f.requestsInSilence)
	}
	return text
}

func everywhere(time.Duration) int { return -1 }

func steady(x float64) func(time.Duration) float64 { return func(time.Duration) float64 { return x } }
