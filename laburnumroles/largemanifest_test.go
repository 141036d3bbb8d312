package laburnumroles_test

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumpeer"
)

// linkManifest returns a manifest with routes whose prefixes are random links of a length, as signed links are, and the prefix
// of the last one. It is as long as fits into a number of bytes.
func linkManifest(t *testing.T, version, link, size int) (text []byte, prefix string) {
	var document map[string]any
	require.NoError(t, json.Unmarshal(manifest(version, "confirm"), &document))
	random := rand.NewChaCha8([32]byte{byte(version)})
	routes, _ := document["routes"].([]any)
	length := len(manifest(version, "confirm"))
	for {
		token := make([]byte, link)
		_, _ = random.Read(token) // never fails
		path := "/" + base64.RawURLEncoding.EncodeToString(token) + "/"
		route := map[string]any{
			"name": fmt.Sprint("visit-", len(routes)), "hostname": "quotes.example", "path_prefix": path, "kind": "idempotent",
			"timeout_ms": 3000, "priority": 0, "service": "rdv", "max_attempts": 2,
		}
		encoded, err := json.Marshal(route)
		require.NoError(t, err)
		if length += len(encoded) + 1; length > size {
			break
		}
		routes, prefix = append(routes, route), path
	}
	document["routes"] = routes
	text, err := json.Marshal(document)
	require.NoError(t, err)
	return append(text, bytes.Repeat([]byte(" "), size-len(text))...), prefix
}

// peers returns the address of a control VM for other VMs.
func (s *deployment) peers(control int) string { return fmt.Sprintf("%s:%d", s.ip(control), s.port) }

// putManifest sends a manifest once, waits long enough for the largest, and returns the status.
func (s *deployment) putManifest(control int, text []byte) int {
	client := &http.Client{Timeout: 20 * time.Second}
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPut, "http://"+s.control(control)+"/v1/config", bytes.NewReader(text))
	require.NoError(s.t, err)
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against a manifest up to the program's bound that is acknowledged and not stored, not in force, or gone after a restart.
func TestLargeManifestsAreStoredAndInForce(t *testing.T) {
	s := newDeployment(t, 3, 1)
	s.until(200, "first manifest", func() (int, []byte) {
		return s.call("PUT", "http://"+s.control(0)+"/v1/config", manifest(7, "confirm"))
	})
	plain := s.startBackendServer("i-rdv", "rdv")
	require.Equal(t, 200, plain.announce(0))
	version := 7
	var last []byte
	for _, shape := range []struct{ link, size int }{
		{link: 6000, size: 2_900_000},
		{link: 24, size: 1_000_000},
		{link: 24, size: laburnumlever.MaxRoutesDocument},
		{link: 6000, size: laburnumlever.MaxRoutesDocument},
	} {
		version++
		text, prefix := linkManifest(t, version, shape.link, shape.size)
		s.until(200, fmt.Sprint("manifest of ", shape.size, " bytes"), func() (int, []byte) { return s.putManifest(version%3, text), nil })
		for i := range s.controls {
			body := s.until(200, "read", func() (int, []byte) { return s.call("GET", "http://"+s.control(i)+"/v1/config", nil) })
			require.True(t, bytes.Equal(text, body), "control VM %d returns %d bytes of version %d", i, len(body), version)
		}
		s.until(200, "in force at the gateway", func() (int, []byte) {
			plain.announce(version % 3)
			return s.call("GET", "http://"+s.callers+prefix+"today", nil, "X-Laburnumlever-Request-Id", fmt.Sprint("r-", version))
		})
		last = text
	}
	for i := range s.controls {
		s.stop(i)
	}
	for i := range s.controls {
		s.startControl(i, 1, false)
	}
	body := s.until(200, "read after a restart", func() (int, []byte) { return s.call("GET", "http://"+s.control(1)+"/v1/config", nil) })
	require.True(t, bytes.Equal(last, body), "%d bytes", len(body))
}

