package laburnumroles

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"laburnumlever/laburnumrevocation"
	"laburnumlever/laburnumtimer"

	"github.com/stretchr/testify/require"
)

// Guards against control VMs with slow disks that never confirm a route table, since each commit takes longer than anybody waits for it.
func TestConfirmationThatTakesLongerThanAnybodyWaitsIsTold(t *testing.T) {
	first := make(chan struct{})
	var requests atomic.Int64
	c := newConfirmations(nil, nil)
	c.request = func(ctx context.Context) (laburnumrevocation.Confirmation, error) {
		asked := laburnumtimer.SinceBoot()
		committed := first
		if requests.Add(1) > 1 {
			committed = nil // later ones are not committed in time either
		}
		select {
		case <-committed:
			return laburnumrevocation.Confirmation{Version: 7, AsOf: asked}, nil
		case <-ctx.Done():
			return laburnumrevocation.Confirmation{}, ctx.Err()
		case <-t.Context().Done():
			return laburnumrevocation.Confirmation{}, t.Context().Err()
		}
	}
	ask := func() (laburnumrevocation.Confirmation, error) {
		ctx, cancel := context.WithTimeout(t.Context(), confirmAttemptTimeout)
		defer cancel()
		return c.confirm(ctx)
	}
	_, err := ask()
	require.Error(t, err)
	close(first)
	var told laburnumrevocation.Confirmation
	require.Eventually(t, func() bool {
		told, err = ask()
		return err == nil
	}, maxConfirmAge, time.Millisecond)
	require.Equal(t, uint64(7), told.Version)
}

// Guards against keys refused while the log commits, since control VMs keep confirmations of over 2 s to themselves.
func TestConfirmationIsToldForAsLongAsKeysAreValidByIt(t *testing.T) {
	const age = 3 * time.Second
	c := newConfirmations(nil, nil)
	c.last, c.ok = laburnumrevocation.Confirmation{Version: 7, AsOf: laburnumtimer.SinceBoot() - age}, true
	c.request = func(context.Context) (laburnumrevocation.Confirmation, error) {
		<-t.Context().Done() // the next one is not committed yet
		return laburnumrevocation.Confirmation{}, t.Context().Err()
	}
	ctx, cancel := context.WithTimeout(t.Context(), confirmAttemptTimeout)
	defer cancel()
	told, err := c.confirm(ctx)
	require.NoError(t, err)
	require.Equal(t, uint64(7), told.Version)
	require.GreaterOrEqual(t, laburnumtimer.SinceBoot()-told.AsOf, age)
}
