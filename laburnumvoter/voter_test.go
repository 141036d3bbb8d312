package laburnumvoter_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumeventloop"
	"laburnumlever/laburnumtimer"
	"laburnumlever/laburnumvoter"

	"github.com/stretchr/testify/require"
)

const (
	tick        = 5 * time.Millisecond
	waitTimeout = 20 * time.Second
)

// fleet is a set of VMs on one network, each replica with its own data folder.
type fleet struct {
	t      testing.TB
	net    *network
	root   string
	voters []laburnumlever.Voter
	opts   []laburnumvoter.Option
	vms    map[string]*vm
	// ticksPaused suppresses the ticks of all VMs.
	ticksPaused atomic.Bool
	// clockOffset is added to the clocks of all VMs, in nanoseconds.
	clockOffset atomic.Int64
}

// advanceClocks moves the clocks of all VMs forward; the tick rate stays the same.
func (f *fleet) advanceClocks(d time.Duration) { f.clockOffset.Add(int64(d)) }

// fleetTimers are timers whose periodic calls the fleet can suppress and whose clock it can
// advance.
type fleetTimers struct {
	laburnumlever.Timers
	fleet *fleet
	ticks *atomic.Int64
}

func (t fleetTimers) Now() time.Time { return t.shifted(t.Timers.Now()) }

func (t fleetTimers) shifted(now time.Time) time.Time {
	return now.Add(time.Duration(t.fleet.clockOffset.Load()))
}

func (t fleetTimers) Every(period time.Duration, fn func(now time.Time)) func() {
	return t.Timers.Every(period, func(now time.Time) {
		if !t.fleet.ticksPaused.Load() {
			fn(t.shifted(now))
			t.ticks.Add(1)
		}
	})
}

// barrier is an event that signals when the control thread has handled all events before it.
type barrier struct{ handled chan struct{} }

func (b barrier) Handle(laburnumlever.Event) { close(b.handled) }

func (barrier) EventName() string { return "barrier" }

// waitTick waits until the VM has handled a tick that was posted after the call.
func (f *fleet) waitTick(m *vm) {
	before := m.ticks.Load()
	f.wait("a tick", func() bool { return m.ticks.Load() > before+1 })
	m.waitHandled()
}

// waitHandled waits until the VM's control thread has handled all events before the call. A status is published at the end of an
// event, after the proposals that it commits have been answered.
func (m *vm) waitHandled() {
	b := barrier{handled: make(chan struct{})}
	m.loop.Post(b, b)
	<-b.handled
}

type vm struct {
	*laburnumvoter.Voter
	port      *port
	loop      *laburnumeventloop.Loop
	timers    *laburnumtimer.Timers
	revisions chan uint64
	ticks     atomic.Int64
	// committed receives the times before the VM's own entries that it has committed as the leader.
	committed chan time.Duration
}

func newFleet(t testing.TB, names []string, opts ...laburnumvoter.Option) *fleet {
	f := &fleet{t: t, net: newNetwork(), root: t.TempDir(), vms: map[string]*vm{}, opts: opts}
	for _, name := range names {
		f.voters = append(f.voters, laburnumlever.Voter{VM: laburnumlever.VMID(name), PeerAddress: name})
	}
	t.Cleanup(func() {
		for name := range f.vms {
			f.stop(name)
		}
	})
	return f
}

func (f *fleet) folder(name string) string { return filepath.Join(f.root, name) }

// start starts a VM. With an empty folder the VM has no replica.
func (f *fleet) start(name, folder string, opts ...laburnumvoter.Option) *vm {
	m := &vm{port: f.net.open(name), loop: laburnumeventloop.New(), timers: laburnumtimer.New(), revisions: make(chan uint64, 1<<12), committed: make(chan time.Duration, 1<<12)}
	all := append([]laburnumvoter.Option{
		laburnumvoter.WithDataFolder(folder), laburnumvoter.WithVoters(f.voters), laburnumvoter.WithTick(tick),
		laburnumvoter.WithProposalTimeout(waitTimeout),
	}, f.opts...)
	self := laburnumlever.VM{ID: laburnumlever.VMID(name), PeerAddress: name, HasDisk: folder != ""}
	v, err := laburnumvoter.New(m.loop, fleetTimers{m.timers, f, &m.ticks}, m.port, self, append(all, opts...)...)
	require.NoError(f.t, err)
	m.Voter = v
	v.OnCatalogue(func(c laburnumlever.Catalogue) { m.revisions <- c.Revision })
	v.OnCommitted(func(_ uint64, asOf time.Duration) {
		select {
		case m.committed <- asOf:
		default: // only the first ones are of interest
		}
	})
	go m.loop.Run()
	v.Start()
	f.vms[name] = m
	return m
}

