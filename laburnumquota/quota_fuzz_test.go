package laburnumquota_test

import (
	"encoding/binary"
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumquota"
)

// fuzzSteps bounds the messages of one input.
const fuzzSteps = 64

// fuzzInput reads values from bytes; it gives zeros at the end.
type fuzzInput struct {
	data  []byte
	steps int
}

func (i *fuzzInput) more() bool {
	i.steps++
	return len(i.data) > 0 && i.steps <= fuzzSteps
}

func (i *fuzzInput) byte() byte {
	if len(i.data) == 0 {
		return 0
	}
	b := i.data[0]
	i.data = i.data[1:]
	return b
}

// amount returns tokens: usual ones, and such as no gateway of this build sends.
func (i *fuzzInput) amount() float64 {
	switch b := i.byte(); b % 16 {
	case 0:
		return math.NaN()
	case 1:
		return math.Inf(1 - 2*int(b>>4&1))
	case 2:
		return -float64(b) * 1000
	case 3:
		return math.MaxFloat64
	case 4:
		return -math.MaxFloat64
	case 5:
		var raw [8]byte
		for n := range raw {
			raw[n] = i.byte()
		}
		return math.Float64frombits(binary.LittleEndian.Uint64(raw[:]))
	case 6:
		return 0
	default:
		return float64(b) * 60
	}
}

// FuzzKeeper guards against asks, whatever they say, that make a keeper grant more than its quota allows in a window,
// or that it can't answer over the wire.
func FuzzKeeper(f *testing.F) {
	f.Add([]byte{0x77, 0x22, 0, 0, 0, 9, 0x77, 0x02, 7, 7, 3, 0x77})
	f.Add([]byte{0x10, 0x22, 0x02, 0x04, 0x04, 0x01, 0x07, 0x03, 0x00, 0x07, 0x07, 0xf7, 0x77})
	f.Fuzz(func(t *testing.T, data []byte) {
		in := &fuzzInput{data: data}
		quota := quotaOf(1000)
		k := laburnumquota.NewKeeper(terms)
		k.SetShares(accountsWith(quota), wholeShare, 0)
		allowed := (quota.Rate*terms.Window.Seconds()+quota.Burst)*(1+terms.Overshoot) + terms.Slack
		var grants []use
		var known []uint64
		for now := time.Minute; in.more(); now += time.Duration(in.byte()) * 10 * time.Millisecond {
			ask := laburnumquota.Ask{Account: account, Need: in.amount(), Want: in.amount(), Reserve: in.amount()}
			if len(known) > 0 {
				ask.Held = []laburnumquota.HeldReserve{{ID: known[int(in.byte())%len(known)], Spent: in.amount(), Dropped: in.amount()}}
			}
			g := k.Answer([]laburnumquota.Ask{ask}, now)[0]
			_, err := json.Marshal(g)
			require.NoError(t, err)
			require.GreaterOrEqual(t, g.Tokens, 0.0)
			require.False(t, g.Refused() && g.Tokens > 0)
			grants = append(grants, use{at: now, cost: g.Tokens})
			if g.Reserve != nil {
				require.Positive(t, g.Reserve.Tokens)
				known = append(known, g.Reserve.ID)
			}
			checkWindow(t, grants, allowed)
		}
	})
}

// checkWindow checks the window that ends at the last grant.
func checkWindow(t *testing.T, grants []use, allowed float64) {
	sum, largest, last := 0.0, 0.0, grants[len(grants)-1].at
	for _, g := range grants {
		if g.at > last-terms.Window {
			sum, largest = sum+g.cost, max(largest, g.cost)
		}
	}
	require.LessOrEqual(t, largest, allowed)
	require.LessOrEqual(t, sum, max(allowed, largest+1000*(1+terms.Overshoot)*terms.Window.Seconds()))
}

// FuzzWallet guards against grants, whatever they say, that let a gateway spend more than it was granted, or poison its
// asks.
func FuzzWallet(f *testing.F) {
	f.Add([]byte{0x77, 0x77, 7, 0, 9, 7, 3, 0x27, 0, 0, 1, 7})
	f.Add([]byte{0x00, 0x77, 0x07, 0x02, 0x70, 0x17, 0x04, 0x31, 0x07})
	f.Fuzz(func(t *testing.T, data []byte) {
		in := &fuzzInput{data: data}
		quota := quotaOf(1000)
		w := laburnumquota.NewWallet(terms)
		w.Keep(accountsWith(quota))
		granted, spent, id := 0.0, 0.0, uint64(0)
		for now := time.Minute; in.more(); now += time.Duration(in.byte()) * time.Millisecond {
			g := laburnumquota.Grant{Account: account, Tokens: in.amount(), RetryIn: laburnumlever.Duration(in.amount()), AskIn: laburnumlever.Duration(in.amount())}
			if tokens := in.amount(); tokens != 0 {
				id++
				g.Reserve = &laburnumquota.Reserve{ID: id, Tokens: tokens, Quota: quota}
				granted += positive(tokens)
			}
			granted += positive(g.Tokens)
			w.Apply([]laburnumquota.Grant{g}, now)
			fitsIn, askIn := laburnumquota.Refusal([]laburnumquota.Grant{g}, account)
			w.UsedUp(account, fitsIn, askIn, now)
			require.GreaterOrEqual(t, w.RetryIn(account, now), time.Duration(0))
			cost := float64(in.byte()) * 20
			if receipt, ok := w.Spend(account, cost, now); ok {
				spent += cost
				if in.byte()%4 == 0 {
					w.Refund(receipt, now)
					spent -= cost
				}
			} else if w.SpendReserve(account, cost, now) {
				spent += cost
			}
			require.LessOrEqual(t, spent, granted+1e-3)
			for _, a := range w.Asks(account, cost, now) {
				_, err := json.Marshal(a)
				require.NoError(t, err)
				require.GreaterOrEqual(t, a.Want, 0.0)
				require.GreaterOrEqual(t, a.Reserve, 0.0)
			}
		}
	})
}

// positive returns tokens that count; others must be ignored.
func positive(tokens float64) float64 {
	if math.IsNaN(tokens) || math.IsInf(tokens, 0) || tokens <= 0 {
		return 0
	}
	return tokens
}
