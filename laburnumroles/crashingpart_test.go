package laburnumroles_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumoperator"
)

const (
	// endsUnderPart is the number of crashes after which a part counts as one that crashes engines.
	endsUnderPart = 5
	// serviceTime is the time, from the last of these crashes, after which sound requests must begin again.
	serviceTime = 2 * contactTime
	firstPart   = "aa"
)

// partCrashes are the crashes under a part and the arrivals of requests with it.
type partCrashes struct {
	part              string
	crashes, arrivals []time.Time
}

// lateArrivals returns the number of arrivals later than contactTime after the fifth crash.
func (p partCrashes) lateArrivals() int {
	if len(p.crashes) < endsUnderPart {
		return 0
	}
	n := 0
	for _, at := range p.arrivals {
		if at.Sub(p.crashes[endsUnderPart-1]) > contactTime {
			n++
		}
	}
	return n
}

// soundShare counts sound requests that were served at the first attempt.
type soundShare struct{ sent, served int }

func (s soundShare) share() float64 { return float64(s.served) / float64(max(1, s.sent)) }

// partLoad sends sound requests, and others with parts at which engines crash, no two alike, to all gateways.
type partLoad struct {
	*crashingFleet
	gateways int

	mu    sync.Mutex
	n     int
	sound []soundResult
	all   sync.WaitGroup
}

type soundResult struct {
	at     time.Time
	served bool
}

func (l *partLoad) send(prefix, parts string) bool {
	l.mu.Lock()
	l.n++
	n := l.n
	l.mu.Unlock()
	id := fmt.Sprintf("%s-%d", prefix, n)
	status, _ := l.call("POST", "http://"+l.gatewayAddress(n%l.gateways)+"/quote/x", []byte(id),
		"X-Laburnumlever-Request-Id", id, "X-Laburnumlever-Model", "m0", "X-Laburnumlever-Prefix-Hash", fmt.Sprintf("%s,%x:50", parts, 0x100000+n))
	return status == http.StatusOK
}

// repeat calls fn once a period until done is closed, without waiting for its end.
func (l *partLoad) repeat(done <-chan struct{}, period time.Duration, fn func()) {
	l.all.Go(func() {
		tick := time.NewTicker(period)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				l.all.Go(fn)
			}
		}
	})
}

func (l *partLoad) sendSound() {
	at := time.Now()
	served := l.send("sound", firstPart+":100")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sound = append(l.sound, soundResult{at: at, served: served})
}

// served returns the share of the sound requests sent from a time on that were served, before another one.
func (l *partLoad) served(from, until time.Time) soundShare {
	l.mu.Lock()
	defer l.mu.Unlock()
	var s soundShare
	for _, r := range l.sound {
		if r.at.Before(from) || !r.at.Before(until) {
			continue
		}
		s.sent++
		if r.served {
			s.served++
		}
	}
	return s
}

// crashesOf returns the crashes of engines so far, and the arrivals of requests with the part.
func (l *partLoad) crashesOf(part string) partCrashes {
	e := l.engines
	e.mu.Lock()
	defer e.mu.Unlock()
	return partCrashes{part: part, crashes: append([]time.Time{}, e.crashes...), arrivals: append([]time.Time{}, e.arrivals...)}
}

// Guards against a part of prompts that ends engine after engine, since no two requests with it are alike, and against refusing the sound requests beside it.
func TestPartThatCrashesEnginesIsStopped(t *testing.T) {
	const gateways, engines, part = 3, 12, "dead"
	f := newCrashingFleetOf(t, gateways, engines, &crashingEngines{
		down: 3 * time.Second, delay: 30 * time.Millisecond, parts: []string{part}, eventPause: 40 * time.Millisecond,
	})
	l := &partLoad{crashingFleet: f, gateways: gateways}
	done := make(chan struct{})
	l.repeat(done, 30*time.Millisecond, l.sendSound)
	begin := time.Now()
	<-time.After(2 * time.Second)
	calm := l.served(begin, time.Now())
	l.repeat(done, 120*time.Millisecond, func() { l.send(crashText, firstPart+":100,"+part+":60") })
	var fifth time.Time
	require.Eventually(t, func() bool {
		if c := l.crashesOf(part); len(c.crashes) >= endsUnderPart {
			fifth = c.crashes[endsUnderPart-1]
		}
		return !fifth.IsZero() && time.Since(fifth) > serviceTime+3*time.Second || time.Since(begin) > 20*time.Second
	}, time.Minute, 50*time.Millisecond)
	close(done)
	l.all.Wait()
	ended := l.crashesOf(part)
	if fifth.IsZero() {
		fifth = ended.crashes[len(ended.crashes)-1]
	}
	after := l.served(fifth.Add(serviceTime), time.Now())
	t.Logf("%d engines ended, %d of %d arrivals late; sound requests served: %.3f of %d before, %.3f of %d after",
		len(ended.crashes), ended.lateArrivals(), len(ended.arrivals), calm.share(), calm.sent, after.share(), after.sent)
	require.LessOrEqual(t, ended.lateArrivals(), repeatsBorne)
	require.GreaterOrEqual(t, after.sent, 20)
	require.GreaterOrEqual(t, after.share(), calm.share()/2)
}

// metric returns the sum of a counter over all gateways.
func (l *partLoad) metric(name string) int {
	sum := 0
	for i := range l.gateways {
		_, text := l.call("GET", fmt.Sprintf("http://%s:%d/metrics", l.ip(firstGateway+i), metricsPort), nil)
		for line := range strings.Lines(string(text)) {
			if !strings.HasPrefix(line, name) {
				continue
			}
			fields := strings.Fields(line)
			n, err := strconv.ParseFloat(fields[len(fields)-1], 64)
			require.NoError(l.t, err)
			sum += int(n)
		}
	}
	return sum
}

