package laburnumvoter_test

import (
	"context"
	"strings"
	"testing"

	"laburnumlever"

	"github.com/stretchr/testify/require"
)

// Guards against large entries that hold up the heartbeats behind them, so that the leader loses its voters.
func TestLargeEntryTravelsInChunks(t *testing.T) {
	f := newFleet(t, []string{"a", "b", "c"})
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
	f := newFleet(t, []string{"a", "b", "c"})
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
