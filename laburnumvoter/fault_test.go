package laburnumvoter_test

import (
	"context"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumdisk"
	"laburnumlever/laburnumvoter"

	"github.com/stretchr/testify/require"
)

// faultyFiles are real files whose Sync can be made to fail or block.
type faultyFiles struct {
	laburnumdisk.Files
	fail atomic.Bool
	hold atomic.Pointer[chan struct{}]
}

type faultyFile struct {
	laburnumdisk.File
	files *faultyFiles
}

func newFaultyFiles() *faultyFiles { return &faultyFiles{Files: laburnumdisk.OSFiles()} }

func (f *faultyFiles) OpenAppend(path string) (laburnumdisk.File, error) {
	file, err := f.Files.OpenAppend(path)
	return &faultyFile{File: file, files: f}, err
}

func (f *faultyFiles) Create(path string) (laburnumdisk.File, error) {
	file, err := f.Files.Create(path)
	return &faultyFile{File: file, files: f}, err
}

func (f *faultyFile) Sync() error {
	if hold := f.files.hold.Load(); hold != nil {
		<-*hold
	}
	if f.files.fail.Load() {
		return syscall.EIO
	}
	return f.File.Sync()
}

func startWithFaults(f *fleet) map[string]*faultyFiles {
	files := map[string]*faultyFiles{}
	for _, v := range f.voters {
		name := string(v.VM)
		files[name] = newFaultyFiles()
		f.start(name, f.folder(name), laburnumvoter.WithDisk(laburnumdisk.WithFiles(files[name])))
	}
	return files
}

// Guards against a leader that keeps acknowledging changes after its fsync failed.
func TestFailingFsyncStepsDown(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"})
	files := startWithFaults(f)
	f.vms["a"].apply(t, "first", 0)
	old := f.leader()
	files[old].fail.Store(true)
	require.EqualValues(t, 2, f.vms[old].apply(t, "second", 1).Revision)
	f.wait("the disk failure is reported", func() bool { return f.vms[old].Status().Role == "disk-failed" })
	require.EqualValues(t, 3, f.vms[old].apply(t, "third", 2).Revision)
	files[old].fail.Store(false)
	f.stop(old)
	f.start(old, f.folder(old)).waitRevision(t, 3)
}

// Guards against a replica that stays stopped after its disk failed writes only for a while.
func TestReplicaReopensAfterDiskFailure(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"})
	files := startWithFaults(f)
	revision := f.vms["a"].apply(t, "first", 0).Revision
	for i, name := range []string{f.leader(), "a", "b", "c"} {
		files[name].fail.Store(true)
		revision = f.vms[name].apply(t, "change-"+strconv.Itoa(i), revision).Revision
		f.wait("the disk failure is reported", func() bool { return f.vms[name].Status().Role == "disk-failed" })
		files[name].fail.Store(false)
		f.wait("it is a voter again", func() bool { r := f.vms[name].Status().Role; return r == "follower" || r == "leader" })
		f.vms[name].waitRevision(t, revision)
	}
}

// Guards against an election because a slow fsync delays the leader's heartbeats.
func TestSlowDiskDoesNotStopHeartbeats(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"})
	files := startWithFaults(f)
	f.vms["a"].apply(t, "first", 0)
	old := f.leader()
	term := f.vms[old].Status().Term
	hold := make(chan struct{})
	files[old].hold.Store(&hold)
	for i := range uint64(5) {
		require.Equal(t, i+2, f.vms[old].apply(t, "change-"+strconv.FormatUint(i, 10), i+1).Revision)
	}
	passed := make(chan struct{})
	f.vms[old].timers.After(60*tick, func(time.Time) { close(passed) })
	<-passed
	require.Equal(t, "leader", f.vms[old].Status().Role)
	require.Equal(t, term, f.vms[old].Status().Term)
	files[old].hold.Store(nil)
	close(hold)
}

// fleetWithReplacedVoter returns d and its fleet, in which d has replaced the stopped voter c and one
// change was applied.
func fleetWithReplacedVoter(t *testing.T) (*fleet, *vm) {
	f := newFleet(t, []string{"a", "b", "c"}, laburnumvoter.WithReplaceAfter(60*tick))
	f.startAll()
	f.vms["a"].apply(t, "first", 0)
	f.stop("c")
	d := f.start("d", f.folder("d"))
	f.wait("d is a voter", func() bool {
		s := d.Status()
		return s.Role != "learner" && len(s.Voters) == 3 && s.Applied > 0
	})
	return f, d
}

// Guards against losing changes in a second loss, because a spare VM did not replace the first lost voter.
func TestGoneVoterIsReplaced(t *testing.T) {
	f, d := fleetWithReplacedVoter(t)
	f.stop("b")
	require.EqualValues(t, 2, d.apply(t, "second", 1).Revision)
}

// Guards against a replaced voter that comes back and forever warns that the log has no leader.
func TestReplacedVoterKnowsThatItIsStandby(t *testing.T) {
	f, _ := fleetWithReplacedVoter(t)
	logs := &logRecorder{}
	c := f.start("c", f.folder("c"), laburnumvoter.WithLogger(logs))
	f.wait("c is told that it is standby", func() bool { return logs.has(laburnumlever.EventVoterStandby, "replica c/") })
	for range 60 { // more ticks than a voter without a leader waits before it logs that
		f.waitTick(c)
	}
	require.False(t, logs.has(laburnumlever.EventNoLeader))
	_, err := c.Propose(context.Background(), change("second", 1))
	require.NoError(t, err, "c finds the leader")
	for _, voter := range []string{"a", "b", "d"} {
		f.stop(voter)
	}
	f.wait("c logs a missing leader once there is none", func() bool { return logs.has(laburnumlever.EventNoLeader) })
}

