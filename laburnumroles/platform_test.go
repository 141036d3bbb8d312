package laburnumroles_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumoperator"
	"laburnumlever/laburnumroles"
	"laburnumlever/laburnumsettings"
	"laburnumlever/platform"
	"laburnumlever/platform/laburnumcontrolapi"
)

const metricsPort = 7605

// eventuallyTimeout bounds the wait for a condition; it is far above what a busy machine needs.
const eventuallyTimeout = 60 * time.Second

// deployment is a small deployment of the platform in this process, over loopback: control VMs, a
// gateway and stand-ins for backend servers.
type deployment struct {
	t        *testing.T
	net      string
	port     int
	controls []*laburnumroles.Control
	stopped  []bool
	gateway  *laburnumroles.Gateway
	callers  string
	ready    string
	folders  []string
	// change, unless nil, changes the settings of each VM.
	change func(*laburnumsettings.RoleSettings)
}

func newDeployment(t *testing.T, controls, losses int) *deployment {
	return newDeploymentWith(t, controls, losses, func(*deployment, *laburnumsettings.RoleSettings) {})
}

// newDeploymentWith is newDeployment with changes to the settings of each VM.
func newDeploymentWith(t *testing.T, controls, losses int, change func(*deployment, *laburnumsettings.RoleSettings)) *deployment {
	const most = 250
	s := &deployment{t: t, net: fmt.Sprintf("127.%d.%d", 1+rand.IntN(most), 1+rand.IntN(most)), port: 7600}
	s.change = func(settings *laburnumsettings.RoleSettings) { change(s, settings) }
	for i := range controls {
		s.folders = append(s.folders, t.TempDir())
		s.startControl(i, losses, true)
	}
	s.startGateway()
	return s
}

func (s *deployment) ip(i int) string { return fmt.Sprintf("%s.%d", s.net, 100+i) }

func (s *deployment) control(i int) string { return s.ip(i) + ":7601" }

func (s *deployment) settings(ip string) laburnumsettings.RoleSettings {
	second := laburnumlever.Duration(time.Second)
	settings := laburnumsettings.RoleSettings{
		VM: laburnumlever.VMID(ip), Zone: "brest", PeerPort: s.port, MetricsPort: metricsPort, Seeds: []string{s.control(0), s.control(1), s.control(2)},
		Times: laburnumsettings.RoleTimes{Heartbeat: second, Grace: 8 * second, Lease: 3 * second, CatchUp: 4 * second, Apply: 2 * second},
		Retry: laburnumsettings.RoleRetry{Ratio: 0.2, Slack: 50, Window: 10 * second}, Log: laburnumsettings.Log{Level: "info"},
	}
	if s.change != nil {
		s.change(&settings)
	}
	return settings
}

func (s *deployment) startControl(i, losses int, first bool) {
	settings := s.settings(s.ip(i))
	settings.Listen.Control = s.control(i)
	settings.DataFolder, settings.FirstStart, settings.ControlLosses = s.folders[i], first, losses
	c, err := laburnumroles.NewControl(settings, platform.NewEngines(), platform.DecodeManifest)
	require.NoError(s.t, err)
	handler, err := laburnumcontrolapi.NewHandler(c)
	require.NoError(s.t, err)
	require.NoError(s.t, c.Start(handler))
	if i < len(s.controls) {
		s.controls[i], s.stopped[i] = c, false
	} else {
		s.controls, s.stopped = append(s.controls, c), append(s.stopped, false)
	}
	s.t.Cleanup(func() { s.stop(i) })
}

// stop stops a control VM without a leadership transfer.
func (s *deployment) stop(i int) {
	if s.stopped[i] {
		return
	}
	s.stopped[i] = true
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.controls[i].Shutdown(ctx)
}

func (s *deployment) startGateway() {
	s.gateway = s.startGatewayAt(0)
	s.callers, s.ready = s.gatewayAddress(0), s.ip(firstGateway)+":7603"
}

