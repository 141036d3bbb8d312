package laburnumquota_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumquota"
)

// orderTerms are short, so that a few steps cover a window and the time of a reserve.
var orderTerms = laburnumquota.Terms{Window: 2 * time.Second, Overshoot: 0.1}

// orderEvent is what may happen between a keeper and its gateways.
type orderEvent int

const (
	nothing orderEvent = iota
	asks
	otherAsks
	asksAndAnswerIsLost
	asksAndAnswerIsLate
	asksAgainWhatItAskedBefore
	spendsReserves
	dropsReserves
	drains
	keeperRestarts
	orderEvents
)

// holder is a gateway that takes as large reserves as it can get and spends them at any time.
type holder struct{ reserves []heldReserve }

type heldReserve struct {
	laburnumquota.HeldReserve
	tokens float64
	until  time.Duration
}

func (h *holder) ask() laburnumquota.Ask {
	a := laburnumquota.Ask{Account: account, Need: 1, Reserve: 1e6}
	for _, r := range h.reserves {
		a.Held = append(a.Held, r.HeldReserve)
	}
	return a
}

func (h *holder) apply(g laburnumquota.Grant, asked time.Duration) {
	until := asked + orderTerms.ReserveTime()
	for i := range h.reserves {
		if r := &h.reserves[i]; slices.Contains(g.Extended, r.ID) {
			r.until = max(r.until, until)
		}
	}
	if g.Reserve != nil {
		h.reserves = append(h.reserves, heldReserve{HeldReserve: laburnumquota.HeldReserve{ID: g.Reserve.ID}, tokens: g.Reserve.Tokens, until: until})
	}
}

// order plays events of two gateways and the keeper of a whole quota.
type order struct {
	quota   laburnumlever.Quota
	now     time.Duration
	keeper  *laburnumquota.Keeper
	holders [2]holder
	// before is what a gateway asked last, and late the answer that it has not received yet, with when it asked.
	before [2]laburnumquota.Ask
	late   [2]*laburnumquota.Grant
	lateAt [2]time.Duration
	uses   []use
}

func newOrder() *order {
	o := &order{quota: quotaOf(1000)}
	o.restartKeeper()
	o.now = time.Minute
	return o
}

func (o *order) restartKeeper() {
	o.keeper = laburnumquota.NewKeeper(orderTerms)
	o.keeper.SetShares(accountsWith(o.quota), wholeShare, o.now)
}

func (o *order) use(cost float64) {
	if cost > 0 {
		o.uses = append(o.uses, use{at: o.now, cost: cost})
	}
}

// ask asks the keeper. What it grants for a request is spent at once.
func (o *order) ask(a laburnumquota.Ask) laburnumquota.Grant {
	g := o.keeper.Answer([]laburnumquota.Ask{a}, o.now)[0]
	o.use(g.Tokens)
	return g
}

func (o *order) spendReserves() {
	for i := range o.holders {
		for n := range o.holders[i].reserves {
			if r := &o.holders[i].reserves[n]; o.now < r.until {
				o.use(r.tokens - r.Spent - r.Dropped)
				r.Spent = r.tokens - r.Dropped
			}
		}
	}
}

// drain asks the keeper for all that it grants.
func (o *order) drain() {
	for _, cost := range []float64{100, 10} {
		for !o.ask(laburnumquota.Ask{Account: account, Need: cost}).Refused() {
			continue
		}
	}
}

// hold lets both gateways hold reserves.
func (o *order) hold() {
	for range 6 {
		o.play(asks)
		o.play(otherAsks)
	}
}

// play plays an event of the first gateway, if it doesn't say otherwise.
func (o *order) play(e orderEvent) {
	i := 0
	if e == otherAsks {
		i = 1
	}
	h := &o.holders[i]
	if o.late[i] != nil {
		h.apply(*o.late[i], o.lateAt[i])
		o.late[i] = nil
	}
	switch e {
	case asks, otherAsks:
		o.before[i] = h.ask()
		h.apply(o.ask(o.before[i]), o.now)
	case asksAndAnswerIsLost:
		o.before[i] = h.ask()
		o.ask(o.before[i])
	case asksAndAnswerIsLate:
		o.before[i] = h.ask()
		g := o.ask(o.before[i])
		o.late[i], o.lateAt[i] = &g, o.now
	case asksAgainWhatItAskedBefore:
		o.ask(o.before[i])
	case spendsReserves:
		o.spendReserves()
	case drains:
		o.spendReserves()
		o.drain()
	case dropsReserves:
		for n := range h.reserves {
			r := &h.reserves[n]
			r.Dropped += (r.tokens - r.Spent - r.Dropped) / 2
		}
	case keeperRestarts:
		o.restartKeeper()
	default:
	}
}

// busiest returns the most that was used in a window as a share of what the quota allows.
func (o *order) busiest() float64 {
	allowed := (o.quota.Rate*orderTerms.Window.Seconds() + o.quota.Burst) * (1 + orderTerms.Overshoot)
	most := 0.0
	for i, from := range o.uses {
		sum := 0.0
		for _, u := range o.uses[i:] {
			if u.at-from.at >= orderTerms.Window {
				break
			}
			sum += u.cost
		}
		most = max(most, sum)
	}
	return most / allowed
}

// Guards against reserves that are spent on top of a quota, whatever the order of asks, lost answers, restarts and use.
func TestReservesKeepTheQuotaInEveryOrder(t *testing.T) {
	const (
		steps = 4
		step  = 600 * time.Millisecond
	)
	sequences := 1
	for range steps {
		sequences *= int(orderEvents)
	}
	most := 0.0
	for sequence := range sequences {
		o := newOrder()
		o.hold()
		for rest := range steps {
			o.now += step
			o.play(orderEvent(sequence / power(int(orderEvents), rest) % int(orderEvents)))
		}
		for range 4 {
			o.now += step
			o.play(drains)
		}
		busiest := o.busiest()
		require.LessOrEqual(t, busiest, 1.0, "sequence %d", sequence)
		most = max(most, busiest)
	}
	require.Greater(t, most, 0.8, "the quota is there to be used")
}

func power(base, exponent int) int {
	n := 1
	for range exponent {
		n *= base
	}
	return n
}

// Guards against reserves that are spent on top of a quota in longer orders of events.
func TestReservesKeepTheQuotaInRandomOrders(t *testing.T) {
	most := 0.0
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 3)) //nolint:gosec // a model
		o := newOrder()
		o.hold()
		for range 60 {
			o.now += time.Duration(random.Int64N(int64(400 * time.Millisecond)))
			e := orderEvent(random.IntN(int(orderEvents)))
			if e >= drains && random.IntN(3) > 0 {
				e = asks
			}
			o.play(e)
		}
		busiest := o.busiest()
		require.LessOrEqual(t, busiest, 1.0, "seed %d", seed)
		most = max(most, busiest)
	}
	require.Greater(t, most, 0.8, "the quota is there to be used")
}