// Guards against engines that end together and are taken for lost links: their ends aren't counted, and callers are refused once they are back.
func TestEnginesThatEndTogetherAreCounted(t *testing.T) {
	const gateways, engines, down = 3, 12, 3 * time.Second
	f := newCrashingFleetOf(t, gateways, engines, &crashingEngines{down: down, eventPause: 100 * time.Millisecond})
	l := &partLoad{crashingFleet: f, gateways: gateways}
	done := make(chan struct{})
	l.repeat(done, 5*time.Millisecond, l.sendSound)
	begin := time.Now()
	<-time.After(2 * time.Second)
	calm := l.served(begin, time.Now())
	f.engines.killAll()
	ended := time.Now()
	require.Eventually(t, func() bool { return time.Since(ended) > 2*contactTime+3*time.Second }, time.Minute, 50*time.Millisecond)
	close(done)
	l.all.Wait()
	after := l.served(ended.Add(serviceTime), time.Now())
	counted, unconfirmed := l.metric("laburnumlever_backend_crashes "), l.metric("laburnumlever_backend_crashes_unconfirmed ")
	t.Logf("%d engines ended, %d ends counted by %d gateways, %d not confirmed, %d refused for lost links; sound requests served: %.3f of %d before, %.3f of %d after",
		len(f.engines.crashes), counted, gateways, unconfirmed, l.metric(`laburnumlever_refusals{reason="links-lost"`), calm.share(), calm.sent, after.share(), after.sent)
	require.GreaterOrEqual(t, counted, engines)
	require.Zero(t, unconfirmed)
	require.GreaterOrEqual(t, after.share(), calm.share()/2)
}

// Guards against a gateway that falls behind while it gets most new connections, and against callers who are lost with it once it ends.
func TestGatewayWithMostNewConnectionsServes(t *testing.T) {
	const gateways, engines, phase = 4, 6, 3 * time.Second
	f := newCrashingFleetOf(t, gateways, engines, &crashingEngines{down: time.Second, eventPause: 20 * time.Millisecond})
	l := &partLoad{crashingFleet: f, gateways: gateways}
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var served, sent [gateways]atomic.Int64
	send := func(gateway int) {
		n := sent[gateway].Add(1)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.gatewayAddress(gateway)+"/quote/x", strings.NewReader("oak"))
		if err != nil {
			t.Error(err)
			return
		}
		req.Host = "quotes.example"
		req.Header.Set("X-Laburnumlever-Request-Id", fmt.Sprintf("skewed-%d-%d", gateway, n))
		req.Header.Set("X-Laburnumlever-Model", "m0")
		resp, err := client.Do(req)
		if err != nil {
			return // a try that failed
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == http.StatusOK {
			served[gateway].Add(1)
		}
	}
	for gateway := range 2 {
		done := make(chan struct{})
		l.repeat(done, 3*time.Millisecond, func() { send(gateway) })
		l.repeat(done, 30*time.Millisecond, func() { send(2 + gateway) })
		<-time.After(phase)
		close(done)
		l.all.Wait()
	}
	f.killGateway()
	for gateway := range 3 {
		send(1 + gateway)
	}
	t.Logf("%d and %d requests on new connections to one gateway, %d and %d of them served", sent[0].Load(), sent[1].Load(), served[0].Load(), served[1].Load())
	for gateway := range gateways {
		require.GreaterOrEqual(t, 4*served[gateway].Load(), 3*sent[gateway].Load(), "gateway %d", gateway)
	}
}

// Guards against a part that operators can't see, or can't have served again once the engines are mended, and against control VMs that refuse it on.
func TestOperatorsLiftARefusedPart(t *testing.T) {
	const gateways, part = 2, "dead"
	f := newCrashingFleetOf(t, gateways, 6, &crashingEngines{down: time.Second, delay: 10 * time.Millisecond, parts: []string{part}})
	l := &partLoad{crashingFleet: f, gateways: gateways}
	checks := 0
	refused := func() bool {
		checks++
		id := fmt.Sprint("check-", checks) // no two are alike, or they would be refused as repeats of one request
		_, body := l.call("POST", "http://"+l.gatewayAddress(0)+"/quote/x", []byte(id), "X-Laburnumlever-Request-Id", id,
			"X-Laburnumlever-Model", "m0", "X-Laburnumlever-Prefix-Hash", firstPart+":100,"+part+":60,1:5")
		return string(body) == "part-quarantined\n"
	}
	require.Eventually(t, func() bool { l.sendSound(); return l.sound[len(l.sound)-1].served }, eventuallyTimeout, 20*time.Millisecond)
	for n := 0; !refused(); n++ {
		require.Less(t, n, 1000)
		l.send(crashText, firstPart+":100,"+part+":60")
	}
	for i := range f.controls {
		f.status(f.ip(i), "the refused part", func(status laburnumlever.Status) bool {
			return len(status.Role.Parts) == 1 && status.Role.Parts[0].Part == 0xdead && status.Role.Parts[0].Crashes >= 3
		})
	}
	client := laburnumoperator.NewClient(fmt.Sprintf("%s:%d", f.ip(1), metricsPort))
	require.NoError(t, client.LiftPart(t.Context(), laburnumlever.PartLift{Service: "devis", Part: 0xdead}))
	require.Eventually(t, func() bool { return !refused() }, eventuallyTimeout, 20*time.Millisecond)
	for i := range f.controls {
		f.status(f.ip(i), "no refused part", func(status laburnumlever.Status) bool { return len(status.Role.Parts) == 0 })
	}
	var unexpected *laburnumoperator.UnexpectedAnswerError
	require.ErrorAs(t, client.LiftPart(t.Context(), laburnumlever.PartLift{}), &unexpected)
}
