package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	holdRounds = 4
	// staleLoad is how long a gateway hears nothing of an engine, so that it reserves a place before the next request.
	staleLoad = 3500 * time.Millisecond
	longRun   = 5500 * time.Millisecond
)

// lateExtras sends a second answer to a request late: where the next answer on its connection is expected.
type lateExtras struct {
	mu      sync.Mutex
	pending map[net.Conn][]byte
}

func (l *lateExtras) add(x *exchange) {
	header := x.s.stamp(x)
	header["Content-Type"] = "text/event-stream"
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending[x.conn] = x.text(http.StatusOK, header, []byte("id: 1\ndata: once more\n\n"))
}

// before writes what is pending before the answer to the next request.
func (l *lateExtras) before(_ context.Context, s *server, x *exchange) bool {
	l.mu.Lock()
	extra := l.pending[x.conn]
	delete(l.pending, x.conn)
	l.mu.Unlock()
	if extra != nil {
		s.d.record.notef("%s: late extra answer, as %s %s arrives", s.id, x.req.Method, x.req.URL.Path)
		_, _ = x.conn.Write(extra)
	}
	return false
}

// playHold has an engine send a second answer late, so that it meets the gateway's call for a reservation, and checks that a request
// that is answered 503 has not run.
func playHold(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	spec := []modelSpec{{"m-quote", 72700}}
	if err := d.startAll(ctx, quoteManifest(1, engineSection(engineMB, 8, spec, 2000))); err != nil {
		return nil, err
	}
	s, err := d.newServer(0, "devis", zones[0], 8)
	if err != nil {
		return nil, err
	}
	extras := &lateExtras{pending: map[net.Conn][]byte{}}
	s.before = extras.before
	s.engine = &engine{s: s, weightsMB: engineMB, specs: spec, held: []string{"m-quote"}, loadTime: time.Second, kvTotal: 20000}
	var mu sync.Mutex
	runs := map[string]int{}
	s.serve = func(ctx context.Context, s *server, x *exchange) {
		mu.Lock()
		runs[x.id()]++
		mu.Unlock()
		d.record.notef("%s: begins to run %s", s.id, x.id())
		var tokensIn, tokensOut int
		_, _ = fmt.Sscanf(x.req.Header.Get(headerTokens), "%d,%d", &tokensIn, &tokensOut)
		s.engine.use(tokensIn + tokensOut)
		defer s.engine.use(-tokensIn - tokensOut)
		events, every := 3, 20*time.Millisecond
		if x.req.URL.Path == "/quote/long" {
			events, every = int(longRun/(100*time.Millisecond)), 100*time.Millisecond
		}
		whole := x.stream(ctx, events, every)
		d.record.notef("%s: run of %s ends, whole %t", s.id, x.id(), whole)
		if trouble && x.req.URL.Path == "/quote/first" {
			extras.add(x)
		}
	}
	s.announce(ctx)
	if err := d.awaitReady(ctx, 20*time.Second); err != nil {
		return nil, err
	}
	first, second := newClient(), newClient()
	quote := func(client *http.Client, gateway *machine, path, tokens string) (string, reply) {
		a := attempt{
			id: newID(), method: http.MethodPost, host: "quotes.example", path: "/quote/" + path, body: []byte("a room"), deadline: 12 * time.Second,
			header: map[string]string{headerModel: "m-quote", headerTokens: tokens, "X-Laburnumlever-Prefix-Hash": newID()[:8] + ":100"},
		}
		d.record.notef("client: sends %s (%s) to %s", a.id, path, gateway.name)
		r := send(ctx, client, gateway, a)
		d.record.notef("client: %s (%s): status %d, stamp %q, %d bytes, %v", a.id, path, r.status, r.stamp, len(r.body), r.err)
		return a.id, r
	}
	var breaches []string
	for range holdRounds {
		if _, r := quote(first, d.gateways[0], "first", "100,20"); r.status != http.StatusOK {
			return nil, fmt.Errorf("the first request was answered %d", r.status)
		}
		if !pause(ctx, staleLoad-time.Second) {
			return nil, context.Cause(ctx)
		}
		var long sync.WaitGroup
		long.Go(func() { quote(second, d.gateways[1], "long", "19000,800") })
		if !pause(ctx, time.Second) {
			return nil, context.Cause(ctx)
		}
		id, r := quote(first, d.gateways[0], "next", "400,60")
		long.Wait()
		mu.Lock()
		ran := runs[id]
		mu.Unlock()
		if ran > 0 && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) {
			breaches = append(breaches, fmt.Sprintf("REFUSED: %s was answered %d and has run", id, r.status))
		}
		if ran > 1 {
			breaches = append(breaches, fmt.Sprintf("TWICE: %s ran %d times", id, ran))
		}
	}
	return breaches, nil
}
