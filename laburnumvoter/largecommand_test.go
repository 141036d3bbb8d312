package laburnumvoter_test

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumvoter"

	"github.com/stretchr/testify/require"
)

// deployedTick is the tick of deployments: with a shorter one elections come faster than megabytes travel on a busy machine.
const deployedTick = 100 * time.Millisecond

// Guards against large entries that hold up the heartbeats behind them, so that the leader loses its voters.
func TestLargeEntryTravelsInChunks(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"}, laburnumvoter.WithTick(deployedTick))
	f.startAll()
	leader := f.vms[f.leader()]
	require.EqualValues(t, 1, leader.apply(t, strings.Repeat("large", 300_000), 0).Revision)
	for _, m := range f.vms {
		m.waitRevision(t, 1)
	}
	require.Less(t, f.net.largest.Load(), int64(1<<19), "of an entry of 3 MB")
}

// Guards against large entries that don't reach voters of an earlier build, which take only snapshots in chunks.
func TestLargeEntryReachesVoterOfEarlierBuild(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"}, laburnumvoter.WithTick(deployedTick))
	f.startAll()
	leader := f.leader()
	for name, m := range f.vms {
		if name != leader {
			m.port.Handle("log-snapshot-part", func(context.Context, laburnumlever.RawMessage) (any, error) {
				return map[string]bool{"accepted": false}, nil
			})
		}
	}
	require.EqualValues(t, 1, f.vms[leader].apply(t, strings.Repeat("large", 300_000), 0).Revision)
}

func applyRoutes(t *testing.T, version uint64, document []byte) laburnumlever.Command {
	t.Helper()
	encoded, err := laburnumlever.EncodeDocument(version, document)
	require.NoError(t, err)
	return laburnumlever.Command{Kind: laburnumlever.CommandApplyRoutes, Routes: &encoded}
}

// Guards against the longest operators' text that does not fit into the log, as it hardly compresses.
func TestLongestRoutesDocumentIsCommitted(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"}, laburnumvoter.WithTick(deployedTick))
	f.startAll()
	random := make([]byte, laburnumlever.MaxRoutesDocument)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(random) // never fails
	for version, document := range map[uint64][]byte{1: random, 2: append([]byte(strings.Repeat("a", 1<<20)), random[1<<20:]...)} {
		_, err := f.vms["a"].Propose(context.Background(), applyRoutes(t, version, document))
		require.NoError(t, err)
	}
	for _, m := range f.vms {
		result, err := m.Propose(context.Background(), laburnumlever.Command{Kind: laburnumlever.CommandReadRoutes})
		require.NoError(t, err)
		table, err := result.Routes.Table()
		require.NoError(t, err)
		require.EqualValues(t, 2, table.Version)
		require.True(t, bytes.Equal(random[1<<20:], table.Document[1<<20:]))
	}
}

// Guards against a log that fills with copies of a large route table that an operator sends until it is acknowledged.
func TestRepeatedRoutesTakeOneEntry(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"}, laburnumvoter.WithTick(deployedTick))
	f.startAll()
	document := bytes.Repeat([]byte("link"), 1<<18)
	repeat := func(leader *vm, version uint64) laburnumlever.VoterStatus {
		var all sync.WaitGroup
		for range 20 {
			all.Go(func() {
				result, err := leader.Propose(context.Background(), applyRoutes(t, version, document))
				require.NoError(t, err)
				require.GreaterOrEqual(t, result.RoutesVersion, version)
			})
		}
		all.Wait()
		leader.waitHandled()
		return leader.Status()
	}
	// A new leader commits an entry of its own, so that only a term without an election shows what the tables take.
	for version := uint64(5); ; version += 2 {
		require.Less(t, version, uint64(5+2*5), "an election in each of five rounds")
		leader := f.vms[f.leader()]
		before := repeat(leader, version)
		first := repeat(leader, version+1)
		repeat(leader, version+1)
		again := repeat(leader, version-1)
		if before.Term != again.Term || before.Role != "leader" || again.Role != "leader" {
			t.Logf("an election came between: %+v, %+v, then %+v", before, first, again)
			continue
		}
		require.Equal(t, before.Commit+1, first.Commit, "%+v, then %+v", before, first)
		require.Equal(t, before.Commit+1, again.Commit, "versions that are not higher take none: %+v, then %+v", before, again)
		return
	}
}

// follower returns a VM that is not the leader.
func (f *fleet) follower() *vm {
	leader := f.leader()
	for name, m := range f.vms {
		if name != leader {
			return m
		}
	}
	return nil
}

// randomDocument returns a text of 2 MiB that does not compress.
func randomDocument() []byte {
	document := make([]byte, 2<<20)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(document) // never fails
	return document
}

// Guards against a large command of a VM that is not the leader in one message, which holds up what shares the link.
func TestLargeProposalTravelsInChunks(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"}, laburnumvoter.WithTick(deployedTick))
	f.startAll()
	_, err := f.follower().Propose(context.Background(), applyRoutes(t, 1, randomDocument()))
	require.NoError(t, err)
	require.Less(t, f.net.largest.Load(), int64(1<<19), "of a text of 2 MiB")
}

// Guards against a large command that is never committed where its chunks take longer than one attempt.
func TestLargeProposalContinuesAfterLostChunks(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"}, laburnumvoter.WithTick(deployedTick))
	f.startAll()
	leader, follower := f.vms[f.leader()], f.follower()
	take := leader.port.handler("propose-chunk")
	var chunks atomic.Int64
	leader.port.Handle("propose-chunk", func(ctx context.Context, params laburnumlever.RawMessage) (any, error) {
		answer, err := take(ctx, params)
		if chunks.Add(1)%3 == 0 {
			<-ctx.Done() // the answer is lost
		}
		return answer, err
	})
	command := applyRoutes(t, 1, randomDocument())
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		result, err := follower.Propose(ctx, command)
		return err == nil && result.RoutesVersion == 1
	}, waitTimeout, tick)
}

// Guards against large commands that a leader of an earlier build doesn't get, since it knows no chunks of them.
func TestLargeProposalReachesLeaderOfEarlierBuild(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"}, laburnumvoter.WithTick(deployedTick))
	f.startAll()
	f.vms[f.leader()].port.Handle("propose-chunk", nil)
	_, err := f.follower().Propose(context.Background(), applyRoutes(t, 1, randomDocument()))
	require.NoError(t, err)
}

// Guards against chunks of abandoned commands that are kept forever, so that no other large command is taken.
func TestChunksOfAbandonedProposalsExpire(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"}, laburnumvoter.WithTick(deployedTick))
	f.startAll()
	follower, leader := f.follower(), f.leader()
	chunk := func(digest int) (held int, taken bool) {
		var answer struct {
			Held   int              `json:"held"`
			Answer *json.RawMessage `json:"answer"`
		}
		params := map[string]any{"digest": strconv.Itoa(digest), "size": 1 << 20, "offset": 0, "data": make([]byte, 1<<10)}
		require.NoError(t, follower.port.Call(context.Background(), leader, "propose-chunk", params, &answer))
		return answer.Held, answer.Answer == nil
	}
	for digest := range 4 {
		held, taken := chunk(digest)
		require.True(t, taken)
		require.Equal(t, 1<<10, held)
	}
	_, taken := chunk(5)
	require.False(t, taken, "one more than are kept at once")
	f.advanceClocks(time.Minute)
	f.wait("a place", func() bool { _, taken := chunk(5); return taken })
}