func (f *fleet) startAll() {
	for _, v := range f.voters {
		f.start(string(v.VM), f.folder(string(v.VM)))
	}
}

// stop stops a VM. It is cut off first, so to the others it looks like a kill.
func (f *fleet) stop(name string) {
	m := f.vms[name]
	delete(f.vms, name)
	f.net.close(m.port)
	require.NoError(f.t, m.Close())
	m.loop.Stop()
	<-m.loop.Done()
	m.timers.Close()
}

func (f *fleet) wait(what string, cond func() bool) {
	f.t.Helper()
	require.Eventually(f.t, cond, waitTimeout, time.Millisecond, what)
}

func (f *fleet) leader() string {
	f.t.Helper()
	var name string
	f.wait("a leader", func() bool {
		for n, m := range f.vms {
			if m.Status().Role == "leader" {
				name = n
				return true
			}
		}
		return false
	})
	return name
}

func change(id string, expected uint64) laburnumlever.Command {
	return laburnumlever.Command{Kind: laburnumlever.CommandApplyCatalogue, Apply: &laburnumlever.ApplyCatalogue{
		ChangeID: id, ExpectedRevision: expected,
		Catalogue: laburnumlever.Catalogue{Deployment: laburnumlever.Deployment{Name: id}},
	}}
}

func (m *vm) apply(t testing.TB, id string, expected uint64) laburnumlever.Result {
	t.Helper()
	r, err := m.Propose(context.Background(), change(id, expected))
	require.NoError(t, err)
	return r
}

// reject makes a change that the log rejects, and returns its result.
func (m *vm) reject(t testing.TB, id string, expected uint64) laburnumlever.Result {
	t.Helper()
	_, err := m.Propose(context.Background(), change(id, expected))
	result, rejected := laburnumlever.Rejection(err)
	require.True(t, rejected, "%v", err)
	return result
}

func (m *vm) waitRevision(t testing.TB, want uint64) {
	t.Helper()
	deadline := time.After(waitTimeout)
	for {
		select {
		case got := <-m.revisions:
			if got == want {
				return
			}
		case <-deadline:
			t.Fatalf("revision %d was not reported", want)
		}
	}
}

func TestSingleVoterKeepsChangesOverARestart(t *testing.T) {
	f := newFleet(t, []string{"a"})
	a := f.start("a", f.folder("a"))
	for i := range uint64(20) {
		require.Equal(t, i+1, a.apply(t, "change-"+strconv.FormatUint(i, 10), i).Revision)
	}
	f.stop("a")
	a = f.start("a", f.folder("a"))
	a.waitRevision(t, 20)
	require.Equal(t, laburnumlever.ResultRepeated, a.apply(t, "change-7", 7).Code)
	require.Equal(t, laburnumlever.ResultInvalid, a.reject(t, strings.Repeat("large", 1<<20), 20).Code)
}

// Guards against a command that the log rejects and its proposer takes for carried out, on the leader and on another VM.
func TestRejectedCommandIsAnError(t *testing.T) {
	f := newFleet(t, []string{"a"})
	f.start("a", f.folder("a"))
	client := f.start("d", "")
	for name, tt := range map[string]struct {
		cmd  laburnumlever.Command
		want laburnumlever.ResultCode
	}{
		"too large":   {cmd: change(strings.Repeat("large", 1<<20), 0), want: laburnumlever.ResultInvalid},
		"conflict":    {cmd: change("stale", 7), want: laburnumlever.ResultConflict},
		"not holder":  {cmd: laburnumlever.Command{Kind: laburnumlever.CommandReleaseLease, Lease: &laburnumlever.LeaseCommand{Name: "none", Holder: "x"}}, want: laburnumlever.ResultUnknown},
		"no content":  {cmd: laburnumlever.Command{Kind: laburnumlever.CommandApplyRoutes}, want: laburnumlever.ResultInvalid},
		"not claimed": {cmd: laburnumlever.Command{Kind: laburnumlever.CommandRecordAnswer, Answer: &laburnumlever.RecordAnswer{Key: "none"}}, want: laburnumlever.ResultUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			for _, proposer := range []*vm{f.vms["a"], client} {
				result, err := proposer.Propose(context.Background(), tt.cmd)
				require.Equal(t, laburnumlever.Result{}, result)
				var rejected *laburnumlever.CommandRejectedError
				require.ErrorAs(t, err, &rejected)
				require.Equal(t, tt.want, rejected.Result.Code)
				require.Equal(t, tt.cmd.Kind, rejected.Kind)
			}
		})
	}
}

