package laburnumnode_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumfleet"
	"laburnumlever/laburnumnode"
	"laburnumlever/laburnumsettings"
	"laburnumlever/laburnumstandin"
)

// eventuallyTimeout bounds the wait for a condition. It is far above what a busy machine
// needs, since no test checks a duration by it.
const eventuallyTimeout = 30 * time.Second

// fleet is a set of nodes and stand-in backend servers in this process, over loopback.
type fleet struct {
	t       *testing.T
	nodes   []*laburnumnode.Node
	engines []*laburnumstandin.Engine
	service *laburnumstandin.Service
}

// newFleet starts n nodes, all voters in one zone, and two engines and a plain service
// that announce themselves to every node.
func newFleet(t *testing.T, n int, change ...func(*laburnumsettings.Settings)) *fleet {
	t.Helper()
	f := &fleet{t: t}
	var voters []laburnumlever.Voter
	addresses, err := laburnumfleet.ReservePorts(t.Context(), n)
	require.NoError(t, err)
	for i, address := range addresses {
		voters = append(voters, laburnumlever.Voter{VM: vmName(i), PeerAddress: address})
	}
	var registries []string
	for i := range n {
		settings := laburnumsettings.Default()
		settings.VM, settings.Zone = vmName(i), "rennes-a"
		settings.Listen = laburnumsettings.Listen{
			Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Backends: "127.0.0.1:0", Peers: voters[i].PeerAddress,
		}
		settings.Voters, settings.DataFolder = voters, t.TempDir()
		settings.Seeds = []string{voters[0].PeerAddress}
		settings.Shutdown.Grace = laburnumlever.Duration(time.Millisecond)
		for _, fn := range change {
			fn(&settings)
		}
		node, err := laburnumnode.New(settings)
		require.NoError(t, err)
		require.NoError(t, node.Start())
		t.Cleanup(node.Close)
		f.nodes = append(f.nodes, node)
		registries = append(registries, node.Addresses().Backends)
	}
	for i := range 2 {
		f.addEngine(fmt.Sprintf("engine-%d", i), registries)
	}
	f.addService(registries)
	return f
}

func vmName(i int) laburnumlever.VMID { return laburnumlever.VMID(fmt.Sprintf("rennes-a-%d", i+1)) }

func (f *fleet) addEngine(id string, registries []string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	engine := laburnumstandin.NewEngine(laburnumlever.Announcement{
		Backend: laburnumlever.BackendID(id), Kind: laburnumlever.Engine, Zone: "rennes-a",
		Address: ln.Addr().String(), Incarnation: 1, ChecksFencing: true, Slots: 8,
		Accelerators:           []laburnumlever.Accelerator{{ID: "a0", MemoryMiB: 24000}},
		PrefillTokensPerSecond: 100000, TokensPerSecond: 20000, CanResume: true,
	}, laburnumstandin.WithRegistries(registries), laburnumstandin.WithPeriods(100*time.Millisecond, 50*time.Millisecond),
		laburnumstandin.WithLoadTime(10*time.Millisecond))
	go http.Serve(ln, engine) //nolint:gosec // a test's stand-in
	engine.Start()
	f.t.Cleanup(func() { engine.Close(); ln.Close() })
	f.engines = append(f.engines, engine)
}

func (f *fleet) addService(registries []string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	f.service = laburnumstandin.NewService(laburnumlever.Announcement{
		Backend: "booking-1", Kind: laburnumlever.PlainService, Zone: "rennes-a", Service: "booking",
		Address: ln.Addr().String(), Incarnation: 1, Slots: 8,
	}, laburnumstandin.WithRegistries(registries), laburnumstandin.WithPeriods(100*time.Millisecond, 50*time.Millisecond))
	go http.Serve(ln, f.service) //nolint:gosec // a test's stand-in
	f.service.Start()
	f.t.Cleanup(func() { f.service.Close(); ln.Close() })
}

func testCatalogue() laburnumlever.Catalogue {
	return laburnumlever.Catalogue{
		Deployment: laburnumlever.Deployment{
			Name: "armor-pose", Zones: []laburnumlever.ZoneName{"rennes-a"}, MoveCost: 1,
			WeightStore: laburnumlever.WeightStore{LoadsPerSecond: 100, ParallelLoads: 10},
		},
		Owners:  []laburnumlever.Owner{{Name: "quotes", Limits: laburnumlever.Limits{RequestsPerSecond: 1000, TokensPerSecond: 1e6, InFlight: 100, Queue: 100}}},
		Classes: []laburnumlever.Class{{Name: "interactive", FirstToken: laburnumlever.Duration(1900 * time.Millisecond), BetweenToken: laburnumlever.Duration(70 * time.Millisecond)}},
		Models: []laburnumlever.Model{
			{
				Name: "quote-small", Owner: "quotes", Class: "interactive", Version: "v1",
				Versions: []laburnumlever.Version{"v1"}, WeightsMiB: 8000, KVReserveMiB: 1000,
				Limits: laburnumlever.Limits{RequestsPerSecond: 1000, TokensPerSecond: 1e6, InFlight: 100, Queue: 100},
			},
		},
		Services: []laburnumlever.Service{{
			Name: "booking", Owner: "quotes", Class: "interactive",
			Limits:        laburnumlever.Limits{RequestsPerSecond: 1000, TokensPerSecond: 1e6, InFlight: 100, Queue: 100},
			NonIdempotent: []laburnumlever.Call{{Method: "POST", PathPrefix: "/visits"}},
		}},
	}
}

// eventually polls until a condition holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, eventuallyTimeout, 10*time.Millisecond, what)
}

func (f *fleet) apply(node int, changeID string, revision uint64) (laburnumlever.ApplyAnswer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return f.nodes[node].Apply(ctx, laburnumlever.ApplyRequest{ApplyCatalogue: laburnumlever.ApplyCatalogue{
		ChangeID: changeID, ExpectedRevision: revision, Catalogue: testCatalogue(),
	}})
}

// applyWhenEnginesKnown applies the catalogue, with retries until the engines have
// announced themselves: before, it is rejected since it does not fit.
func (f *fleet) applyWhenEnginesKnown(node int) {
	var last error
	require.Eventuallyf(f.t, func() bool {
		_, last = f.apply(node, "change-1", 0)
		return last == nil
	}, eventuallyTimeout, 10*time.Millisecond, "catalogue accepted; last error: %v", lazyError(func() error { return last }))
}

// lazyError formats an error with its value at the time of formatting.
type lazyError func() error

func (l lazyError) String() string { return fmt.Sprint(l()) }

func (f *fleet) waitServing(node int) {
	eventually(f.t, "model served", func() bool {
		view := f.nodes[node].Status().View
		for _, b := range view.Backends {
			if b.Serves("quote-small") && b.AcceptsRequests() && view.NotReady == "" {
				return true
			}
		}
		return false
	})
}

type answer struct {
	status int
	header http.Header
	body   string
}

func (f *fleet) post(node int, path string, body any, header map[string]string) answer {
	text, err := json.Marshal(body)
	require.NoError(f.t, err)
	req, err := http.NewRequest(http.MethodPost, "http://"+f.nodes[node].Addresses().Callers+path, bytes.NewReader(text))
	require.NoError(f.t, err)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(got)}
}