// firstGateway is the number of the first gateway's address.
const firstGateway = 50

// gatewayAddress returns the address of a gateway for callers.
func (s *deployment) gatewayAddress(i int) string { return s.ip(firstGateway+i) + ":7602" }

func (s *deployment) startGatewayAt(i int, opts ...laburnumroles.Option) *laburnumroles.Gateway {
	ip := s.ip(firstGateway + i)
	settings := s.settings(ip)
	settings.Listen.Callers, settings.Listen.Ready = s.gatewayAddress(i), ip+":7603"
	gateway := laburnumroles.NewGateway(settings, platform.Dialect{}, opts...)
	require.NoError(s.t, gateway.Start(platform.NewReadyHandler))
	s.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		gateway.Shutdown(ctx)
	})
	return gateway
}

func (s *deployment) call(method, url string, body []byte, headers ...string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	require.NoError(s.t, err)
	req.Host = "quotes.example"
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, text
}

// until repeats a call until it returns the expected status, and returns the body.
func (s *deployment) until(status int, what string, call func() (int, []byte)) []byte {
	var body []byte
	last := 0
	require.Eventually(s.t, func() bool {
		last, body = call()
		return last == status
	}, eventuallyTimeout, 20*time.Millisecond, "%s: status %d", what, last)
	return body
}

// status waits until a VM's status meets a condition, and returns it.
func (s *deployment) status(ip string, what string, met func(laburnumlever.Status) bool) laburnumlever.Status {
	client := laburnumoperator.NewClient(fmt.Sprintf("%s:%d", ip, metricsPort))
	var status laburnumlever.Status
	require.Eventually(s.t, func() bool {
		var err error
		status, err = client.Status(s.t.Context())
		return err == nil && status.Role != nil && met(status)
	}, eventuallyTimeout, 20*time.Millisecond, what)
	return status
}

// fleetKnows waits until a VM knows a number of serving engines of a software version.
func (s *deployment) fleetKnows(ip, software string, n int) {
	s.status(ip, fmt.Sprint(n, " servers of ", software), func(status laburnumlever.Status) bool {
		for _, service := range status.Role.Services {
			if service.Software[laburnumlever.SoftwareVersion(software)] == n {
				return true
			}
		}
		return false
	})
}

// killGateway ends the first gateway without a drain.
func (s *deployment) killGateway() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.gateway.Shutdown(ctx)
}

