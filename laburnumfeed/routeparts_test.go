package laburnumfeed

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumtimer"

	"github.com/stretchr/testify/require"
)

// routesSink receives route tables.
type routesSink struct {
	sinkAtVersion
	got chan laburnumlever.RouteTable
}

func (s *routesSink) HandleRoutes(t laburnumlever.RouteTable) { s.got <- t }

// countedPeers are loopback peers that count the answers of each method, keep the size of the largest, and act before a call.
type countedPeers struct {
	*loopbackPeers
	calls   map[string]int
	largest int
	before  func(method string)
}

func (p *countedPeers) Call(ctx context.Context, address, method string, params, result any) error {
	p.before(method)
	if p.handlers[method] == nil {
		return &laburnumlever.PeerRefusedError{Address: address, Kind: "unknown-method"}
	}
	p.calls[method]++
	var answer json.RawMessage
	if err := p.loopbackPeers.Call(ctx, address, method, params, &answer); err != nil {
		return err
	}
	p.largest = max(p.largest, len(answer))
	return json.Unmarshal(answer, result)
}

// linkTable returns a table with random prefixes, whose document has one megabyte.
func linkTable(version uint64) laburnumlever.RouteTable {
	random := rand.New(rand.NewPCG(1, version)) //nolint:gosec // test data
	t := laburnumlever.RouteTable{Version: version, Format: laburnumlever.TableFormat, Document: make([]byte, 1<<20)}
	for i := range t.Document {
		t.Document[i] = byte(random.Uint32())
	}
	for range 200 {
		link := make([]byte, 6000)
		for i := range link {
			link[i] = byte('a' + random.Uint32()%26)
		}
		t.Routes = append(t.Routes, laburnumlever.Route{Host: "visits.example", PathPrefix: "/" + string(link) + "/", Split: []laburnumlever.RouteShare{{Service: "rdv", Weight: 1}}})
	}
	return t
}

// fetch has a follower fetch the routes of a source.
func fetch(t *testing.T, peers *countedPeers, timers laburnumlever.Timers, opts ...Option) laburnumlever.RouteTable {
	t.Helper()
	peers.calls = map[string]int{}
	sink := &routesSink{got: make(chan laburnumlever.RouteTable, 1)}
	f := NewFollower(peers, timers, laburnumlever.VM{ID: "10.0.1.1"}, nil, sink, opts...)
	defer f.Close()
	f.FetchRoutes("10.0.0.1:7000")
	select {
	case table := <-sink.got:
		return table
	default:
		t.Fatal("no routes fetched")
		return laburnumlever.RouteTable{}
	}
}

func newCountedSource() (*Source, *countedPeers, *laburnumtimer.Manual) {
	s, loopback, timers := newTestSource()
	return s, &countedPeers{loopbackPeers: loopback, before: func(string) {}}, timers
}

// Guards against a large route table in one message, which holds up polls and of which a control VM keeps a copy for each gateway.
func TestLargeRoutesAreFetchedInParts(t *testing.T) {
	s, peers, timers := newCountedSource()
	table := linkTable(7)
	s.SetRoutes(table)
	require.Equal(t, table.WithoutDocument(), fetch(t, peers, timers))
	require.Less(t, peers.largest, 200_000)
	require.Greater(t, peers.calls[methodRoutesPart], 5)
	require.Zero(t, peers.calls[methodRoutes])

	document := fetch(t, peers, timers, WithDocument())
	require.Equal(t, laburnumlever.RouteTable{Version: 7, Document: table.Document}, document)
	require.Less(t, peers.largest, 200_000)
}

// Guards against a table joined from the parts of two versions.
func TestRoutesThatChangeBetweenTwoPartsAreFetchedAnew(t *testing.T) {
	s, peers, timers := newCountedSource()
	s.SetRoutes(linkTable(7))
	newer := linkTable(8)
	parts := 0
	peers.before = func(string) {
		if parts++; parts == 4 {
			s.SetRoutes(newer)
			timers.Advance(time.Second)
		}
	}
	require.Equal(t, newer.WithoutDocument(), fetch(t, peers, timers))
}

// Guards against gateways without routes while control VMs are of an earlier build, which knows no parts.
func TestRoutesAreFetchedFromControlVMOfEarlierBuild(t *testing.T) {
	s, peers, timers := newCountedSource()
	delete(peers.handlers, methodRoutesPart)
	table := linkTable(7)
	s.SetRoutes(table)
	require.Equal(t, table.WithoutDocument(), fetch(t, peers, timers))
	require.Equal(t, 1, peers.calls[methodRoutes])
}

