package laburnumslotqueue_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumslotqueue"
)

// fairFleet is many gateways, each with a queue, that share the slots of one service. The first account is hot for a time.
type fairFleet struct {
	gateways, accounts int
	// room is what the slots serve in terms of what all accounts usually ask for.
	room           float64
	hotFrom, hotTo time.Duration
	length         time.Duration
}

// fairCounts count the requests that were sent while the account was hot, by account.
type fairCounts struct{ sent, served []int }

func (c fairCounts) part(account int) float64 {
	return float64(c.served[account]) / float64(max(1, c.sent[account]))
}

func (c fairCounts) total() float64 {
	sent, served := 0, 0
	for i := range c.sent {
		sent, served = sent+c.sent[i], served+c.served[i]
	}
	return float64(served) / float64(max(1, sent))
}

const (
	fairTick = 20 * time.Millisecond
	// fairRate is what all accounts usually ask for in a second, hotFactor how much more the hot one does.
	fairRate, hotFactor = 400, 7.5
)

func (f fairFleet) run(seed uint64) fairCounts {
	random := rand.New(rand.NewPCG(seed, 3)) //nolint:gosec // a model
	queues := make([]laburnumslotqueue.Queue, f.gateways)
	c := fairCounts{sent: make([]int, f.accounts), served: make([]int, f.accounts)}
	start := time.Unix(1_000_000, 0)
	free := 0.0
	for at := time.Duration(0); at < f.length; at += fairTick {
		now, hot := start.Add(at), at >= f.hotFrom && at < f.hotTo
		for account := range f.accounts {
			mean := fairRate * fairTick.Seconds() / float64(f.accounts)
			if account == 0 && hot {
				mean *= hotFactor
			}
			for range poisson(random, mean) {
				f.arrive(&queues[random.IntN(f.gateways)], account, now, hot, c)
			}
		}
		free = min(free, 0) + f.room*fairRate*fairTick.Seconds()
		for _, i := range random.Perm(f.gateways) {
			q := &queues[i]
			expire(q, now)
			q.Serve(now, func(laburnumbalance.Query) (*laburnumbalance.Ticket, laburnumbalance.Verdict) {
				if free <= 0 {
					return nil, laburnumbalance.Full
				}
				free--
				return &laburnumbalance.Ticket{}, laburnumbalance.Found
			})
		}
	}
	return c
}

func (f fairFleet) arrive(q *laburnumslotqueue.Queue, account int, now time.Time, counted bool, c fairCounts) {
	r := &laburnumslotqueue.Request{
		Arrived: now, OnTimeUntil: now.Add(testWait / 2), Account: laburnumlever.AccountName(rune('a' + account)), Cost: 1,
		Admit: func(*laburnumbalance.Ticket) {
			if counted {
				c.served[account]++
			}
		},
	}
	if counted {
		c.sent[account]++
	}
	q.Arrived(r, now)
	q.Push(r)
}

func expire(q *laburnumslotqueue.Queue, now time.Time) {
	for _, old := range q.Requests() {
		if now.Sub(old.Arrived) > testWait {
			q.Remove(old)
		}
	}
}

func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for t := random.ExpFloat64(); t < mean; t += random.ExpFloat64() {
		n++
	}
	return n
}

// Guards against a hot account that takes the slots of others over many gateways, for as long as it is hot, and against one that is
// starved for it.
func TestHotAccountIsServedBesideTheUsualOfOthers(t *testing.T) {
	for _, c := range []struct {
		gateways, accounts int
		room, others       float64
	}{{1, 4, 1.3, 0.95}, {8, 4, 1.3, 0.8}, {30, 4, 1.3, 0.55}, {8, 8, 1.3, 0.85}, {8, 4, 1, 0.7}} {
		f := fairFleet{gateways: c.gateways, accounts: c.accounts, room: c.room, hotFrom: 70 * time.Second, hotTo: 110 * time.Second, length: 110 * time.Second}
		counts := f.run(1)
		rest := 0.0
		for account := 1; account < c.accounts; account++ {
			rest += counts.part(account) / float64(c.accounts-1)
		}
		t.Logf("%d gateways, %d accounts, room for %.1f of the usual: %.2f of the hot account, %.2f of the others, %.2f of all",
			c.gateways, c.accounts, c.room, counts.part(0), rest, counts.total())
		require.Greater(t, rest, c.others, "each gateway orders its own queue only, so that more of them hold back less")
		for account := range c.accounts {
			require.Greater(t, counts.part(account), counts.total()/4, "account %d", account)
		}
	}
}
