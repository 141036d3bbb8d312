package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// leavingServers of the engines and plain servers leave: 0.136 of them.
	leavingServers = 3
	// beforeKill of them are acknowledged by the control machine that is killed then.
	beforeKill   = 2
	allEngines   = 18
	plainServers = 4
	// slack is left for requests that were on their way.
	slack = 500 * time.Millisecond
	// lingerTime is how long a server that leaves goes on serving after the acknowledgement.
	lingerTime = 12 * time.Second
	// restartDelay is the platform's delay before it starts a process again.
	restartDelay = 500 * time.Millisecond
	quoteEvery   = 40 * time.Millisecond
)

// arrival is a request that reached a server.
type arrival struct {
	at     time.Time
	server string
	id     string
}

// playDrain takes the engines of a zone away: each says that it is gone to the zone's control VM, which is killed right after it has
// acknowledged that. It checks that no request reaches them later than the bound while all machines are in touch again.
func playDrain(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	specs := []modelSpec{{"m-quote", 72700}, {"m-batch", 72700}}
	var rare []string
	for i := range 2 * leavingServers {
		name := fmt.Sprintf("m-rare-%d", i+1)
		rare, specs = append(rare, name), append(specs, modelSpec{name, 72700})
	}
	if err := d.startAll(ctx, quoteManifest(1, engineSection(engineMB, 24, specs, 0))); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var arrivals []arrival
	serve := func(ctx context.Context, s *server, x *exchange) {
		mu.Lock()
		arrivals = append(arrivals, arrival{at: time.Now(), server: s.id, id: x.id()})
		mu.Unlock()
		x.stream(ctx, 5, 20*time.Millisecond)
	}
	var servers []*server
	for i := range allEngines {
		held, zone := []string{"m-quote", "m-batch"}, zones[i%len(zones)]
		if i < leavingServers {
			held, zone = rare[2*i:2*i+2], zones[0]
		}
		s, err := d.newServer(i, "devis", zone, 24)
		if err != nil {
			return nil, err
		}
		s.engine = &engine{s: s, weightsMB: engineMB, specs: specs, held: slices.Clone(held), loadTime: 4200 * time.Millisecond}
		s.serve = serve
		s.announce(ctx)
		servers = append(servers, s)
	}
	for i := range plainServers {
		s, err := d.newServer(allEngines+i, "rdv", zones[i], 6)
		if err != nil {
			return nil, err
		}
		s.serve = serve
		s.announce(ctx)
	}
	if err := d.awaitReady(ctx, 20*time.Second); err != nil {
		return nil, err
	}
	if !pause(ctx, 5*time.Second) {
		return nil, context.Cause(ctx)
	}
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	var clients sync.WaitGroup
	for _, g := range d.gateways {
		clients.Go(func() { askQuotes(traffic, d, g, append([]string{"m-quote", "m-batch"}, rare...)) })
	}
	pause(ctx, 3*time.Second)
	control := d.controls[0]
	left, err := leaveAt(ctx, control, servers[:beforeKill])
	if err != nil {
		return nil, err
	}
	if trouble {
		control.signal(syscall.SIGKILL)
		control.await()
		control = d.controls[1] // the others find the first one dead
	}
	if _, err = leaveAt(ctx, control, servers[beforeKill:leavingServers]); err != nil {
		return nil, err
	}
	calmFrom := left
	if trouble {
		pause(ctx, restartDelay)
		if err := d.controls[0].start(); err != nil {
			return nil, err
		}
		// From here on the core has been stable for contact_ms, and all machines are in touch.
		calmFrom = time.Now().Add(contactTime)
	}
	pause(ctx, time.Until(left.Add(lingerTime)))
	for _, s := range servers[:leavingServers] {
		s.end()
		d.record.notef("%s exits", s.id)
	}
	pause(ctx, time.Second)
	stopTraffic()
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	return lateArrivals(d, arrivals, servers[:leavingServers], maxTime(left.Add(drainTime), calmFrom).Add(slack)), nil
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lateArrivals counts the requests that reached servers that left later than a time.
func lateArrivals(d *deployment, arrivals []arrival, left []*server, after time.Time) []string {
	var breaches []string
	for _, s := range left {
		late := 0
		var first, last arrival
		for _, a := range arrivals {
			if a.server != s.id || !a.at.After(after) {
				continue
			}
			if late == 0 {
				first = a
			}
			last = a
			late++
		}
		var latest time.Time
		for _, a := range arrivals {
			if a.server == s.id {
				latest = maxTime(latest, a.at)
			}
		}
		d.record.notef("%s: %d requests reached it later than the bound, the last of all at %.3f", s.id, late, latest.Sub(d.record.start).Seconds())
		if late > 0 {
			breaches = append(breaches, fmt.Sprintf("DRAIN: %d requests reached %s after the bound, the first, %s, at %.3f, the last at %.3f",
				late, s.id, first.id, first.at.Sub(d.record.start).Seconds(), last.at.Sub(d.record.start).Seconds()))
		}
	}
	return breaches
}

// leaveAt has servers say one after the other to one control VM that they are gone, and returns when the last of them was acknowledged.
func leaveAt(ctx context.Context, control *machine, servers []*server) (time.Time, error) {
	for _, s := range servers {
		s.mu.Lock()
		s.silent = true
		s.mu.Unlock()
	}
	client := http.Client{Timeout: time.Second}
	if resp, err := client.Get("http://" + control.controlAddress() + "/v1/config"); err == nil { // opens the connection
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	for _, s := range servers {
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+control.controlAddress()+"/v1/instances/"+s.id, nil)
		if err != nil {
			return time.Time{}, err
		}
		resp, err := client.Do(req)
		if err != nil {
			return time.Time{}, err
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return time.Time{}, fmt.Errorf("%s was not acknowledged: %d", s.id, resp.StatusCode)
		}
	}
	now := time.Now()
	for _, s := range servers {
		control.d.record.notef("%s: DELETE acknowledged by %s, the last one of them at %.3f", s.id, control.name, now.Sub(control.d.record.start).Seconds())
	}
	return now, nil
}

// askQuotes sends quotes for models in turn to a gateway until ctx ends.
func askQuotes(ctx context.Context, d *deployment, g *machine, models []string) {
	client := newClient()
	var all sync.WaitGroup
	defer all.Wait()
	for i := 0; pause(ctx, quoteEvery); i++ {
		all.Go(func() {
			a := attempt{
				id: newID(), method: http.MethodPost, host: "quotes.example", path: "/quote/room", body: []byte("a room"), deadline: 4 * time.Second,
				header: map[string]string{headerModel: models[i%len(models)], headerTokens: "400,60"},
			}
			r := send(context.Background(), client, g, a)
			if r.status != http.StatusOK || r.err != nil {
				d.record.notef("client: %s for %s at %s: status %d, %v", a.id, models[i%len(models)], g.name, r.status, r.err)
			}
		})
	}
}
