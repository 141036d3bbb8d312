package laburnumroles

import (
	"os"
	"testing"
	"testing/synctest"
	"time"

	"laburnumlever"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumregistry"
)

// Guards against a control VM that still writes to its data folder after it has stopped.
func TestStoppedControlVMWritesNothingMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newListFixture(t)
		running := &saves{}
		held := make(chan struct{})
		versions := f.restart(true)
		versions.saves = running
		versions.known = func() servicesVersions { <-held; return servicesVersions{"quotes": {"v1"}} }
		servers := newEndpoints(f.folder, running, log.NewNopLogger())
		servers.noteChange()
		servers.saveChanged(func() []laburnumregistry.Record { <-held; return nil })
		versions.save()
		stopped := false
		go func() { running.close(); stopped = true }()
		time.Sleep(time.Minute)
		require.False(t, stopped, "stopped while saves run")
		close(held)
		synctest.Wait()
		require.True(t, stopped)

		require.NoError(t, os.RemoveAll(f.folder))
		require.NoError(t, os.Mkdir(f.folder, 0o700))
		versions.note(laburnumlever.Heartbeat{Service: "quotes", Software: "v2"})
		servers.noteChange()
		servers.saveChanged(func() []laburnumregistry.Record { return nil })
		synctest.Wait()
		left, err := os.ReadDir(f.folder)
		require.NoError(t, err)
		require.Empty(t, left)
	})
}
