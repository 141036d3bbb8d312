package laburnumsoak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"laburnumlever/laburnumstandin"
)

const (
	// maxLimit is the highest limit, in requests per second, that a backend server names during faults.
	maxLimit = 8
	// checkedLimit is the limit for the check after the run.
	checkedLimit = 2.0
	// In each limitWindow a backend server gets limitFactor times its limit at most, and limitSlack
	// requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitCheckTime is how long callers send for the check, limitPause the time between two requests of
	// one, and limitCallers their number at each gateway.
	limitCheckTime = limitWindow + time.Second
	limitPause     = 40 * time.Millisecond
	limitCallers   = 4
	// minLimitUse is the least share of the limits that callers must get if they could use more.
	minLimitUse = 0.5
	// setLimitTimeout bounds one attempt to set a limit.
	setLimitTimeout = time.Second
	// servedInRow is the number of requests that must be served in a row once no limit is named.
	servedInRow = 20
)

// setLimit has a backend server name a limit in its answers, or none if the text is empty. It reports
// whether the server runs.
func (f *fleet) setLimit(p *process, text string) bool {
	return f.put(p, laburnumstandin.LimitPath, text)
}

// injectLimit has a backend server name a limit, another one after half of the time, and none at the
// end. A server that already names one is skipped.
func (x *faultInjector) injectLimit(p *process, kind faultKind, down time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.limitedServers[p] {
		return
	}
	x.limitedServers[p] = true
	first, second := x.random.Float64()*maxLimit, x.random.Float64()*maxLimit
	x.logFault(kind, p.name)
	x.wg.Add(1)
	go func() {
		defer x.wg.Done()
		for _, limit := range []float64{first, second} {
			x.fleet.setLimit(p, strconv.FormatFloat(limit, 'f', 1, 64))
			time.Sleep(down / 2)
		}
		await(context.Background(), recoveryTimeout, func() bool { return x.fleet.setLimit(p, "") })
		x.mu.Lock()
		defer x.mu.Unlock()
		delete(x.limitedServers, p)
	}()
}

// limitCheck checks that the gateways keep limits together. One server of the plain service names a
// limit, and both engines of the model.
type limitCheck struct {
	*load
	mu sync.Mutex
	// served are the requests for the model that each gateway has served since the check began, refused
	// those for the plain service that any has refused.
	served  [gatewayVMs]int
	refused int
	began   bool
}

// checkLimits runs the check once all faults are over.
func (l *load) checkLimits(ctx context.Context) {
	c := &limitCheck{load: l}
	limited := slices.DeleteFunc(slices.Clone(l.fleet.servers), func(p *process) bool { return p.name == "booking-2" })
	for _, p := range limited {
		if !await(ctx, recoveryTimeout, func() bool { return l.fleet.setLimit(p, strconv.FormatFloat(checkedLimit, 'f', 1, 64)) }) {
			l.record.violated("after the faults: %s does not run", p.name)
			return
		}
	}
	sending, stop := context.WithCancel(ctx)
	for gateway := range gatewayVMs {
		for n := range limitCallers {
			l.repeat(sending, limitPause, func(int) { c.send(gateway, n%2 == 0) })
		}
	}
	time.Sleep(contactTime)
	known := c.begin()
	time.Sleep(limitCheckTime)
	c.end()
	stop()
	l.wg.Wait()
	c.verify(limited, known)
	c.awaitEnd(ctx, limited)
}

func (c *limitCheck) begin() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began = true
	return time.Now()
}

func (c *limitCheck) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began = false
}

// send sends a request and reports whether it was served.
func (c *limitCheck) send(gateway int, plain bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	id := fmt.Sprintf("limit-%d", c.calls.Add(1))
	address := c.fleet.gateway(gateway)
	if plain {
		status, body, err := c.caller.Confirm(ctx, address, id, "visit")
		c.record.bookingEnded(id, status, err)
		return c.note(gateway, plain, id, err == nil && status == http.StatusOK, body)
	}
	status, body, err := c.caller.Quote(ctx, address, id, "oak")
	whole := err == nil && status == http.StatusOK
	c.record.streamAnswered(id, status, body, whole)
	return c.note(gateway, plain, id, whole, body)
}

// note records the outcome of a request and returns whether it was served.
func (c *limitCheck) note(gateway int, plain bool, id string, served bool, body []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.began {
		return served
	}
	switch {
	case plain && !served:
		c.refused++
	case plain:
	case served:
		c.served[gateway]++
	case strings.TrimSpace(string(body)) != "backend-limited":
		c.record.violated("request %s was answered %q while all engines of its model were limited", id, body)
	}
	return served
}

// verify checks what servers and callers got since all gateways knew the limits.
func (c *limitCheck) verify(limited []*process, known time.Time) {
	allowed := int(limitFactor*checkedLimit*limitWindow.Seconds()) + limitSlack
	for _, p := range limited {
		if n := c.record.busiestWindow(p.name, known); n > allowed {
			c.record.violated("%s named a limit of %g a second and got %d requests in %s, allowed %d", p.name, checkedLimit, n, limitWindow, allowed)
		}
	}
	if c.refused > 0 {
		c.record.violated("%d bookings were refused although a server without a limit had room", c.refused)
	}
	total := 0
	for gateway, n := range c.served {
		total += n
		if n == 0 {
			c.record.violated("gateway-%d served no stream while the engines were limited", gateway+1)
		}
	}
	if least := int(minLimitUse * serversPerService * checkedLimit * limitCheckTime.Seconds()); total < least {
		c.record.violated("%d streams were served within the limits, at least %d expected", total, least)
	}
}

// awaitEnd ends the limits and checks that all requests are served again.
func (c *limitCheck) awaitEnd(ctx context.Context, limited []*process) {
	for _, p := range limited {
		c.fleet.setLimit(p, "")
	}
	row := 0
	if !await(ctx, recoveryTimeout, func() bool {
		for gateway := range gatewayVMs {
			row++
			if !c.send(gateway, false) {
				row = 0
			}
		}
		return row >= servedInRow
	}) {
		c.record.violated("streams are still refused %s after the limits have ended", recoveryTimeout)
	}
}

// ranOn records that a backend server began to run a request.
func (r *recorder) ranOn(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ranAt[server] = append(r.ranAt[server], time.Now())
}

// busiestWindow returns the largest number of requests that a backend server ran in one limitWindow after
// a time.
func (r *recorder) busiestWindow(server string, since time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	times := r.ranAt[server]
	at, _ := slices.BinarySearchFunc(times, since, time.Time.Compare)
	times = times[at:]
	most, first := 0, 0
	for i, now := range times {
		for now.Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
