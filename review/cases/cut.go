package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// cutEngines of allEnginesOfCut lose the path to one of four gateways: shares of 0.2 and 0.25. They are the engines of its zone.
	cutEngines      = 4
	allEnginesOfCut = 20
	// quoteEngines hold the model of the requests that are judged. The first of them does not drop requests.
	quoteEngines = 3
	cutRounds    = 3
	cutTime      = 5 * time.Second // for_s of srv_cut in the kinds
	betweenCuts  = 8 * time.Second
	// firstEvent is how long an engine reads a prompt, within the time limit of 12 s.
	firstEvent = 2500 * time.Millisecond
	askEvery   = 100 * time.Millisecond
	// overlap is how long two engines may work on a request.
	overlap = 400 * time.Millisecond
)

// span is the time during which an engine worked on a request.
type span struct {
	server     string
	begin, end time.Time
}

// playCut cuts the path between some engines and one gateway, and checks that requests that this gateway has sent to other engines,
// which it reaches, do not go on at a second engine while the first works on them.
func playCut(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	specs := []modelSpec{{"m-quote", 72700}, {"m-far", 72700}, {"m-other", 72700}, {"m-batch", 72700}}
	manifest := quoteManifest(1, engineSection(engineMB, 24, specs, 0))
	quote := manifest["routes"].([]any)[0].(map[string]any)
	quote["max_attempts"], quote["resumable"] = 2, true
	if err := d.startAll(ctx, manifest); err != nil {
		return nil, err
	}
	g := d.gateways[1]
	w := &works{byRequest: map[string][]span{}}
	var proxies []*proxy
	near := map[string]bool{} // the engines that are never cut off
	for i := range allEnginesOfCut {
		zone, held := g.zone, "m-far"
		if i >= cutEngines {
			zone, held = []string{zones[0], zones[2], zones[3]}[i%3], "m-other"
		}
		if i >= cutEngines && i < cutEngines+quoteEngines {
			held = "m-quote"
		}
		s, err := d.newServer(i, "devis", zone, 24)
		if err != nil {
			return nil, err
		}
		if i < cutEngines {
			p, err := newProxy(fmt.Sprintf("%s:%d", s.ip, d.ports.ready), s.address())
			if err != nil {
				return nil, err
			}
			d.onClose(p.close)
			proxies, s.announced = append(proxies, p), p.ln.Addr().String()
		}
		near[s.id] = i >= cutEngines
		s.engine = &engine{s: s, weightsMB: engineMB, specs: specs, held: []string{held, "m-batch"}, loadTime: 2600 * time.Millisecond}
		s.serve = w.serve(i != cutEngines)
		s.announce(ctx)
	}
	if err := d.awaitReady(ctx, 20*time.Second); err != nil {
		return nil, err
	}
	pause(ctx, 3*time.Second)
	client := newClient()
	ask := func(path, model string) {
		a := attempt{
			id: newID(), method: http.MethodPost, host: "quotes.example", path: "/quote/" + path, body: []byte("a room"), deadline: 12 * time.Second,
			header: map[string]string{headerModel: model, headerTokens: "2000,60"},
		}
		if r := send(context.Background(), client, g, a); path != "far" || r.status != http.StatusOK {
			d.record.notef("client: %s (%s) at %s: status %d, %d bytes, %v", a.id, path, g.name, r.status, len(r.body), r.err)
		}
	}
	var all sync.WaitGroup
	far, stopFar := context.WithCancel(ctx)
	all.Go(func() {
		for pause(far, 50*time.Millisecond) {
			all.Go(func() { ask("far", "m-far") })
		}
	})
	for range cutRounds {
		pause(ctx, 2*time.Second)
		if trouble {
			d.record.notef("%d engines are cut off from %s", cutEngines, g.name)
			for _, p := range proxies {
				p.hold(g.ip)
			}
		}
		cutAt := time.Now()
		pause(ctx, 500*time.Millisecond)
		for time.Since(cutAt) < firstEvent {
			all.Go(func() { ask("room", "m-quote") })
			pause(ctx, askEvery)
		}
		pause(ctx, cutTime-time.Since(cutAt))
		for _, p := range proxies {
			p.hold("")
		}
		d.record.notef("the cut is over")
		pause(ctx, betweenCuts)
	}
	stopFar()
	all.Wait()
	pause(ctx, 4*time.Second)
	return w.breaches(near), nil
}

// works records which engines worked on which requests.
type works struct {
	mu        sync.Mutex
	byRequest map[string][]span
}

// serve returns how an engine answers: it reads the prompt and streams. One that drops requests ends its work when the connection closes.
func (w *works) serve(drops bool) func(ctx context.Context, s *server, x *exchange) {
	return func(ctx context.Context, s *server, x *exchange) {
		if !drops {
			ctx = context.Background()
		}
		if x.req.URL.Path == "/quote/far" {
			x.stream(ctx, 3, 20*time.Millisecond)
			return
		}
		begin := time.Now()
		s.d.record.notef("%s: begins to work on %s", s.id, x.id())
		whole := false
		if pause(ctx, firstEvent) {
			whole = x.stream(ctx, 10, 100*time.Millisecond)
		}
		s.d.record.notef("%s: ends its work on %s, sent whole %t", s.id, x.id(), whole)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.byRequest[x.id()] = append(w.byRequest[x.id()], span{server: s.id, begin: begin, end: time.Now()})
	}
}

// breaches lists the requests that went on at another engine while one that the gateway reaches worked on them.
func (w *works) breaches(near map[string]bool) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []string
	for id, spans := range w.byRequest {
		for i := 1; i < len(spans); i++ {
			a, b := spans[i-1], spans[i]
			if a.begin.After(b.begin) {
				a, b = b, a
			}
			if near[a.server] && a.end.Sub(b.begin) > overlap {
				list = append(list, fmt.Sprintf("TWICE: %s ran at %s and went on at %s, while the first worked on for %.1f s", id, a.server, b.server, a.end.Sub(b.begin).Seconds()))
			}
		}
	}
	return list
}
