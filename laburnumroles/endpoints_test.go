package laburnumroles_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumsettings"
)

// Guards against callers who are refused after a restart of all VMs until the backend servers announce themselves.
func TestGatewaysServeAfterARestartOfAllVMsBeforeServersAnnounceThemselves(t *testing.T) {
	s := newDeploymentWith(t, 3, 1, func(_ *deployment, settings *laburnumsettings.RoleSettings) { settings.RememberServers = true })
	x := s.startServer("rdv", "/confirm/x")
	for _, folder := range s.folders {
		require.Eventually(t, func() bool {
			_, err := os.Stat(filepath.Join(folder, "endpoints"))
			return err == nil
		}, eventuallyTimeout, 20*time.Millisecond)
	}
	s.killGateway()
	for i := range s.controls {
		s.stop(i)
	}
	before := x.arrivals.Load()
	for i := range s.controls {
		s.startControl(i, 1, false)
	}
	s.gateway = s.startGatewayAt(0)
	s.until(200, "a remembered server", func() (int, []byte) {
		return s.call("POST", "http://"+s.callers+"/confirm/x", []byte("visit"), "X-Laburnumlever-Request-Id", "r-1")
	})
	require.Greater(t, x.arrivals.Load(), before)
	s.until(503, "a server that does not announce itself", func() (int, []byte) {
		return s.call("POST", "http://"+s.callers+"/confirm/x", []byte("visit"), "X-Laburnumlever-Request-Id", "r-2")
	})
}