func manifest(version int, prefix string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[
		{"name":"confirm","hostname":"quotes.example","path_prefix":"/%s/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":300,"priority":1,"service":"rdv","max_attempts":1},
		{"name":"quote","hostname":"quotes.example","path_prefix":"/quote/","kind":"streaming","timeout_ms":9000,"target_latency_ms":300,"priority":1,"service":"devis","max_attempts":2,"resumable":true,"gap_aim_ms":150},
		{"name":"draft","hostname":"quotes.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":9000,"target_latency_ms":300,"priority":1,"service":"devis","max_attempts":2,"resumable":true,"gap_aim_ms":150}],
		"services":[{"name":"rdv","health_path":"/health","max_conns":50},
		{"name":"devis","health_path":"/health","max_conns":50,"engine":{"slots":8,"kv_capacity":90000,"weights_mb":200000,"adapter_slots":2,"loads_per_s":3,
		"models":[{"name":"m0","weights_mb":72700,"load_s":0.2,"warm_s":0.1,"disk_s":0.1,"adapters":2,"adapter_mb":66}]}}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":4096,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, prefix)
}

// backendServer stands in for a backend server of the platform: it announces itself, accepts
// orders if it is an engine, and answers requests.
type backendServer struct {
	deployment *deployment
	id         string
	service    string
	http       *httptest.Server
	sequence   atomic.Int64
	leaving    atomic.Bool
	arrivals   atomic.Int64
	accepted   atomic.Int64
	adapter    atomic.Value
	// silent is set if requests get no answer, and streams one event only.
	silent atomic.Bool
}

func (s *deployment) startBackendServer(id, service string) *backendServer {
	x := &backendServer{deployment: s, id: id, service: service}
	x.adapter.Store("")
	x.http = httptest.NewServer(x)
	s.t.Cleanup(x.http.Close)
	return x
}

// announce sends one heartbeat to a control VM and returns the HTTP status.
func (x *backendServer) announce(control int) int {
	document := map[string]any{
		"service": x.service, "address": strings.TrimPrefix(x.http.URL, "http://"), "zone": "brest", "slots": 8,
		"state": "ready", "seq": x.sequence.Add(1),
	}
	if x.leaving.Load() {
		document["state"] = "draining"
	}
	if x.service == "devis" {
		adapters := []string{}
		if a, _ := x.adapter.Load().(string); a != "" {
			adapters = append(adapters, a)
		}
		document["models"] = []any{map[string]any{"name": "m0", "version": 1, "adapters": adapters}}
	}
	body, err := json.Marshal(document)
	require.NoError(x.deployment.t, err)
	status, _ := x.deployment.call("PUT", "http://"+x.deployment.control(control)+"/v1/instances/"+x.id, body)
	return status
}

func (x *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/report":
		fmt.Fprintf(w, `{"seq":%d,"models":[{"name":"m0","version":1,"adapters":[]}]}`, x.accepted.Load())
		return
	case "/v1/order":
		var order struct{ Adapter string }
		_ = json.NewDecoder(r.Body).Decode(&order)
		x.adapter.Store(order.Adapter)
		x.accepted.Add(1)
		w.WriteHeader(http.StatusAccepted)
		return
	}
	x.arrivals.Add(1)
	if x.silent.Load() {
		_, _ = io.Copy(io.Discard, r.Body) // else the end of the connection is not noticed
		x.beginStream(w, r)
		<-r.Context().Done()
		return
	}
	w.Header().Set("X-Laburnumlever-Request-Id", r.Header.Get("X-Laburnumlever-Request-Id"))
	w.Header().Set("X-Laburnumlever-Server-Stamp", "s-"+x.id)
	if x.service == "devis" {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= 4; i++ {
			fmt.Fprintf(w, "id: %d\ndata: w%d\n\n", i, i)
		}
		return
	}
	_, _ = io.WriteString(w, "confirmed")
}

// beginStream writes the first event of a stream.
func (x *backendServer) beginStream(w http.ResponseWriter, r *http.Request) {
	if x.service != "devis" {
		return
	}
	w.Header().Set("X-Laburnumlever-Request-Id", r.Header.Get("X-Laburnumlever-Request-Id"))
	w.Header().Set("X-Laburnumlever-Server-Stamp", "s-"+x.id)
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprint(w, "id: 1\ndata: w1\n\n")
	_ = http.NewResponseController(w).Flush()
}

