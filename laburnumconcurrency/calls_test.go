package laburnumconcurrency_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumconcurrency"
)

const (
	// overloadWait is how long a request can wait for a lease, overloadRun how long it runs.
	overloadWait, overloadRun = 600 * time.Millisecond, 200 * time.Millisecond
	overloadSlots             = 4
	overloadTime              = 20 * time.Second
	// callsForALease are one that is granted, one that finds the queue full as the window has grown, and askAgainPart by
	// gateways that have no place there.
	callsForALease = 6
)

// overload is a model of gateways that get several times the requests that brittle servers have room for, with one keeper.
type overload struct {
	random *rand.Rand
	keeper *laburnumconcurrency.Keeper
	now    time.Duration
	events eventQueue
	// roundTrip is the mean time of a call that is answered at once.
	roundTrip time.Duration
	servers   []laburnumconcurrency.Limit
	tables    []*laburnumconcurrency.Table
	waiting   []*waitingCall
	calls     int
	// granted are the leases of each gateway, running the requests on each server.
	granted, running []int
	worst            int
}

// waitingCall is a call that waits at the keeper.
type waitingCall struct {
	waiter *laburnumconcurrency.Waiter
	answer func(laburnumconcurrency.Answer)
	ended  bool
}

func newOverload(gateways, servers int, roundTrip time.Duration) *overload {
	o := &overload{
		random: rand.New(rand.NewPCG(1, 1)), keeper: laburnumconcurrency.NewKeeper(), roundTrip: roundTrip,
		granted: make([]int, gateways), running: make([]int, servers),
	}
	for i := range servers {
		l := brittleServer(overloadSlots)
		l.Backend = laburnumlever.BackendID(fmt.Sprintf("i-%d", i))
		o.servers = append(o.servers, l)
		o.keeper.Learn(l, at(-time.Minute))
	}
	for range gateways {
		table := laburnumconcurrency.NewTable("g1")
		for _, l := range o.servers {
			table.Apply(l, at(0))
		}
		o.tables = append(o.tables, table)
	}
	return o
}

func (o *overload) after(d time.Duration, do func()) {
	heap.Push(&o.events, event{at: o.now + d, do: do})
}

func (o *overload) link() time.Duration {
	return o.roundTrip/4 + time.Duration(o.random.Int64N(int64(o.roundTrip/2)))
}

// run has each gateway get a request at random intervals.
func (o *overload) run(interval time.Duration) {
	for gateway := range o.tables {
		var each func()
		each = func() {
			o.arrive(gateway)
			o.after(time.Duration(o.random.ExpFloat64()*float64(interval)), each)
		}
		o.after(time.Duration(o.random.ExpFloat64()*float64(interval)), each)
	}
	var tick func()
	tick = func() {
		o.keeper.Tick(at(o.now))
		o.after(100*time.Millisecond, tick)
	}
	tick()
	for o.now < overloadTime {
		next := heap.Pop(&o.events).(event)
		o.now = next.at
		next.do()
		o.answerGranted()
	}
}

// arrive has a request ask two servers without waiting, then wait for one.
func (o *overload) arrive(gateway int) {
	var servers []int
	for _, i := range o.random.Perm(len(o.servers)) {
		if len(servers) < 2 && o.tables[gateway].MayWait(o.servers[i].Backend, at(o.now)) {
			servers = append(servers, i)
		}
	}
	o.try(gateway, servers, servers)
}

func (o *overload) try(gateway int, probes, waits []int) {
	for len(probes) > 0 {
		server := probes[0]
		probes = probes[1:]
		if o.call(gateway, server, 0, func() { o.try(gateway, probes, waits) }) {
			return
		}
	}
	for _, server := range waits {
		if o.call(gateway, server, overloadWait, func() {}) {
			return
		}
	}
}

// call calls the keeper, if the gateway may.
func (o *overload) call(gateway, server int, wait time.Duration, refused func()) bool {
	limit, table := o.servers[server], o.tables[gateway]
	call, ok := table.Begin(limit.Backend, wait > 0, at(o.now))
	if !ok {
		return false
	}
	o.calls++
	answered := func(a laburnumconcurrency.Answer) {
		o.after(o.link(), func() {
			table.Answered(call, a, at(o.now))
			if a.Granted {
				o.granted[gateway]++
				o.use(server, a.Lease)
				return
			}
			refused()
		})
	}
	o.after(o.link(), func() {
		q := ask(limit, wait)
		q.Gateway = laburnumlever.VMID(fmt.Sprintf("g%d", gateway))
		answer, waiter := o.keeper.Acquire(q, laburnumconcurrency.FullShare, at(o.now))
		if waiter == nil {
			answered(answer)
			return
		}
		o.wait(&waitingCall{waiter: waiter, answer: answered}, wait)
	})
	return true
}

func (o *overload) wait(c *waitingCall, d time.Duration) {
	o.waiting = append(o.waiting, c)
	o.after(d, func() {
		if c.ended {
			return
		}
		c.ended = true
		o.keeper.Abandon(c.waiter, at(o.now))
		c.answer(laburnumconcurrency.Answer{RetryIn: laburnumlever.Duration(laburnumconcurrency.MaxWait)})
	})
}

// answerGranted answers the calls that have got a lease.
func (o *overload) answerGranted() {
	o.waiting = slices.DeleteFunc(o.waiting, func(c *waitingCall) bool {
		select {
		case lease := <-c.waiter.Granted:
			c.ended = true
			c.answer(laburnumconcurrency.Answer{Granted: true, Lease: lease})
		default:
		}
		return c.ended
	})
}

