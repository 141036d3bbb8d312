package laburnumreachability_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumreachability"
)

const (
	servers   = 18
	checkTime = 250 * time.Millisecond
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func address(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }

// probes returns probes of servers that answer as given.
func probes(direct, reached, helped bool) []laburnumreachability.Probe {
	list := make([]laburnumreachability.Probe, laburnumreachability.ProbedServers)
	for i := range list {
		list[i] = laburnumreachability.Probe{Address: address(i), Direct: direct, Reached: reached, Helped: helped}
	}
	return list
}

// suspecting returns a monitor of links that are suspected since connections to two servers failed.
func suspecting(t *testing.T) *laburnumreachability.Monitor {
	m := laburnumreachability.New()
	m.Failed(address(0), at(0))
	m.Failed(address(1), at(0))
	_, ok := m.Suspicion(servers, at(0))
	require.True(t, ok)
	return m
}

// Guards against a VM that takes the loss of its own links for the failure of all servers.
func TestRefusedConnectionsRaiseASuspicion(t *testing.T) {
	m := laburnumreachability.New()
	m.Failed(address(1), at(0))
	_, ok := m.Suspicion(servers, at(0))
	require.False(t, ok, "one server may have failed itself")
	m.Failed(address(2), at(100*time.Millisecond))
	suspects, ok := m.Suspicion(servers, at(100*time.Millisecond))
	require.True(t, ok)
	require.Equal(t, []string{address(1), address(2)}, suspects)
	require.True(t, m.Verified(probes(false, true, true), servers, at(200*time.Millisecond)))
	require.True(t, m.Lost())
}

// Guards against links that count as working because connections from before their loss live on.
func TestAnswersOnOldConnectionsProveNothing(t *testing.T) {
	m := laburnumreachability.New()
	old := m.Begin(address(3), at(0))
	m.Failed(address(1), at(time.Second))
	m.Heard(old, at(-time.Second), at(1100*time.Millisecond))
	m.Failed(address(2), at(1200*time.Millisecond))
	_, ok := m.Suspicion(servers, at(1200*time.Millisecond))
	require.True(t, ok)
}

// Guards against a suspicion of the links while only the servers have failed.
func TestAnswersOnNewConnectionsClearASuspicion(t *testing.T) {
	m := laburnumreachability.New()
	m.Failed(address(1), at(0))
	w := m.Begin(address(3), at(50*time.Millisecond))
	m.Heard(w, at(50*time.Millisecond), at(80*time.Millisecond))
	m.Failed(address(2), at(100*time.Millisecond))
	_, ok := m.Suspicion(servers, at(100*time.Millisecond))
	require.False(t, ok)
}

// Guards against open connections that hang unnoticed, as no connection fails.
func TestSilenceOfAllServersRaisesASuspicion(t *testing.T) {
	m := laburnumreachability.New()
	m.Begin(address(1), at(0))
	m.Begin(address(2), at(0))
	for now := time.Duration(0); now < 500*time.Millisecond; now += checkTime {
		_, ok := m.Suspicion(servers, at(now))
		require.False(t, ok, now)
	}
	_, ok := m.Suspicion(servers, at(500*time.Millisecond))
	require.True(t, ok)

	m = laburnumreachability.New()
	m.Begin(address(1), at(0))
	other := m.Begin(address(2), at(0))
	for now := time.Duration(0); now < 5*time.Second; now += checkTime {
		m.Heard(other, at(-time.Second), at(now))
		_, ok := m.Suspicion(servers, at(now))
		require.False(t, ok, "a server that is silent for seconds while another one answers, after %s", now)
	}
}

// Guards against a VM that was paused and takes the answers that wait unread for silence.
func TestPauseOfThisVMIsNoSilence(t *testing.T) {
	m := laburnumreachability.New()
	m.Begin(address(1), at(0))
	m.Begin(address(2), at(0))
	m.Suspicion(servers, at(0))
	_, ok := m.Suspicion(servers, at(5*time.Second))
	require.False(t, ok)
}

// Guards against servers that are down for all VMs and taken for lost links.
func TestServersThatNobodyReachesHaveFailedThemselves(t *testing.T) {
	m := laburnumreachability.New()
	m.Failed(address(0), at(0))
	m.Failed(address(1), at(0))
	_, ok := m.Suspicion(servers, at(0))
	require.True(t, ok)
	require.False(t, m.Verified(probes(false, false, true), servers, at(0)))
	require.False(t, m.Suspected(servers, at(0)), "both failures are explained")
}

// Guards against servers that are reported to the director as unreachable while others are still asked about them.
func TestSuspicionOutlastsASlowVerification(t *testing.T) {
	m := suspecting(t)
	for now := time.Duration(0); now < 5*time.Second; now += checkTime {
		require.True(t, m.Suspected(servers, at(now)), now)
	}
	require.False(t, m.Verified(probes(false, false, false)[:2], servers, at(5*time.Second)))
	require.False(t, m.Suspected(servers, at(5*time.Second)), "nobody could tell, and the failures are old")
}

// Guards against VMs of one zone without links that take each other's silence for a proof that the servers have failed.
func TestVMThatDoubtsItsLinksIsNoWitness(t *testing.T) {
	m := laburnumreachability.New()
	m.Failed(address(0), at(0))
	m.Failed(address(1), at(0))
	require.False(t, m.Doubted())
	_, ok := m.Suspicion(servers, at(0))
	require.True(t, ok)
	require.True(t, m.Doubted())
	require.False(t, m.Verified(probes(false, false, true), servers, at(100*time.Millisecond)))
	require.True(t, m.Doubted(), "no server has answered")
	old := m.Begin(address(3), at(-time.Second))
	m.Heard(old, at(-time.Second), at(200*time.Millisecond))
	require.True(t, m.Doubted(), "the connection is older than the doubt")
	m.Heard(m.Begin(address(3), at(300*time.Millisecond)), at(300*time.Millisecond), at(400*time.Millisecond))
	require.False(t, m.Doubted())
}

// Guards against a VM without helpers that refuses requests since few servers are known and all of them are down.
func TestLossWithoutHelpersNeedsSeveralServers(t *testing.T) {
	m := suspecting(t)
	require.False(t, m.Verified(probes(false, false, false)[:2], 2, at(0)))
	m = suspecting(t)
	m.Heard(m.Begin(address(5), at(-time.Second)), at(-time.Second), at(0))
	require.False(t, m.Verified(probes(false, false, false), servers, at(100*time.Millisecond)), "a zone that is cut off reaches its own servers")
	require.True(t, m.Verified(probes(false, false, false), servers, at(time.Second)))
}

// Guards against links that count as restored after one server has answered, or never.
func TestLinksAreRestoredOnceTwoServersAnswer(t *testing.T) {
	m := suspecting(t)
	require.True(t, m.Verified(probes(false, true, true), servers, at(0)))
	mixed := probes(true, false, false)[:2]
	mixed[1].Direct = false
	require.False(t, m.Restored(mixed, servers, at(time.Second)))
	require.True(t, m.Restored(probes(true, false, false)[:2], servers, at(time.Second)))
	require.False(t, m.Lost())
}

// Guards against links that count as lost on days with many crashed, grey and silent servers, and losses noticed late.
func TestDaysOfFailingServersAreToldFromLostLinks(t *testing.T) {
	const days, length = 400, 60 * time.Second
	wrong, verified, worst, worstBack := 0, 0, time.Duration(0), time.Duration(0)
	for seed := range uint64(days) {
		d := newDay(seed)
		d.run(length)
		wrong += d.wrong
		verified += d.verified
		worst, worstBack = max(worst, d.worst), max(worstBack, d.worstBack)
	}
	t.Logf("%d days: %d times taken for lost, %d verifications, %s at most to notice a loss and %s to notice its end", days, wrong, verified, worst, worstBack)
	require.Zero(t, wrong)
	require.LessOrEqual(t, worst, contactTime)
	require.LessOrEqual(t, worstBack, contactTime)
}

const (
	stepTime = 10 * time.Millisecond
	// contactTime is the time from which callers must be served as well as elsewhere.
	contactTime = 3 * time.Second
	// restoreTime is the interval of probes while the links are lost.
	restoreTime = 500 * time.Millisecond
)

// day is a day of one VM before servers that fail, with and without its own links.
type day struct {
	random  *rand.Rand
	monitor *laburnumreachability.Monitor
	now     time.Duration
	// down are servers that refuse, dark those that do not answer, until the time.
	down, dark [servers]time.Duration
	// cut is set while the VM's own links are lost, hangs if connections then hang.
	cut, hangs bool
	cutAt      time.Duration
	waits      []*openWait
	// wrong counts how often working links were taken for lost.
	wrong, verified  int
	restoredAt       time.Duration
	worst, worstBack time.Duration
}

type openWait struct {
	wait     *laburnumreachability.Wait
	server   int
	openedAt time.Duration
	answerAt time.Duration
}

func newDay(seed uint64) *day {
	return &day{random: rand.New(rand.NewPCG(seed, seed)), monitor: laburnumreachability.New()}
}

func (d *day) answers(server int) bool { return d.now >= d.down[server] && d.now >= d.dark[server] }

func (d *day) run(length time.Duration) {
	for d.now = 0; d.now < length; d.now += stepTime {
		if d.now%(5*time.Second) == 0 {
			d.failServers()
		}
		if d.now == 20*time.Second {
			d.cut, d.hangs, d.cutAt = true, d.random.IntN(2) == 0, d.now
		}
		if d.now == 32*time.Second {
			d.cut, d.restoredAt = false, d.now
		}
		d.send()
		d.hear()
		if d.now%checkTime == 0 {
			d.check()
		}
	}
}

// failServers has up to half of the servers fail for some seconds.
func (d *day) failServers() {
	for i := range servers {
		until := d.now + time.Duration(d.random.IntN(6))*time.Second
		switch d.random.IntN(8) {
		case 0:
			d.down[i] = until
		case 1:
			d.dark[i] = until
		case 2:
			d.dark[i] = d.now + time.Second // silent for a moment
		}
	}
}

// send sends a request on a new connection now and then.
func (d *day) send() {
	if d.random.IntN(4) != 0 || d.monitor.Lost() {
		return
	}
	server := d.random.IntN(servers)
	switch {
	case d.now < d.down[server] || d.cut && !d.hangs:
		d.monitor.Failed(address(server), at(d.now))
	case d.now < d.dark[server] || d.cut:
		d.monitor.Failed(address(server), at(d.now))
	default:
		d.waits = append(d.waits, &openWait{
			wait: d.monitor.Begin(address(server), at(d.now)), server: server, openedAt: d.now,
			answerAt: d.now + time.Duration(10+d.random.IntN(700))*time.Millisecond,
		})
	}
}

// hear delivers answers that are due.
func (d *day) hear() {
	open := d.waits[:0]
	for _, w := range d.waits {
		if d.now < w.answerAt || d.cut || !d.answers(w.server) {
			open = append(open, w)
			continue
		}
		d.monitor.Heard(w.wait, at(w.openedAt), at(d.now))
		d.monitor.End(w.wait)
	}
	d.waits = open
}

func (d *day) check() {
	if d.monitor.Lost() {
		if d.now%restoreTime == 0 && d.monitor.Restored(d.probeServers(nil, laburnumreachability.ProbedServers), servers, at(d.now)) && d.restoredAt > 0 {
			d.worstBack = max(d.worstBack, d.now-d.restoredAt)
		}
		return
	}
	suspects, ok := d.monitor.Suspicion(servers, at(d.now))
	if !ok {
		return
	}
	d.verified++
	if !d.monitor.Verified(d.probeServers(suspects, laburnumreachability.ProbedServers), servers, at(d.now)) {
		return
	}
	if !d.cut {
		d.wrong++
	} else if d.restoredAt == 0 && d.worst == 0 {
		d.worst = d.now - d.cutAt
	}
}

func (d *day) probeServers(first []string, n int) []laburnumreachability.Probe {
	var list []laburnumreachability.Probe
	for _, i := range d.random.Perm(servers) {
		p := laburnumreachability.Probe{Address: address(i), Helped: true, Direct: !d.cut && d.answers(i), Reached: d.answers(i)}
		isFirst := false
		for _, a := range first {
			isFirst = isFirst || a == p.Address
		}
		if isFirst {
			list = append([]laburnumreachability.Probe{p}, list...)
		} else {
			list = append(list, p)
		}
	}
	return list[:n]
}

// Guards against servers that end one after the other and are taken for lost links, though others answer on new connections.
func TestServersThatEndTogetherAreNoLostLinks(t *testing.T) {
	m := suspecting(t)
	list := probes(false, false, false)
	list[3].Direct = true
	require.False(t, m.Verified(list, servers, at(100*time.Millisecond)))
	require.False(t, m.Suspected(servers, at(100*time.Millisecond)), "a server has answered on a connection opened since")
	m.Failed(address(5), at(200*time.Millisecond))
	require.False(t, m.Suspected(servers, at(200*time.Millisecond)), "one more has ended")
}

// Guards against requests that are refused though a server answers, while other VMs help no more than they can be helped.
func TestOneServerRestoresLinksThatNobodyHelpsWith(t *testing.T) {
	m := suspecting(t)
	require.True(t, m.Verified(probes(false, false, false), servers, at(time.Second)))
	list := probes(false, false, false)
	list[0].Direct = true
	require.True(t, m.Restored(list, servers, at(2*time.Second)))
	require.False(t, m.Lost())
}