// Guards against a restarted control VM that delivers the confirmed state on its disk only at its first tick.
func TestRestartDeliversConfirmedCatalogueAtOnce(t *testing.T) {
	f := newFleet(t, []string{"a"})
	m := f.start("a", f.folder("a"))
	f.leader()
	m.apply(t, "first", 0)
	m.apply(t, "second", 1)
	f.stop("a")
	m = f.start("a", f.folder("a"), laburnumvoter.WithTick(time.Hour))
	select {
	case got := <-m.revisions:
		require.GreaterOrEqual(t, got, uint64(1))
	case <-time.After(waitTimeout):
		t.Fatal("no revision was reported")
	}
}

// Guards against changes that are lost or applied twice when the leader is killed.
func TestChangesSurviveLeaderCrash(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"})
	f.startAll()
	// It has no disk, and must retry an attempt that was lost with the leader.
	client := f.start("d", "")
	revision := uint64(0)
	for round := range 3 {
		for range 10 {
			id := strconv.FormatUint(revision, 10)
			require.Equal(t, revision+1, client.apply(t, id, revision).Revision, "round %d", round)
			revision++
		}
		dead := f.leader()
		f.stop(dead)
		revision = client.apply(t, "after-"+strconv.Itoa(round), revision).Revision
		f.start(dead, f.folder(dead)).waitRevision(t, revision)
	}
	require.EqualValues(t, 33, revision)
}

// Guards against losing acknowledged changes when a VM loses its data folder and a second VM is lost right after.
func TestLostFolderThenASecondLoss(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"}, laburnumvoter.WithSnapshotBytes(2000))
	f.startAll()
	revision := uint64(0)
	write := func(m *vm, n int) {
		for range n {
			revision = m.apply(t, "change-"+strconv.FormatUint(revision, 10), revision).Revision
		}
	}
	write(f.vms["a"], 40)
	f.stop("c")
	require.NoError(t, os.RemoveAll(f.folder("c")))
	c := f.start("c", f.folder("c"))
	f.wait("c is a voter again", func() bool {
		s := c.Status()
		return (s.Role == "follower" || s.Role == "leader") && len(s.Voters) == 3 && s.Applied > 40
	})
	f.stop("b")
	require.NoError(t, os.RemoveAll(f.folder("b")))
	write(c, 5)
	require.EqualValues(t, 45, revision)
	b := f.start("b", f.folder("b"))
	b.waitRevision(t, 45)
}

// Guards against a voter that lost its folder and becomes a voter again only at the leader's next tick.
func TestLostFolderIsRepairedWithoutWaiting(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"})
	f.startAll()
	f.vms["a"].apply(t, "first", 0)
	lost := "c"
	if f.leader() == lost {
		lost = "b"
	}
	f.stop(lost)
	require.NoError(t, os.RemoveAll(f.folder(lost)))
	f.ticksPaused.Store(true)
	back := f.start(lost, f.folder(lost))
	f.wait("it is a voter again", func() bool {
		s := back.Status()
		return s.Role == "follower" && len(s.Voters) == 3
	})
}

