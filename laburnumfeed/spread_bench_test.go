package laburnumfeed_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumlimit"
	"laburnumlever/laburnumquarantine"
	"laburnumlever/laburnumtimer"
)

// memoryNetwork connects VMs in this process. It counts the bytes of answers.
type memoryNetwork struct {
	mu       sync.Mutex
	handlers map[string]map[string]laburnumlever.PeerHandler
	bytes    int
}

type memoryPeers struct {
	network *memoryNetwork
	address string
}

func (p memoryPeers) Handle(method string, handler laburnumlever.PeerHandler) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if p.network.handlers[p.address] == nil {
		p.network.handlers[p.address] = map[string]laburnumlever.PeerHandler{}
	}
	p.network.handlers[p.address][method] = handler
}

func (memoryPeers) Notify(string, string, any) {}

func (p memoryPeers) Call(ctx context.Context, address, method string, params, result any) error {
	p.network.mu.Lock()
	handler := p.network.handlers[address][method]
	p.network.mu.Unlock()
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := handler(ctx, raw)
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	p.network.mu.Lock()
	p.network.bytes += len(encoded)
	p.network.mu.Unlock()
	return json.Unmarshal(encoded, result)
}

// spreadSink tells when it has received the entry of a request or a limit.
type spreadSink struct {
	mu       sync.Mutex
	seen     map[any]bool
	received func()
}

func (s *spreadSink) HandleAnswer(_ string, a laburnumfeed.Answer) {
	for _, e := range a.Quarantine {
		s.note(e.Digest)
	}
	for _, l := range a.Limits {
		s.note(l)
	}
}

func (s *spreadSink) note(entry any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.seen[entry] {
		s.seen[entry] = true
		s.received()
	}
}

func (*spreadSink) ControlLost(string)                    {}
func (*spreadSink) HandleRoutes(laburnumlever.RouteTable) {}
func (*spreadSink) RoutesVersion() uint64                 { return 1 }
func (*spreadSink) GatewayReport() laburnumlever.GatewayReport {
	return laburnumlever.GatewayReport{}
}

// BenchmarkQuarantineSpread measures how long an entry takes from the control VMs to all gateways,
// without a network, and the bytes that one gateway receives for it.
func BenchmarkQuarantineSpread(b *testing.B) {
	benchmarkSpread(b, func(sources []*laburnumfeed.Source, n int) {
		digest := laburnumlever.NewRequestDigest("POST", "quotes.example", fmt.Sprint(n), nil)
		for _, s := range sources {
			s.SetQuarantine(laburnumquarantine.Entry{Digest: digest, State: laburnumquarantine.Held, Crashes: 3})
		}
	})
}

// BenchmarkLimitSpread measures how long a limit takes from its keeper to all gateways, without a network,
// and the bytes that one gateway receives for it.
func BenchmarkLimitSpread(b *testing.B) {
	benchmarkSpread(b, func(sources []*laburnumfeed.Source, n int) {
		sources[0].SetLimit(laburnumlimit.Limit{Backend: "i-0a54d9326c", Incarnation: 1, PerSecond: float64(n)})
	})
}

func benchmarkSpread(b *testing.B, publish func(sources []*laburnumfeed.Source, n int)) {
	for _, size := range []struct{ gateways, controls int }{{6, 4}, {294, 6}, {780, 10}} {
		b.Run(fmt.Sprintf("gateways=%d", size.gateways), func(b *testing.B) {
			timers := laburnumtimer.New()
			defer timers.Close()
			network := &memoryNetwork{handlers: map[string]map[string]laburnumlever.PeerHandler{}}
			var sources []*laburnumfeed.Source
			var addresses []string
			for i := range size.controls {
				address := fmt.Sprintf("10.0.0.%d:7000", i)
				vm := laburnumlever.VM{ID: laburnumlever.VMID(address), PeerAddress: address, HasDisk: true, Incarnation: 1}
				sources = append(sources, laburnumfeed.NewSource(memoryPeers{network: network, address: address}, timers, vm))
				addresses = append(addresses, address)
			}
			var wg sync.WaitGroup
			for i := range size.gateways {
				vm := laburnumlever.VM{ID: laburnumlever.VMID(fmt.Sprintf("gateway-%d", i))}
				sink := &spreadSink{seen: map[any]bool{}, received: wg.Done}
				follower := laburnumfeed.NewFollower(memoryPeers{network: network}, timers, vm, addresses, sink)
				defer follower.Close()
			}
			require.Eventually(b, func() bool { return sources[0].Gateways() == size.gateways }, time.Minute, time.Millisecond)
			n := 0
			for b.Loop() {
				n++
				wg.Add(size.gateways)
				publish(sources, n)
				wg.Wait()
			}
			network.mu.Lock()
			defer network.mu.Unlock()
			b.ReportMetric(float64(network.bytes)/float64(n)/float64(size.gateways), "answer-bytes/gateway")
		})
	}
}
