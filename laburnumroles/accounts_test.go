package laburnumroles_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumfleet"
	"laburnumlever/laburnumpeer"
	"laburnumlever/laburnumquota"
	"laburnumlever/laburnumsettings"
)

const (
	revokeTime  = 2 * time.Second
	quotaWindow = 2 * time.Second
	quotaRate   = 20
	quotaSlack  = 4
)

// accountManifest is a manifest with one client account for each key, named after it; accounts named in limited have a
// quota.
func accountManifest(version int, keys, limited []string) []byte {
	var tenants []string
	for _, key := range keys {
		quota := ""
		for _, l := range limited {
			if l == key {
				quota = fmt.Sprintf(`,"rate_per_s":%d,"burst":%d`, quotaRate, quotaRate)
			}
		}
		tenants = append(tenants, fmt.Sprintf(`{"name":"account-of-%s","api_keys":["%s"]%s}`, key, key, quota))
	}
	text := strings.TrimSpace(string(manifest(version, "confirm")))
	return []byte(strings.TrimSuffix(text, "}") + `,"tenants":[` + strings.Join(tenants, ",") + "]}")
}

// newAccountDeployment starts three control VMs, some gateways and a backend server, and applies a manifest.
func newAccountDeployment(t *testing.T, gateways int, body []byte) (*deployment, *backendServer) {
	addresses, err := laburnumfleet.ReservePorts(t.Context(), 1)
	require.NoError(t, err)
	host := strings.Split(addresses[0], ":")[0]
	s := &deployment{t: t, net: host[:strings.LastIndexByte(host, '.')], port: 7600, change: func(settings *laburnumsettings.RoleSettings) {
		settings.Times.Revoke = laburnumlever.Duration(revokeTime)
		settings.Quota = laburnumsettings.RoleQuota{Overshoot: 0.1, Slack: quotaSlack, Window: laburnumlever.Duration(quotaWindow)}
	}}
	for i := range 3 {
		s.folders = append(s.folders, t.TempDir())
		s.startControl(i, 1, true)
	}
	s.startGateway()
	for i := 1; i < gateways; i++ {
		s.startGatewayAt(i)
	}
	s.until(200, "manifest", s.put(0, body))
	server := s.startBackendServer("i-rdv", "rdv")
	require.Equal(t, 200, server.announce(0))
	return s, server
}

func (s *deployment) put(control int, body []byte) func() (int, []byte) {
	return func() (int, []byte) { return s.call("PUT", "http://"+s.control(control)+"/v1/config", body) }
}

// confirm books at a gateway with a key.
func (s *deployment) confirm(gateway int, key string) func() (int, []byte) {
	return func() (int, []byte) {
		return s.call("POST", "http://"+s.gatewayAddress(gateway)+"/confirm/x", []byte("visit"), "X-Laburnumlever-Request-Id", "r-1", "X-Api-Key", key)
	}
}

// Guards against revoked keys that a gateway goes on to accept, and new ones that it does not come to accept.
func TestKeysFollowTheManifestOnAllGateways(t *testing.T) {
	s, server := newAccountDeployment(t, 2, accountManifest(7, []string{"k1", "k2"}, nil))
	for gateway := range 2 {
		s.until(200, "valid key", s.confirm(gateway, "k1"))
		status, _ := s.confirm(gateway, "k3")()
		require.Equal(t, http.StatusUnauthorized, status)
	}
	s.until(200, "other keys", s.put(1, accountManifest(8, []string{"k2", "k3"}, nil)))
	for gateway := range 2 {
		s.until(http.StatusUnauthorized, "revoked key", s.confirm(gateway, "k1"))
		s.until(200, "new key", s.confirm(gateway, "k3"))
	}
	require.Positive(t, server.arrivals.Load())
	status, _ := s.put(2, accountManifest(9, []string{"k2", "k2"}, nil))()
	require.Equal(t, http.StatusBadRequest, status)
}

// Guards against a gateway that accepts revoked keys because the control VM that it reaches has no majority.
func TestKeysAreRefusedBehindAControlVMWithoutAMajority(t *testing.T) {
	s, server := newAccountDeployment(t, 1, accountManifest(7, []string{"k1"}, nil))
	s.until(200, "valid key", s.confirm(0, "k1"))
	s.stop(1)
	s.stop(2)
	stopped := time.Now()
	s.until(http.StatusServiceUnavailable, "unconfirmed key", s.confirm(0, "k1"))
	require.Greater(t, time.Since(stopped), revokeTime/4, "keys are accepted as long as they may be")
	require.Eventually(t, func() bool { return time.Since(stopped) > revokeTime }, eventuallyTimeout, time.Millisecond)
	before := server.arrivals.Load()
	for range 10 {
		status, body := s.confirm(0, "k1")()
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, "keys-unconfirmed\n", string(body))
	}
	require.Equal(t, before, server.arrivals.Load())
	s.startControl(1, 1, false)
	s.until(200, "confirmed again", s.confirm(0, "k1"))
}

// Guards against an account that gets its quota from each gateway, and against one that others' demand refuses.
func TestQuotaHoldsForAllGatewaysTogether(t *testing.T) {
	s, server := newAccountDeployment(t, 3, accountManifest(7, []string{"k1", "k2"}, []string{"k1"}))
	for gateway := range 3 {
		s.until(200, "valid key", s.confirm(gateway, "k2"))
	}
	var mu sync.Mutex
	var served []time.Time
	var callers sync.WaitGroup
	end := time.Now().Add(3 * quotaWindow)
	for caller := range 6 {
		callers.Go(func() {
			for time.Now().Before(end) {
				sent := time.Now()
				if status, _ := s.confirm(caller%3, "k1")(); status == 200 {
					mu.Lock()
					served = append(served, sent)
					mu.Unlock()
				}
				status, _ := s.confirm(caller%3, "k2")()
				if status != 200 {
					s.t.Errorf("an account without a quota is answered %d", status)
				}
			}
		})
	}
	callers.Wait()
	require.Positive(t, server.arrivals.Load())
	allowed := int((quotaRate*quotaWindow.Seconds()+quotaRate)*1.1 + quotaSlack)
	most := 0
	for _, from := range served {
		n := 0
		for _, at := range served {
			if !at.Before(from) && at.Sub(from) < quotaWindow {
				n++
			}
		}
		most = max(most, n)
	}
	require.LessOrEqual(t, most, allowed)
	require.Greater(t, most, quotaRate, "the quota is there to be used")
}

// Guards against a control VM that is cut off and goes on to grant a quota that others share among themselves by then.
func TestQuotaIsNotGrantedBehindACut(t *testing.T) {
	s, _ := newAccountDeployment(t, 1, accountManifest(7, []string{"k1", "k2"}, []string{"k1"}))
	s.until(200, "within the quota", s.confirm(0, "k1"))
	s.stop(1)
	s.stop(2)
	ask := []byte(`{"asks":[{"account":"account-of-k1","need":1}]}`)
	peers := laburnumpeer.New("test")
	t.Cleanup(func() { _ = peers.Close() })
	granted := func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var answer struct{ Grants []laburnumquota.Grant }
		err := peers.Call(ctx, fmt.Sprintf("%s:%d", s.ip(0), s.port), "quota-grant", json.RawMessage(ask), &answer)
		return err == nil
	}
	stopped := time.Now()
	require.Eventually(t, func() bool { return time.Since(stopped) > revokeTime+time.Second }, eventuallyTimeout, 10*time.Millisecond)
	for range 5 {
		require.False(t, granted())
	}
	s.startControl(1, 1, false)
	require.Eventually(t, granted, eventuallyTimeout, 20*time.Millisecond)
}