// Guards against a deployment that fails between first start and serving, on the loss of a control VM or on a change.
func TestPlatformEndToEnd(t *testing.T) {
	s := newDeployment(t, 3, 1)
	put := func(control int, body []byte) func() (int, []byte) {
		return func() (int, []byte) { return s.call("PUT", "http://"+s.control(control)+"/v1/config", body) }
	}
	read := func(control int) func() (int, []byte) {
		return func() (int, []byte) { return s.call("GET", "http://"+s.control(control)+"/v1/config", nil) }
	}
	confirm := func(path string) func() (int, []byte) {
		return func() (int, []byte) {
			return s.call("POST", "http://"+s.callers+path, []byte("visit"), "X-Laburnumlever-Request-Id", "r-1")
		}
	}
	ready := func() (int, []byte) { return s.call("GET", "http://"+s.ready+"/v1/ready", nil) }

	status, _ := ready()
	require.Equal(t, 503, status, "no manifest yet")
	status, _ = confirm("/confirm/x")()
	require.Equal(t, 503, status)
	s.until(200, "first manifest", put(2, manifest(7, "confirm")))

	plain, engine := s.startBackendServer("i-rdv", "rdv"), s.startBackendServer("i-devis", "devis")
	require.Equal(t, 200, plain.announce(0))
	require.Equal(t, 200, engine.announce(1))
	s.until(200, "ready", ready)
	require.Equal(t, "confirmed", string(s.until(200, "confirmed", confirm("/confirm/x"))))
	quote := func(model string) func() (int, []byte) {
		return func() (int, []byte) {
			return s.call("POST", "http://"+s.callers+"/quote/x", []byte("oak"), "X-Laburnumlever-Request-Id", "r-2", "X-Laburnumlever-Model", model)
		}
	}
	require.Equal(t, 4, strings.Count(string(s.until(200, "quoted", quote("m0"))), "data: w"))
	s.until(200, "adapter on first use", quote("m0/a1"))
	s.checkStatus()
	status, _ = s.call("POST", "http://"+s.callers+"/none/", nil, "X-Laburnumlever-Request-Id", "r-3")
	require.Equal(t, 404, status)

	for i := range 3 {
		require.Equal(t, string(manifest(7, "confirm")), string(s.until(200, "read", read(i))), "manifest unchanged")
	}
	s.until(200, "older manifest is acknowledged", put(0, manifest(3, "old")))
	s.until(200, "same version with other content is acknowledged", put(0, manifest(7, "other")))
	require.Equal(t, string(manifest(7, "confirm")), string(s.until(200, "manifest still unchanged", read(1))))
	for name, bad := range map[string]string{
		"truncated": string(manifest(9, "x"))[:100], "unknown service": strings.Replace(string(manifest(9, "x")), `"service":"rdv"`, `"service":"none"`, 1),
		"no timeout": strings.Replace(string(manifest(9, "x")), `"timeout_ms":3000`, `"timeout_ms":0`, 1),
	} {
		status, _ := put(1, []byte(bad))()
		require.Equal(t, 400, status, name)
	}

	s.stop(0)
	s.until(200, "change with one control VM stopped", put(1, manifest(12, "visits")))
	s.until(200, "in effect at the gateway", confirm("/visits/x"))
	status, _ = confirm("/confirm/x")()
	require.Equal(t, 404, status)

	plain.leaving.Store(true)
	require.Equal(t, 200, plain.announce(2))
	s.until(503, "no request is sent to a leaving backend server", confirm("/visits/x"))
	before := plain.arrivals.Load()
	for range 5 {
		status, _ = confirm("/visits/x")()
		require.Equal(t, 503, status)
	}
	require.Equal(t, before, plain.arrivals.Load())
}

// checkStatus checks the status of a control VM and the gateway, with one backend server of each service.
func (s *deployment) checkStatus() {
	services := []laburnumlever.ServiceStatus{{Service: "rdv", Serving: 1}, {Service: "devis", Serving: 1, Models: 1, Copies: 1}}
	control := s.status(s.ip(1), "control VM knows the whole fleet", func(status laburnumlever.Status) bool {
		return status.Role.Gateways == 1 && status.Role.Controls == 3 && status.Role.RoutesVersion == 7 && len(status.Voter.Voters) == 3
	})
	require.Equal(s.t, "control", control.Role.Role)
	require.Equal(s.t, services, control.Role.Services)
	gateway := s.status(s.ip(firstGateway), "gateway knows the director", func(status laburnumlever.Status) bool { return status.Role.Director != "" })
	require.Equal(s.t, "gateway", gateway.Role.Role)
	require.True(s.t, gateway.Role.Ready)
	for i := range services {
		services[i].Connections = &laburnumlever.ConnectionsStatus{Limit: 50, Share: 50} // it is the only gateway
	}
	require.Equal(s.t, services, gateway.Role.Services)
	code, text := s.call("GET", fmt.Sprintf("http://%s:%d/metrics", s.ip(firstGateway), metricsPort), nil)
	require.Equal(s.t, 200, code)
	require.Contains(s.t, string(text), "laburnumlever_requests")
}

