package laburnumroles

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumpeer"
	"laburnumlever/laburnumquarantine"
	"laburnumlever/laburnumsettings"
	"laburnumlever/laburnumtimer"
)

// Guards against a control VM that refuses a lifted part on since it missed the only report of the lift, or has restarted since.
func TestLiftReachesControlVMThatMissedIt(t *testing.T) {
	var calls atomic.Int32
	reports := make(chan laburnumquarantine.Report, 8)
	other := laburnumpeer.New("127.0.0.2")
	other.Handle(methodQuarantineReport, func(_ context.Context, params laburnumlever.RawMessage) (any, error) {
		if calls.Add(1) == 1 {
			return nil, &NotLeaderError{}
		}
		var report laburnumquarantine.Report
		if err := json.Unmarshal(params, &report); err != nil {
			return nil, err
		}
		reports <- report
		return struct{}{}, nil
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = other.Serve(ln) }()
	t.Cleanup(func() { _, _ = ln.Close(), other.Close() })

	second := laburnumlever.Duration(time.Second)
	c, err := NewControl(laburnumsettings.RoleSettings{
		VM: "127.0.0.1", Zone: "brest", PeerPort: 7600, Seeds: []string{"127.0.0.1:7601"}, DataFolder: t.TempDir(), FirstStart: true,
		Times: laburnumsettings.RoleTimes{Heartbeat: second, Lease: 3 * second}, Log: laburnumsettings.Log{Level: "info"},
	}, nil, nil)
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = c.voter.Close(), c.peers.Close() })
	vm := laburnumlever.VM{ID: "127.0.0.2", PeerAddress: ln.Addr().String(), Zone: "vannes", HasDisk: true, Incarnation: 1}
	c.source.NoteControl(vm)
	received := func() laburnumquarantine.Report {
		select {
		case report := <-reports:
			return report
		case <-time.After(10 * time.Second):
			require.Fail(t, "the lift was not sent again", "%d calls", calls.Load())
			return laburnumquarantine.Report{}
		}
	}
	c.liftPart(laburnumlever.PartLift{Service: "devis", Part: 0xdead})
	report := received()
	require.Len(t, report.Answers, 1)
	require.Equal(t, laburnumquarantine.Part{Service: "devis", ID: 0xdead}, report.Answers[0].Part)
	require.GreaterOrEqual(t, time.Duration(report.Answers[0].AnsweredAgo), leastLiftDelay, "the time of the lift, not of its sending")
	vm.Incarnation = 2
	c.source.NoteControl(vm)
	require.Len(t, received().Answers, 1, "a start that knows of no lift")
}

// Guards against lifts that are sent without end, to control VMs that are gone or after the process has ended.
func TestLiftsEnd(t *testing.T) {
	for _, shut := range []bool{false, true} {
		timers := laburnumtimer.NewManual(time.Unix(1_790_000_000, 0))
		called := make(chan struct{}, 1<<16)
		peers := scriptedPeers{answer: func(address, _ string) (any, error) {
			called <- struct{}{}
			return nil, &laburnumlever.PeerUnreachableError{Address: address}
		}}
		l := newLifts(peers, timers, log.NewNopLogger(), func() []laburnumlever.VM {
			return []laburnumlever.VM{{ID: "c-2", PeerAddress: "10.0.0.2:7000"}}
		})
		for id := range laburnumlever.PartID(2 * maxLifts) {
			l.add(laburnumquarantine.Part{Service: "devis", ID: id}, laburnumquarantine.Report{})
		}
		require.Equal(t, maxLifts, timers.Pending())
		l.add(laburnumquarantine.Part{Service: "devis", ID: maxLifts}, laburnumquarantine.Report{})
		require.Equal(t, maxLifts, timers.Pending(), "the part is lifted already")
		if shut {
			l.close()
			require.Zero(t, timers.Pending())
			l.add(laburnumquarantine.Part{Service: "devis", ID: 7}, laburnumquarantine.Report{})
		} else {
			timers.Advance(liftTime + mostLiftDelay)
		}
		require.Zero(t, timers.Pending())
		require.Empty(t, l.pending)
		require.LessOrEqual(t, len(called), 2*maxLifts*int(liftTime/mostLiftDelay+6))
	}
}