// Guards against counting a VM whose folder was restored from an older copy before it has caught up as a new instance.
func TestOlderFolderIsANewInstance(t *testing.T) {
	for name, extraStarts := range map[string]int{"same count of starts": 0, "fewer starts": 2} {
		t.Run(name, func(t *testing.T) {
			logs := &logRecorder{}
			f := newFleet(t, []string{"a", "b", "c"}, laburnumvoter.WithLogger(logs))
			f.startAll()
			revision := f.vms["a"].apply(t, "first", 0).Revision
			f.vms["c"].waitRevision(t, revision)
			_, err := f.vms["a"].Propose(context.Background(), laburnumlever.Command{Kind: laburnumlever.CommandNoop})
			require.NoError(t, err)
			if f.leader() == "c" {
				require.NoError(t, f.vms["c"].TransferLeadership(context.Background()))
			}
			f.stop("c")
			copied := f.folder("copy")
			require.NoError(t, os.CopyFS(copied, os.DirFS(f.folder("c"))))
			for range extraStarts + 1 {
				f.start("c", f.folder("c"))
				revision = f.vms["a"].apply(t, "change-"+strconv.FormatUint(revision, 10), revision).Revision
				f.vms["c"].waitRevision(t, revision)
				f.wait("c knows the leader", func() bool { return f.vms["c"].Status().Leader != "" })
				if f.leader() == "c" {
					require.NoError(t, f.vms["c"].TransferLeadership(context.Background()))
				}
				f.stop("c")
			}
			require.NoError(t, os.RemoveAll(f.folder("c")))
			require.NoError(t, os.Rename(copied, f.folder("c")))
			f.start("c", f.folder("c")).waitRevision(t, revision)
			// Until the leader has noticed, c is a follower according to its older folder.
			f.wait("c is another instance", func() bool { return logs.has(laburnumlever.EventVoterReplaced, "replica c/") })
			f.wait("c is a voter again", func() bool { s := f.vms["c"].Status(); return s.Role != "learner" && len(s.Voters) == 3 })
			f.stop("b")
			require.Equal(t, revision+1, f.vms["c"].apply(t, "last", revision).Revision)
		})
	}
}

func TestLeadershipTransferIsQuick(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"})
	f.startAll()
	f.vms["a"].apply(t, "first", 0)
	old := f.leader()
	require.NoError(t, f.vms[old].TransferLeadership(context.Background()))
	require.EqualValues(t, 2, f.vms[old].apply(t, "second", 1).Revision)
	require.NotEqual(t, old, f.leader())
}

// Guards against a new leader that waits for the whole lease term of a dead holder again.
func TestNewLeaderDoesNotRestartLeaseTerm(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"})
	f.startAll()
	f.vms["a"].apply(t, "first", 0)
	const ttl = time.Hour
	var granted laburnumlever.Result
	acquire := func(vm string, holder laburnumlever.VMID) bool {
		r, err := f.vms[vm].Propose(context.Background(), laburnumlever.Command{Kind: laburnumlever.CommandAcquireLease, Lease: &laburnumlever.LeaseCommand{
			Name: "engines", Holder: holder, Incarnation: 1, TTL: laburnumlever.Duration(ttl),
		}})
		granted = r
		return err == nil && r.Code == laburnumlever.ResultOK
	}
	require.True(t, acquire("a", "x"))
	for _, name := range []string{"a", "b", "c"} {
		m := f.vms[name]
		f.wait("all have applied the lease", func() bool { return m.Status().Applied == f.vms[f.leader()].Status().Applied })
		f.waitTick(m) // in which it starts to measure the lease's term
	}
	f.advanceClocks(ttl / 2)
	old := f.leader()
	f.stop(old)
	next := "a"
	if old == next {
		next = "b"
	}
	require.False(t, acquire(next, "y"), "the lease term is not over")
	f.advanceClocks(ttl / 2)
	f.wait("another holder gets the lease one term after the last renewal", func() bool { return acquire(next, "y") })
	require.GreaterOrEqual(t, time.Duration(granted.Idle), ttl, "the whole time since the last renewal")
	require.Less(t, time.Duration(granted.Idle), ttl+ttl/4)
}

// Guards against a lease that outlives its holder, or whose next holder gets no higher fence.
func TestLeaseEndsWithoutRenewal(t *testing.T) {
	f := newFleet(t, []string{"a"})
	a := f.start("a", f.folder("a"))
	acquire := func(holder laburnumlever.VMID) laburnumlever.Result {
		r, err := a.Propose(context.Background(), laburnumlever.Command{Kind: laburnumlever.CommandAcquireLease, Lease: &laburnumlever.LeaseCommand{
			Name: "zone-1", Holder: holder, Incarnation: 1, TTL: laburnumlever.Duration(40 * tick),
		}})
		if rejection, rejected := laburnumlever.Rejection(err); rejected {
			return rejection
		}
		require.NoError(t, err)
		return r
	}
	first := acquire("x")
	require.Equal(t, laburnumlever.ResultOK, first.Code)
	require.Equal(t, laburnumlever.ResultConflict, acquire("y").Code)
	require.Equal(t, first.Fence, acquire("x").Fence, "the same holder renews")
	var next laburnumlever.Result
	f.wait("the lease ends", func() bool { next = acquire("y"); return next.Code == laburnumlever.ResultOK })
	require.Greater(t, next.Fence, first.Fence)
}
