package laburnumroles

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"laburnumlever"
	"laburnumlever/laburnumconcurrency"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumtimer"
)

// scriptedPeers answer calls by a function.
type scriptedPeers struct {
	laburnumlever.Peers
	answer func(address, method string) (any, error)
}

func (p scriptedPeers) Handle(string, laburnumlever.PeerHandler) {}

func (p scriptedPeers) Call(_ context.Context, address, method string, _, result any) error {
	answer, err := p.answer(address, method)
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(encoded, result)
}

// Guards against two control VMs that grant leases of one server, since its keeper was too slow for a gateway.
func TestStandInGrantsNoLeasesWhileTheKeeperAnswers(t *testing.T) {
	timers := laburnumtimer.NewManual(time.Unix(1_790_000_000, 0))
	keeperAnswers := true
	peers := scriptedPeers{answer: func(address, _ string) (any, error) {
		if keeperAnswers {
			return struct{}{}, nil
		}
		return nil, &laburnumlever.PeerUnreachableError{Address: address}
	}}
	self := laburnumlever.VM{ID: "c-1", PeerAddress: "10.0.0.1:7000", Zone: "brest", HasDisk: true}
	source := laburnumfeed.NewSource(peers, timers, self)
	source.NoteControl(laburnumlever.VM{ID: "c-2", PeerAddress: "10.0.0.2:7000", Zone: "vannes", HasDisk: true})
	b := newBrittle(timers, peers, self.PeerAddress, source, log.NewNopLogger(), tally.NoopScope)
	lease := func(backend string) laburnumconcurrency.Answer {
		q := laburnumconcurrency.Request{Gateway: "g-1", Limit: laburnumconcurrency.Limit{Backend: laburnumlever.BackendID(backend), Slots: 4, Rejections: 2}}
		encoded, err := json.Marshal(q)
		require.NoError(t, err)
		answer, err := b.handleLease(t.Context(), encoded)
		require.NoError(t, err)
		return answer.(laburnumconcurrency.Answer)
	}
	other, own := "", ""
	for i := 0; other == "" || own == ""; i++ {
		if id := fmt.Sprint("i-", i); source.FirstFor("", id) == self.PeerAddress {
			own = id
		} else {
			other = id
		}
	}
	require.True(t, lease(own).Granted)
	deferred := lease(other)
	require.False(t, deferred.Granted)
	require.Equal(t, "10.0.0.2:7000", deferred.Keeper)
	keeperAnswers = false
	timers.Advance(keeperCheckTime)
	require.True(t, lease(other).Granted, "the keeper is down")
}

// Guards against a gateway that gets no lease for a second, since its keeper was slow once and no other control VM may grant one.
func TestGatewayAsksTheKeeperThatAnswersOthersAgain(t *testing.T) {
	timers := laburnumtimer.NewManual(time.Unix(1_790_000_000, 0))
	asked := 0
	peers := scriptedPeers{answer: func(address, _ string) (any, error) {
		if address == "c-2" {
			return laburnumconcurrency.Answer{Keeper: "c-1"}, nil
		}
		if asked++; asked == 1 {
			return nil, &laburnumlever.PeerLostError{Address: address}
		}
		return laburnumconcurrency.Answer{Granted: true, Lease: 7}, nil
	}}
	calls := newKeeperCalls(peers, timers)
	k := newLimitKeepers(calls, timers, log.NewNopLogger(), func(laburnumlever.ZoneName, laburnumlever.BackendID) []string { return []string{"c-1", "c-2"} })
	answer, keeper, err := k.Lease(t.Context(), laburnumconcurrency.Request{})
	require.NoError(t, err)
	require.True(t, answer.Granted)
	require.Equal(t, "c-1", keeper)
	require.Equal(t, []string{"c-1"}, calls.answering([]string{"c-1"}, 1), "it is not passed over")
}
