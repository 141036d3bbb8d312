package laburnumproxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumproxy"
	"laburnumlever/laburnumtimer"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

const benchBody = `{"model":"quote","prompt":"a carpet for the hall, four by two","max_tokens":4}`

// newBenchmarkServers starts a fake engine and a proxy in front of it, on real time.
func newBenchmarkServers(b *testing.B, fn http.HandlerFunc) (engine, proxy *httptest.Server) {
	timers := laburnumtimer.New()
	b.Cleanup(timers.Close)
	engine = httptest.NewServer(echoing(fn))
	b.Cleanup(engine.Close)
	views := &fakeViews{}
	backend := laburnumlever.Backend{ReportedAt: time.Now(), Announcement: laburnumlever.Announcement{
		Backend: "e", Address: engine.Listener.Addr().String(), Slots: 1 << 20,
	}}
	backend.Report.Loaded = []laburnumlever.ModelCopy{{Model: "quote", Ready: true}}
	views.view.Store(&laburnumlever.View{
		Catalogue: laburnumlever.Catalogue{Revision: 1, Models: []laburnumlever.Model{{Name: "quote"}}},
		Backends:  []laburnumlever.Backend{backend},
	})
	p := laburnumproxy.New(views, timers, nil)
	b.Cleanup(func() { p.Close() })
	proxy = httptest.NewServer(p)
	b.Cleanup(proxy.Close)
	return engine, proxy
}

// BenchmarkLatency measures the time of one small response, directly from the fake engine
// and through the proxy, without concurrency; the difference is the proxy's overhead.
func BenchmarkLatency(b *testing.B) {
	engine, proxy := newBenchmarkServers(b, func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, `{"choices":[{"text":"t0 t1 t2 t3 "}]}`)
	})
	for _, c := range []struct{ name, url string }{{"straight", engine.URL}, {"through", proxy.URL}} {
		b.Run(c.name, func(b *testing.B) {
			times := hdrhistogram.New(1, int64(time.Minute), 3)
			b.ReportAllocs()
			for b.Loop() {
				start := time.Now()
				post(b, c.url)
				require.NoError(b, times.RecordValue(int64(time.Since(start))))
			}
			b.ReportMetric(float64(times.ValueAtQuantile(50))/1e3, "p50-µs")
			b.ReportMetric(float64(times.ValueAtQuantile(99))/1e3, "p99-µs")
		})
	}
}

// BenchmarkThroughput measures many concurrent callers; the callers and the fake engine share
// the cores with the proxy.
func BenchmarkThroughput(b *testing.B) {
	engine, proxy := newBenchmarkServers(b, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, `{}`) })
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = 256
	for _, c := range []struct{ name, url string }{{"straight", engine.URL}, {"through", proxy.URL}} {
		b.Run(c.name, func(b *testing.B) {
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					post(b, c.url)
				}
			})
		})
	}
}

func post(b *testing.B, url string) {
	resp, err := http.Post(url+"/v1/completions", "application/json", strings.NewReader(benchBody))
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status, err)
	}
	resp.Body.Close()
}

// BenchmarkOpenStreams measures the memory of one process, callers and engine included, with
// open streams directly to the engine and through the proxy; the difference is the proxy's.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 2_000 // four file descriptors each, and a machine may allow 20,000
	end := make(chan struct{})
	engine, proxy := newBenchmarkServers(b, func(w http.ResponseWriter, r *http.Request) {
		writeTokens(w, 0, 1)
		select {
		case <-end:
		case <-r.Context().Done():
		}
	})
	defer close(end)
	for _, c := range []struct{ name, address string }{
		{"straight", engine.Listener.Addr().String()}, {"through", proxy.Listener.Addr().String()},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				before := memoryInUse()
				conns := make([]net.Conn, streams)
				for i := range conns {
					conns[i] = openStream(b, c.address)
				}
				b.ReportMetric(float64(memoryInUse()-before)/streams, "B/stream")
				for _, conn := range conns {
					conn.Close()
				}
			}
		})
	}
}

func openStream(b *testing.B, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	require.NoError(b, err)
	_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 31\r\n\r\n"+`{"model":"quote","stream":true}`)
	require.NoError(b, err)
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		require.NoError(b, err)
		if strings.HasPrefix(line, "data:") {
			return conn
		}
	}
}

// memoryInUse returns the memory in use by the heap and the goroutines' stacks, in bytes.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