// Guards against losing acknowledged changes while the log grows to the voters that tolerate two losses.
func TestAcknowledgedChangeSurvivesTwoLostDisks(t *testing.T) {
	s := newDeployment(t, 5, 2)
	s.until(200, "first manifest", func() (int, []byte) {
		return s.call("PUT", "http://"+s.control(4)+"/v1/config", manifest(7, "confirm"))
	})
	for _, i := range []int{0, 1} {
		s.stop(i)
		s.folders[i] = t.TempDir()
		s.startControl(i, 2, false)
	}
	body := s.until(200, "read after two lost disks", func() (int, []byte) {
		return s.call("GET", "http://"+s.control(0)+"/v1/config", nil)
	})
	require.Equal(t, string(manifest(7, "confirm")), string(body))
	s.until(200, "change after two lost disks", func() (int, []byte) {
		return s.call("PUT", "http://"+s.control(1)+"/v1/config", manifest(8, "visits"))
	})
}

// Guards against stale reads of the manifest on a control VM without a quorum.
func TestControlVMWithoutQuorumRefusesReadsAndChanges(t *testing.T) {
	s := newDeployment(t, 3, 1)
	s.until(200, "first manifest", func() (int, []byte) {
		return s.call("PUT", "http://"+s.control(0)+"/v1/config", manifest(7, "confirm"))
	})
	s.stop(1)
	s.stop(2)
	for range 3 {
		status, _ := s.call("GET", "http://"+s.control(0)+"/v1/config", nil)
		require.Equal(t, 503, status)
		status, _ = s.call("PUT", "http://"+s.control(0)+"/v1/config", manifest(8, "visits"))
		require.Equal(t, 503, status)
	}
}

// BenchmarkHeartbeat measures the processor time of a heartbeat on a control VM, from the request's
// bytes to the response.
func BenchmarkHeartbeat(b *testing.B) {
	settings := laburnumsettings.RoleSettings{
		VM: "127.0.0.1", Zone: "brest", PeerPort: 7600, Seeds: []string{"127.0.0.1:7601"}, DataFolder: b.TempDir(),
		Times: laburnumsettings.RoleTimes{Heartbeat: laburnumlever.Duration(time.Second), Lease: laburnumlever.Duration(3 * time.Second)},
		Log:   laburnumsettings.Log{Level: "info"},
	}
	control, err := laburnumroles.NewControl(settings, platform.NewEngines(), platform.DecodeManifest)
	require.NoError(b, err)
	handler, err := laburnumcontrolapi.NewHandler(control)
	require.NoError(b, err)
	sequence := 0
	for b.Loop() {
		sequence++
		body := fmt.Appendf(nil, `{"service":"devis","address":"10.0.0.9:80","zone":"brest","slots":24,"state":"ready","seq":%d,"models":[{"name":"m0","version":1,"adapters":["a1","a2"]}]}`, sequence)
		req := httptest.NewRequest(http.MethodPut, "/v1/instances/i-1", bytes.NewReader(body))
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, req)
		require.Equal(b, http.StatusOK, w.Code)
	}
}

// Guards against a control VM out of the log that goes on handing out the routes that it had, or none.
func TestControlVMWithoutAVoteFollowsTheRoutes(t *testing.T) {
	s := newDeployment(t, 3, 1)
	s.folders = append(s.folders, t.TempDir())
	s.startControl(3, 1, false)
	for _, version := range []int{7, 8} {
		s.until(200, "manifest", func() (int, []byte) {
			return s.call("PUT", "http://"+s.control(0)+"/v1/config", manifest(version, "confirm"))
		})
		status := s.status(s.ip(3), "it has the newest routes", func(status laburnumlever.Status) bool { return status.Role.RoutesVersion == uint64(version) })
		require.NotContains(t, []string{"leader", "follower", "candidate"}, status.Voter.Role)
	}
}
