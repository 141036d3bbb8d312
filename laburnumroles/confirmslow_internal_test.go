package laburnumroles

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumdisk"
	"laburnumlever/laburnumeventloop"
	"laburnumlever/laburnumlog"
	"laburnumlever/laburnumtimer"
	"laburnumlever/laburnumvoter"
)

// slowFiles are real files whose syncs can be made to take longer.
type slowFiles struct {
	laburnumdisk.Files
	delay *atomic.Int64
}

type slowFile struct {
	laburnumdisk.File
	delay *atomic.Int64
}

func (f slowFiles) OpenAppend(path string) (laburnumdisk.File, error) {
	file, err := f.Files.OpenAppend(path)
	return slowFile{file, f.delay}, err
}

func (f slowFiles) Create(path string) (laburnumdisk.File, error) {
	file, err := f.Files.Create(path)
	return slowFile{file, f.delay}, err
}

func (f slowFile) Sync() error {
	<-time.After(time.Duration(f.delay.Load()))
	return f.File.Sync()
}

// Guards against gateways that refuse all keys while the log commits, as each commit takes longer than one question may.
func TestKeysAreConfirmedWhileCommitsAreSlow(t *testing.T) {
	const (
		commit = confirmAttemptTimeout + 100*time.Millisecond
		// revoke is how long keys stay valid without a confirmation; commits are far shorter.
		revoke = 5 * time.Second
	)
	self := laburnumlever.VM{ID: "a", PeerAddress: "a", HasDisk: true}
	peers := scriptedPeers{answer: func(string, string) (any, error) { return nil, errors.New("no other VM") }}
	delay := new(atomic.Int64)
	loop, timers := laburnumeventloop.New(), laburnumtimer.New()
	voter, err := laburnumvoter.New(loop, timers, peers, self,
		laburnumvoter.WithDataFolder(t.TempDir()), laburnumvoter.WithVoters([]laburnumlever.Voter{{VM: self.ID, PeerAddress: self.PeerAddress}}),
		laburnumvoter.WithDisk(laburnumdisk.WithFiles(slowFiles{laburnumdisk.OSFiles(), delay})))
	require.NoError(t, err)
	go loop.Run()
	t.Cleanup(func() { require.NoError(t, voter.Close()); loop.Stop(); <-loop.Done() })
	voter.Start()
	require.Eventually(t, func() bool { return voter.Status().Role == laburnumlog.Leader.String() }, 10*time.Second, time.Millisecond)
	delay.Store(int64(commit))
	_, err = voter.Propose(t.Context(), laburnumlever.Command{Kind: laburnumlever.CommandNoop})
	require.NoError(t, err, "the log commits")

	c := newConfirmations(peers, voter)
	for asked := time.Now(); ; {
		ctx, cancel := context.WithTimeout(t.Context(), confirmAttemptTimeout)
		confirmed, err := c.confirm(ctx)
		cancel()
		if err == nil {
			require.Less(t, laburnumtimer.SinceBoot()-confirmed.AsOf, revoke)
			return
		}
		require.Less(t, time.Since(asked), revoke, "no question is answered: %v", err)
	}
}
