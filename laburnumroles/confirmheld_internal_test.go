package laburnumroles

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumeventloop"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumrevocation"
	"laburnumlever/laburnumtimer"
	"laburnumlever/laburnumvoter"
)

// latePeers answer questions for confirmations after a time, and nothing else.
type latePeers struct {
	laburnumlever.Peers
	late map[string]time.Duration
}

func (p latePeers) Handle(string, laburnumlever.PeerHandler) {}

func (p latePeers) Notify(string, string, any) {}

func (p latePeers) Call(ctx context.Context, address, method string, _, result any) error {
	late, answers := p.late[address]
	if method != methodConfirmRoutes || !answers {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(late):
		return json.Unmarshal([]byte(`{"version":1}`), result)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Guards against gateways that refuse all keys, since each control VM is given up before its answer and asked anew.
func TestLateAnswerOfAControlVMConfirmsKeys(t *testing.T) {
	const late = 3 * confirmAttemptTimeout
	self := laburnumlever.VM{ID: "g", Zone: "a", PeerAddress: "g"}
	peers := latePeers{late: map[string]time.Duration{"a": late, "b": late, "c": late}}
	timers := laburnumtimer.New()
	fleet := laburnumgateway.NewFleet(timers, self, time.Second, 1)
	follower := laburnumfeed.NewFollower(peers, timers, self, []string{"a", "b", "c"}, fleet)
	t.Cleanup(follower.Close)
	confirmer := routesConfirmer{
		peers: peers, timers: timers, self: self,
		follower: func() *laburnumfeed.Follower { return follower }, fleet: func() *laburnumgateway.Fleet { return fleet },
	}
	began := time.Now()
	require.NoError(t, confirmer.Confirm(t.Context()))
	require.Less(t, time.Since(began), 2*late)
}

// Guards against control VMs that search for a leader among starved VMs for longer than the election takes.
func TestRoutesAreConfirmedByWhicheverVoterLeadsNext(t *testing.T) {
	const late = 3 * leaderAnswerTime
	self := laburnumlever.VM{ID: "d", PeerAddress: "d"}
	voters := []laburnumlever.Voter{{VM: "a", PeerAddress: "a"}, {VM: "b", PeerAddress: "b"}, {VM: "c", PeerAddress: "c"}}
	peers := latePeers{late: map[string]time.Duration{"b": late}}
	voter, err := laburnumvoter.New(laburnumeventloop.New(), laburnumtimer.New(), peers, self, laburnumvoter.WithVoters(voters))
	require.NoError(t, err)
	began := time.Now()
	confirmed, err := newConfirmations(peers, voter).requestFromVoters(t.Context())
	require.NoError(t, err)
	require.Equal(t, uint64(1), confirmed.Version)
	require.Less(t, time.Since(began), 2*late)
}

// Guards against an answer that a question which was held makes seem older than it is, so that keys are refused again too soon, or newer.
func TestHeldAnswerIsDatedFromItsConfirmation(t *testing.T) {
	const held = 400 * time.Millisecond
	voter, err := laburnumvoter.New(laburnumeventloop.New(), laburnumtimer.New(), latePeers{}, laburnumlever.VM{ID: "a"})
	require.NoError(t, err)
	c := newConfirmations(latePeers{}, voter)
	c.request = func(ctx context.Context) (laburnumrevocation.Confirmation, error) {
		<-ctx.Done()
		return laburnumrevocation.Confirmation{}, ctx.Err()
	}
	time.AfterFunc(held, func() { c.note(laburnumrevocation.Confirmation{Version: 7, AsOf: laburnumtimer.SinceBoot()}) })
	params, err := json.Marshal(confirmRequest{Leader: true, Hold: laburnumlever.Duration(confirmHold)})
	require.NoError(t, err)
	asked := laburnumtimer.SinceBoot()
	told, err := c.handle(t.Context(), params)
	require.NoError(t, err)
	answer, ok := told.(confirmAnswer)
	require.True(t, ok)
	asOf := asked - time.Duration(answer.Age)
	confirmed, _ := c.latest()
	require.LessOrEqual(t, asOf, confirmed.AsOf)
	require.Greater(t, asOf, confirmed.AsOf-held/4)
}

// Guards against reads of the manifest that fail while the log commits, since each waits for a commit of its own.
func TestNewestVersionIsReadFromALaterConfirmation(t *testing.T) {
	const commit = operatorProposalTimeout / 2
	self := laburnumlever.VM{ID: "d", PeerAddress: "d"}
	voter, err := laburnumvoter.New(laburnumeventloop.New(), laburnumtimer.New(), latePeers{}, self, laburnumvoter.WithVoters([]laburnumlever.Voter{{VM: "a", PeerAddress: "a"}}))
	require.NoError(t, err)
	c := &Control{voter: voter, confirmations: newConfirmations(latePeers{}, voter)}
	c.confirmations.note(laburnumrevocation.Confirmation{Version: 6, AsOf: laburnumtimer.SinceBoot()})
	time.AfterFunc(commit, func() {
		c.confirmations.note(laburnumrevocation.Confirmation{Version: 7, AsOf: laburnumtimer.SinceBoot()})
	})
	version, err := c.newestVersion(t.Context())
	require.NoError(t, err)
	require.Equal(t, uint64(7), version, "the confirmation of before says nothing of what was acknowledged since")
}