// severalPeers pass a call to the source at its address, and count the calls of each.
type severalPeers struct {
	sources map[string]*countedPeers
	calls   map[string]int
}

func (p *severalPeers) Handle(string, laburnumlever.PeerHandler) {}
func (p *severalPeers) Notify(string, string, any)               {}
func (p *severalPeers) Call(ctx context.Context, address, method string, params, result any) error {
	if method == methodPoll {
		<-ctx.Done() // they are known and have no news
		return ctx.Err()
	}
	p.calls[address]++
	if p.sources[address] == nil {
		return &laburnumlever.PeerLostError{Address: address}
	}
	p.sources[address].calls = map[string]int{}
	return p.sources[address].Call(ctx, address, method, params, result)
}

// Guards against one control VM that sends a large table to all gateways, and against parts of VMs that have no or another one.
func TestPartsOfLargeRoutesComeFromAllControlVMs(t *testing.T) {
	peers := &severalPeers{sources: map[string]*countedPeers{}, calls: map[string]int{}}
	var timers *laburnumtimer.Manual
	var seeds []string
	start := func(address string, tables ...laburnumlever.RouteTable) *Source {
		s, counted, clock := newCountedSource()
		for _, table := range tables {
			s.SetRoutes(table)
		}
		peers.sources[address], timers = counted, clock
		seeds = append(seeds, address)
		return s
	}
	table := linkTable(8)
	start("first:1", table)
	start("second:1", table)
	start("behind:1", linkTable(7))
	start("empty:1")
	start("other:1", table).packedRoutes = packedTable{data: []byte("packed by another build"), sum: 9}
	seeds = append(seeds, "silent:1")
	sink := &routesSink{got: make(chan laburnumlever.RouteTable, 1)}
	f := NewFollower(peers, timers, laburnumlever.VM{ID: "10.0.1.1"}, seeds, sink)
	defer f.Close()
	f.FetchRoutes("first:1")
	require.Equal(t, table.WithoutDocument(), <-sink.got)
	require.Greater(t, peers.calls["second:1"], 1)
	require.InDelta(t, peers.calls["first:1"], peers.calls["second:1"], 1)
	for _, address := range []string{"behind:1", "empty:1", "other:1", "silent:1"} {
		require.LessOrEqual(t, peers.calls[address], 1, address)
	}
}

// Guards against a large route table that is acknowledged long before gateways have it in effect.
func TestLargeRoutesAreAwaitedUntilAllGatewaysHaveThem(t *testing.T) {
	s, peers, timers := newCountedSource()
	for i := range 3 {
		s.notePoller(gateway(i), "")
	}
	s.SetRoutes(linkTable(7))
	brief, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	require.Equal(t, 3, s.AwaitRoutes(brief))

	awaited := make(chan int)
	go func() { awaited <- s.AwaitRoutes(t.Context()) }()
	for i := range 3 {
		select {
		case missing := <-awaited:
			t.Fatalf("returned %d before gateway %d had the table", missing, i)
		default:
		}
		s.notePoller(gateway(i), "") // another poll does not hide an earlier notice
		f := NewFollower(peers, timers, gateway(i), nil, &routesSink{got: make(chan laburnumlever.RouteTable, 1)})
		f.controls = map[string]*polledControl{"10.0.0.1:7000": {controlState: controlState{address: "10.0.0.1:7000"}}}
		peers.calls = map[string]int{}
		f.FetchRoutes("10.0.0.1:7000")
		f.Close()
	}
	require.Zero(t, <-awaited)
}

// Guards against acknowledgements that wait for gateways which have stopped, or which fetch a small table at once and send no notice.
func TestSmallRoutesAndStoppedGatewaysAreNotAwaited(t *testing.T) {
	s, _, timers := newCountedSource()
	s.notePoller(gateway(1), "")
	small := linkTable(7)
	small.Routes = small.Routes[:2]
	s.SetRoutes(small)
	require.Zero(t, s.AwaitRoutes(t.Context()))
	s.SetRoutes(linkTable(8))
	timers.Advance(reachableTime)
	require.Zero(t, s.AwaitRoutes(t.Context()))
}
