package laburnumroles

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumconcurrency"
	"laburnumlever/laburnumquarantine"
	"laburnumlever/laburnumtimer"
)

// busyKeeper is a control VM whose first answers are lost.
type busyKeeper struct {
	laburnumlever.Peers
	mu       sync.Mutex
	lost     int
	asked    []laburnumconcurrency.AskID
	returned []laburnumconcurrency.Release
	ended    []laburnumquarantine.TrialEnd
}

func (b *busyKeeper) Call(_ context.Context, address, method string, params, _ any) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if method == methodLease {
		b.asked = append(b.asked, params.(laburnumconcurrency.Request).Ask)
		return &laburnumlever.PeerLostError{Address: address}
	}
	if b.lost > 0 {
		b.lost--
		return &laburnumlever.PeerLostError{Address: address}
	}
	switch told := params.(type) {
	case []laburnumconcurrency.Release:
		b.returned = append(b.returned, told...)
	case laburnumquarantine.TrialEnd:
		b.ended = append(b.ended, told)
	}
	return nil
}

// ends returns the trials whose ends the control VM was told.
func (b *busyKeeper) ends() []laburnumquarantine.TrialEnd {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// returns returns what the control VM was told.
func (b *busyKeeper) returns() []laburnumconcurrency.Release {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.returned
}

func keepersOf(t *testing.T, peers laburnumlever.Peers) *limitKeepers {
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	controls := func(laburnumlever.ZoneName, laburnumlever.BackendID) []string { return []string{"c-1"} }
	return newLimitKeepers(newKeeperCalls(peers, timers), timers, log.NewNopLogger(), controls)
}

// Guards against a slot of a brittle server that is out until a deadline since a control VM was busy when its lease came back.
func TestReturnedLeasesAreSentUntilTheyArrive(t *testing.T) {
	keeper := &busyKeeper{lost: 2}
	k := keepersOf(t, keeper)
	k.Return(laburnumlever.Heartbeat{Backend: "i-1"}, "c-1", laburnumconcurrency.Release{Backend: "i-1", Lease: 7})
	require.Eventually(t, func() bool { return len(keeper.returns()) > 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, []laburnumconcurrency.Release{{Backend: "i-1", Lease: 7}}, keeper.returns())
}

// Guards against an old change that overtakes a newer one since it is sent again.
func TestChangesAreNotSentAgain(t *testing.T) {
	keeper := &busyKeeper{lost: 2}
	k := keepersOf(t, keeper)
	change := laburnumconcurrency.Limit{Backend: "i-1", Slots: 4, Rejections: 2}
	k.Return(laburnumlever.Heartbeat{Backend: "i-1"}, "c-1", laburnumconcurrency.Release{Backend: "i-1", Change: &change})
	k.Return(laburnumlever.Heartbeat{Backend: "i-1"}, "c-1", laburnumconcurrency.Release{Backend: "i-1", Lease: 7, Change: &change})
	require.Eventually(t, func() bool { return len(keeper.returns()) > 0 }, 10*time.Second, time.Millisecond)
	require.Contains(t, keeper.returns(), laburnumconcurrency.Release{Backend: "i-1", Lease: 7})
}

// Guards against a slot of a brittle server that is out until a deadline since the lease came too late for the gateway.
func TestLeasesThatComeTooLateAreReturned(t *testing.T) {
	keeper := &busyKeeper{}
	_, _, err := keepersOf(t, keeper).Lease(t.Context(), laburnumconcurrency.Request{Limit: laburnumconcurrency.Limit{Backend: "i-1"}})
	require.Error(t, err)
	require.Eventually(t, func() bool { return len(keeper.returns()) > 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, []laburnumconcurrency.Release{{Backend: "i-1", Ask: keeper.asked[0]}}, keeper.returns())
}

// Guards against a refused part that nobody can clear for ten seconds since a control VM was busy when its trial ended.
func TestEndsOfTrialsAreSentUntilTheyArrive(t *testing.T) {
	keeper := &busyKeeper{lost: 2}
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	k := &trialKeepers{calls: newKeeperCalls(keeper, timers), logger: log.NewNopLogger()}
	k.EndTrial("c-1", laburnumquarantine.TrialEnd{Trial: 7})
	require.Eventually(t, func() bool { return len(keeper.ends()) > 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, []laburnumquarantine.TrialEnd{{Trial: 7}}, keeper.ends())
}