func (o *overload) use(server int, lease laburnumconcurrency.LeaseID) {
	o.running[server]++
	o.worst = max(o.worst, o.running[server])
	o.after(overloadRun, func() {
		o.running[server]--
		o.after(o.link(), func() {
			o.keeper.Release(laburnumconcurrency.Release{Backend: o.servers[server].Backend, Lease: lease}, at(o.now))
		})
	})
}

// leases is the number of leases that were granted.
func (o *overload) leases() int {
	n := 0
	for _, granted := range o.granted {
		n += granted
	}
	return n
}

// Guards against gateways that call the keeper of a brittle server many times for a lease, the more the busier the links are.
func TestFewCallsForALease(t *testing.T) {
	for _, c := range []struct {
		gateways, servers   int
		roundTrip, interval time.Duration
	}{
		{1, 1, 2 * time.Millisecond, 10 * time.Millisecond},
		{1, 6, 2 * time.Millisecond, 2 * time.Millisecond},
		{3, 6, 2 * time.Millisecond, 3 * time.Millisecond},
		{3, 6, 100 * time.Millisecond, 3 * time.Millisecond},
		{3, 6, 300 * time.Millisecond, 3 * time.Millisecond},
		{3, 6, 100 * time.Millisecond, 15 * time.Millisecond},
		{12, 2, 2 * time.Millisecond, 20 * time.Millisecond},
		{12, 2, 100 * time.Millisecond, 20 * time.Millisecond},
		{12, 2, 300 * time.Millisecond, 20 * time.Millisecond},
	} {
		o := newOverload(c.gateways, c.servers, c.roundTrip)
		o.run(c.interval)
		leases := o.leases()
		t.Logf("%d gateways, %d servers, round trips of %v: %d calls, %d leases, %d to %d for a gateway", c.gateways, c.servers, c.roundTrip,
			o.calls, leases, slices.Min(o.granted), slices.Max(o.granted))
		require.LessOrEqual(t, o.calls, callsForALease*leases)
		room := float64(c.servers*overloadSlots) * overloadTime.Seconds() / (overloadRun + c.roundTrip).Seconds()
		require.Greater(t, float64(leases), 0.9*room, "slots stand idle")
		require.Greater(t, slices.Min(o.granted), leases/c.gateways/2, "gateways that others keep out")
		require.LessOrEqual(t, o.worst, overloadSlots+1)
	}
}

// Guards against gateways without a place in a queue that ask for one the more often, together, the larger the fleet is.
func TestFewCallsForALeaseInLargeFleets(t *testing.T) {
	const servers = 4
	for _, gateways := range []int{57, 294, 780} {
		o := newOverload(gateways, servers, 10*time.Millisecond)
		o.run(100 * time.Millisecond)
		leases := o.leases()
		t.Logf("%d gateways: %d calls, %d leases, %d to %d for a gateway", gateways, o.calls, leases, slices.Min(o.granted), slices.Max(o.granted))
		onceASecond := gateways * servers * int(overloadTime/time.Second+1)
		require.LessOrEqual(t, o.calls, max(callsForALease*leases, onceASecond))
		room := float64(servers*overloadSlots) * overloadTime.Seconds() / (overloadRun + o.roundTrip).Seconds()
		require.Greater(t, float64(leases), 0.9*room, "slots stand idle")
		require.Less(t, slices.Max(o.granted), 4*(leases/gateways+1), "gateways that keep others out")
	}
}

// Guards against running requests without a lease after one lost call of a gateway that asked nothing before, or waited for its answer.
func TestOneLostCallIsNoSilenceOfTheControlVMs(t *testing.T) {
	table, l := laburnumconcurrency.NewTable("g1"), brittleServer(4)
	table.Apply(l, at(0))
	begin := func(now time.Duration) *laburnumconcurrency.Call {
		call, ok := table.Begin(l.Backend, true, at(now))
		require.True(t, ok)
		return call
	}
	table.Answered(begin(0), laburnumconcurrency.Answer{Granted: true}, at(0))
	waited := begin(5 * time.Second)
	table.Lost(waited, at(5*time.Second+laburnumconcurrency.MaxWait+300*time.Millisecond))
	require.False(t, table.Alone(at(5*time.Second+laburnumconcurrency.MaxWait+300*time.Millisecond)))
	table.Lost(begin(7*time.Second), at(7*time.Second+500*time.Millisecond))
	require.True(t, table.Alone(at(7*time.Second+500*time.Millisecond)))
	table.Answered(begin(8*time.Second), laburnumconcurrency.Answer{Granted: true}, at(8*time.Second))
	require.False(t, table.Alone(at(8*time.Second)))
}

// Guards against a gateway without control VMs that uses its share one request at a time, since keepers had little room before.
func TestWindowBoundsNothingWithoutControlVMs(t *testing.T) {
	table, l := laburnumconcurrency.NewTable("g1"), brittleServer(4)
	table.Apply(l, at(0))
	for now := range 8 {
		call, ok := table.Begin(l.Backend, true, at(time.Duration(now)*time.Second))
		require.True(t, ok)
		table.Answered(call, laburnumconcurrency.Answer{}, at(time.Duration(now)*time.Second))
	}
	call, ok := table.Begin(l.Backend, true, at(8*time.Second))
	require.True(t, ok)
	_, ok = table.Begin(l.Backend, true, at(8*time.Second))
	require.False(t, ok, "the keeper has room for one")
	table.Lost(call, at(8*time.Second))
	for range 4 {
		_, ok = table.Begin(l.Backend, false, at(9*time.Second))
		require.True(t, ok)
		_, ok = table.Begin(l.Backend, true, at(9*time.Second))
		require.True(t, ok)
	}
}