// Guards against a voter that passes for repaired while its lost replica still counts in one of two majorities.
func TestVoterUnderReplacementIsNamedTwice(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"})
	f.startAll()
	f.vms["a"].apply(t, "first", 0)
	f.ticksPaused.Store(true) // no election comes between
	leader := f.leader()
	lost, third := "b", "c"
	switch leader {
	case lost:
		lost = "a"
	case third:
		third = "a"
	default:
	}
	f.stop(lost)
	require.NoError(t, os.RemoveAll(f.folder(lost)))
	var withheld atomic.Bool
	withheld.Store(true)
	take := f.vms[third].port.handler("log-message-append")
	f.vms[third].port.Handle("log-message-append", func(ctx context.Context, params laburnumlever.RawMessage) (any, error) {
		if withheld.Load() && bytes.Contains(params, []byte(`"joining":true`)) {
			return nil, nil
		}
		return take(ctx, params)
	})
	back := f.start(lost, f.folder(lost))
	named := func() (n int) {
		for _, voter := range back.Status().Voters {
			if voter.VM == laburnumlever.VMID(lost) {
				n++
			}
		}
		return n
	}
	f.wait("it votes", func() bool { return back.Status().Role == "follower" && len(back.Status().Voters) > 0 })
	require.Equal(t, 2, named(), "%+v", back.Status())
	f.stop(leader)
	f.ticksPaused.Store(false)
	for range 200 { // ten times the longest wait for an election
		f.waitTick(back)
		f.waitTick(f.vms[third])
		for _, m := range f.vms {
			require.NotEqual(t, "leader", m.Status().Role, "%+v", m.Status())
		}
	}
	withheld.Store(false)
	f.start(leader, f.folder(leader))
	f.wait("it is repaired", func() bool { return back.Votes() && named() == 1 })
	f.stop(f.leader())
	for _, m := range f.vms {
		require.EqualValues(t, 2, m.apply(t, "second", 1).Revision)
		return
	}
}

// Guards against a first change that is committed by too few voters to tolerate the configured losses.
func TestFirstChangeWaitsForTheVoters(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"}, laburnumvoter.WithVoterTarget(5), laburnumvoter.WithFirstChangeTolerance(2, time.Hour))
	f.startAll()
	f.leader()
	short, cancel := context.WithTimeout(context.Background(), 40*tick)
	defer cancel()
	_, err := f.vms["a"].Propose(short, change("too soon", 0))
	var none *laburnumlever.NoQuorumError
	require.ErrorAs(t, err, &none)
	f.start("d", f.folder("d"))
	f.start("e", f.folder("e"))
	require.EqualValues(t, 1, f.vms["a"].apply(t, "first", 0).Revision)
	require.Len(t, f.vms[f.leader()].Status().Voters, 5)
}

// Guards against both or neither of two concurrent changes at the same revision being applied.
func TestRacingOperators(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"})
	f.startAll()
	for round := range uint64(5) {
		results := make(chan laburnumlever.Result, 2)
		for _, name := range []string{"a", "b"} {
			go func() {
				r, err := f.vms[name].Propose(context.Background(), change(name+strconv.FormatUint(round, 10), round))
				if rejection, rejected := laburnumlever.Rejection(err); rejected {
					r = rejection
				}
				results <- r
			}()
		}
		one, two := <-results, <-results
		codes := []laburnumlever.ResultCode{one.Code, two.Code}
		require.ElementsMatch(t, []laburnumlever.ResultCode{laburnumlever.ResultOK, laburnumlever.ResultConflict}, codes)
		require.Equal(t, round+1, one.Revision)
		require.Equal(t, round+1, two.Revision)
	}
}

// Guards against a cut-off leader that keeps accepting commands.
func TestCutOffLeaderStepsDown(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"})
	f.startAll()
	f.vms["a"].apply(t, "first", 0)
	old := f.leader()
	cut := func(on, both bool) {
		for _, v := range f.voters {
			f.net.cut(string(v.VM), old, on)
			f.net.cut(old, string(v.VM), on && both)
		}
	}
	// It can send but not receive, then neither.
	cut(true, false)
	f.wait("the old leader steps down", func() bool { return f.vms[old].Status().Role != "leader" })
	cut(true, true)
	f.wait("another VM is the leader", func() bool { n := f.leader(); return n != old })
	short, cancel := context.WithTimeout(context.Background(), 20*tick)
	defer cancel()
	_, err := f.vms[old].Propose(short, change("refused", 1))
	var none *laburnumlever.NoQuorumError
	require.ErrorAs(t, err, &none)
	f.vms[f.leader()].apply(t, "second", 1)
	cut(false, false)
	f.vms[old].waitRevision(t, 2)
}

// Guards against keys that stay unconfirmed after an election until somebody has asked for another commit.
func TestLeadersFirstCommitTellsWhenItLed(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"})
	began := laburnumtimer.SinceBoot()
	f.startAll()
	f.wait("a leader", func() bool { return f.leader() != "" })
	select {
	case asOf := <-f.vms[f.leader()].committed:
		require.GreaterOrEqual(t, asOf, began)
		require.LessOrEqual(t, asOf, laburnumtimer.SinceBoot())
	case <-time.After(waitTimeout):
		t.Fatal("the leader has committed nothing")
	}
}