// Guards against a read at another control VM, right after an acknowledgement, that returns the manifest which that VM still had.
func TestReadsReturnTheAcknowledgedManifest(t *testing.T) {
	s := newDeployment(t, 4, 1)
	s.until(200, "first manifest", func() (int, []byte) { return s.putManifest(0, manifest(7, "confirm")), nil })
	for version := 8; version < 48; version++ {
		text, _ := linkManifest(t, version, 24, 20_000*(1+version%3))
		s.until(200, "manifest", func() (int, []byte) { return s.putManifest(version%4, text), nil })
		for i := range s.controls {
			status, body := s.call("GET", "http://"+s.control((version+i)%4)+"/v1/config", nil)
			require.Equal(t, 200, status)
			require.True(t, bytes.Equal(text, body), "version %d: control VM %d returns %.20s", version, (version+i)%4, body)
		}
	}
}

// Guards against a manifest that is stored and then fits into no gateway, as its keys' hashes are far longer than the keys.
func TestManifestThatGatewaysCannotHoldIsRefused(t *testing.T) {
	s := newDeployment(t, 3, 1)
	s.until(200, "first manifest", func() (int, []byte) { return s.putManifest(0, manifest(7, "confirm")), nil })
	var document map[string]any
	require.NoError(t, json.Unmarshal(manifest(8, "confirm"), &document))
	var keys []string
	for i := range 400_000 {
		keys = append(keys, fmt.Sprintf("%05x", i))
	}
	document["tenants"] = []any{map[string]any{"name": "acme", "api_keys": keys}}
	text, err := json.Marshal(document)
	require.NoError(t, err)
	require.Less(t, len(text), laburnumlever.MaxRoutesDocument)
	require.Equal(t, http.StatusRequestEntityTooLarge, s.putManifest(1, text))
	require.Equal(t, string(manifest(7, "confirm")), string(s.until(200, "read", func() (int, []byte) {
		return s.call("GET", "http://"+s.control(1)+"/v1/config", nil)
	})))
}

// largestAnswerTime is how long the operator of the largest manifest waits for an answer.
const largestAnswerTime = 4500 * time.Millisecond

// Guards against a large manifest that is acknowledged while gateways are still fetching it, so that it is in force too late.
func TestLargeManifestIsAcknowledgedOnceGatewaysHaveIt(t *testing.T) {
	s := newDeployment(t, 3, 1)
	s.until(200, "first manifest", func() (int, []byte) { return s.putManifest(0, manifest(7, "confirm")), nil })
	slow := laburnumpeer.New("slow")
	t.Cleanup(func() { require.NoError(t, slow.Close()) })
	polled := make(chan struct{}, len(s.controls))
	for i := range s.controls {
		go func() {
			poll := map[string]any{"from": laburnumlever.VM{ID: "slow", Zone: "brest"}} // without a cursor it is answered at once
			next := time.NewTicker(100 * time.Millisecond)
			defer next.Stop()
			for t.Context().Err() == nil {
				if err := slow.Call(t.Context(), s.peers(i), "feed-next", poll, new(json.RawMessage)); err == nil {
					select {
					case polled <- struct{}{}:
					default:
					}
				}
				select {
				case <-next.C:
				case <-t.Context().Done():
				}
			}
		}()
	}
	for range s.controls {
		<-polled
	}
	text, _ := linkManifest(t, 8, 6000, laburnumlever.MaxRoutesDocument)
	type answer struct {
		status int
		after  time.Duration
	}
	answered := make(chan answer, 1)
	go func() {
		a := answer{status: http.StatusServiceUnavailable} // on a busy machine the commit may take longer than an operator waits
		for a.status == http.StatusServiceUnavailable {
			sent := time.Now()
			a.status = s.putManifest(1, text)
			a.after = time.Since(sent)
		}
		answered <- a
	}()
	require.Eventually(t, func() bool {
		var status laburnumlever.Status
		_, body := s.call("GET", fmt.Sprintf("http://%s:%d/status", s.ip(1), metricsPort), nil)
		return json.Unmarshal(body, &status) == nil && status.Role.RoutesVersion == 8
	}, eventuallyTimeout, 10*time.Millisecond)
	require.NoError(t, slow.Call(t.Context(), s.peers(1), "feed-routes-part", map[string]any{}, new(json.RawMessage)))
	select {
	case a := <-answered:
		require.GreaterOrEqual(t, a.after, largestAnswerTime, "answered before the gateway had the manifest")
		return
	default:
	}
	for i := range s.controls {
		slow.Notify(s.peers(i), "feed-routes-in-effect", map[string]any{"from": "slow", "version": 8})
	}
	require.Equal(t, http.StatusOK, (<-answered).status)
}
