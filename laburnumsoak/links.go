package laburnumsoak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"laburnumlever/laburnumstandin"
)

const (
	// minServedShare is the least share of the first tries at a gateway without links to backend servers that must be
	// served, of the share at the other one, and freeFailures how many may fail in any case.
	minServedShare, freeFailures = 2.0 / 3, 10
	// lostLinksCheckTime is how long first tries are counted.
	lostLinksCheckTime = 2 * time.Second
	lostLinksCallers   = 4
	lostLinksPause     = 30 * time.Millisecond

	// borneRejections is the number of rejections in a second that brittle servers bear, brittleCheckTime how long callers
	// send more than they have room for, brittleCallers their number at each gateway.
	borneRejections  = 2
	brittleCheckTime = 3 * time.Second
	brittleCallers   = 40
	brittlePause     = 10 * time.Millisecond
	// allowedFalls is the number of falls of the servers of a service in one time of brittleness.
	allowedFalls = 2 + serversPerService/10
	// minBrittleUse is the least share of the brittle servers' slots that must be used.
	minBrittleUse = 0.25
)

// lostModes are the ways in which a gateway loses its links to the backend servers.
var lostModes = [...]laburnumstandin.LinkMode{laburnumstandin.LinkFrozen, laburnumstandin.LinkCut, laburnumstandin.LinkRefusing}

// plainService is the service whose links a gateway loses alone in some runs.
const plainService = "booking"

// lostLinks returns the links that a gateway loses: those before all backend servers or, in some runs, before those of one
// service.
func (f *fleet) lostLinks(seed uint64) []*faultLink {
	all := seed/uint64(len(lostModes))%2 == 0
	var links []*faultLink
	for _, p := range append(f.servers[:len(f.servers):len(f.servers)], f.drafts...) {
		if all || p.service == plainService {
			links = append(links, p.link)
		}
	}
	return links
}

// cutGateway changes the links between a gateway and the backend servers.
func (f *fleet) cutGateway(gateway int, mode laburnumstandin.LinkMode, links []*faultLink) {
	for _, l := range links {
		l.link.Set(laburnumstandin.LinkState{Mode: mode, From: []string{fmt.Sprintf("%s.%d", f.net, firstGateway+gateway)}})
	}
}

// injectLostLinks has a gateway lose some of its links, but for those that have another fault.
func (x *faultInjector) injectLostLinks(gateway int, links []*faultLink, mode laburnumstandin.LinkMode, down time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var free []*faultLink
	for _, l := range links {
		if !x.faultyLinks[l] {
			x.faultyLinks[l] = true
			free = append(free, l)
		}
	}
	x.logFault(loseLinks, fmt.Sprintf("%s (%s, %d servers)", x.fleet.gateways[gateway].name, mode, len(free)))
	x.fleet.cutGateway(gateway, mode, free)
	x.wg.Go(func() {
		time.Sleep(down)
		x.mu.Lock()
		defer x.mu.Unlock()
		for _, l := range free {
			l.link.Set(laburnumstandin.LinkState{})
			delete(x.faultyLinks, l)
		}
	})
}

// setBrittle has a backend server bear a number of rejections in a second, or any number if the text is empty. It reports
// whether the server runs.
func (f *fleet) setBrittle(p *process, text string) bool {
	return f.put(p, laburnumstandin.BrittlePath, text)
}

// put sends a text to a path of a stand-in, and reports whether it runs.
func (f *fleet) put(p *process, path, text string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), setLimitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+p.address+path, bytes.NewReader([]byte(text)))
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil
}

// injectBrittle has a backend server be brittle for a time.
func (x *faultInjector) injectBrittle(p *process, down time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.logFault(nameBrittle, p.name)
	x.wg.Go(func() {
		x.fleet.setBrittle(p, fmt.Sprint(borneRejections))
		time.Sleep(down)
		x.fleet.setBrittle(p, "")
	})
}

// checkLostLinks checks that callers of a gateway that has lost its links are served like those of the other one.
func (l *load) checkLostLinks(ctx context.Context, seed uint64) {
	mode := lostModes[seed%uint64(len(lostModes))]
	links := l.fleet.lostLinks(seed)
	l.fleet.cutGateway(0, mode, links)
	defer func() {
		for _, link := range links {
			link.link.Set(laburnumstandin.LinkState{})
		}
	}()
	time.Sleep(contactTime)
	var sent, served [gatewayVMs]atomic.Int64
	sending, stop := context.WithTimeout(ctx, lostLinksCheckTime)
	defer stop()
	for gateway := range gatewayVMs {
		for range lostLinksCallers {
			l.repeat(sending, lostLinksPause, func(n int) {
				sent[gateway].Add(1)
				if l.sendTo(gateway, n%2 == 0) {
					served[gateway].Add(1)
				}
			})
		}
	}
	l.wg.Wait()
	share := func(gateway int) float64 {
		return float64(served[gateway].Load()) / float64(max(1, sent[gateway].Load()))
	}
	failed := sent[0].Load() - served[0].Load()
	if share(0) < minServedShare*share(1) && failed > freeFailures {
		l.record.violated("gateway-1, without links to %d backend servers (%s), served %d of %d first tries, gateway-2 %d of %d",
			len(links), mode, served[0].Load(), sent[0].Load(), served[1].Load(), sent[1].Load())
	}
}

// checkBrittle checks that brittle servers stand a burst.
func (l *load) checkBrittle(ctx context.Context) {
	var servers []*process
	for _, p := range l.fleet.servers {
		if p.service == plainService {
			servers = append(servers, p)
			if !await(ctx, recoveryTimeout, func() bool { return l.fleet.setBrittle(p, fmt.Sprint(borneRejections)) }) {
				l.record.violated("after the faults: %s does not run", p.name)
				return
			}
		}
	}
	warm, stop := context.WithTimeout(ctx, contactTime)
	defer stop()
	for gateway := range gatewayVMs {
		l.repeat(warm, lostLinksPause, func(int) { l.sendTo(gateway, false) })
	}
	l.wg.Wait()
	before := l.record.fallsOf(plainService)
	var served atomic.Int64
	burst, end := context.WithTimeout(ctx, brittleCheckTime)
	defer end()
	for gateway := range gatewayVMs {
		for range brittleCallers {
			l.repeat(burst, brittlePause, func(int) {
				if l.sendTo(gateway, false) {
					served.Add(1)
				}
			})
		}
	}
	l.wg.Wait()
	if falls := l.record.fallsOf(plainService) - before; falls > allowedFalls {
		l.record.violated("brittle servers fell over %d times in a burst, %d allowed", falls, allowedFalls)
	}
	capacity := float64(len(servers)*serverSlots) * brittleCheckTime.Seconds() / serverDelay.Seconds()
	if float64(served.Load()) < minBrittleUse*capacity {
		l.record.violated("%d bookings were served by brittle servers, which could serve %.0f", served.Load(), capacity)
	}
	for _, p := range servers {
		l.fleet.setBrittle(p, "")
	}
}

// fell records that a backend server has ended by itself.
func (r *recorder) fell(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.falls[service]++
}

// fallsOf returns how often servers of a service have ended by themselves.
func (r *recorder) fallsOf(service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.falls[service]
}
