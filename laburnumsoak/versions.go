package laburnumsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"laburnumlever/laburnumstandin"
)

const (
	// draftServers is the number of backend servers of the service of two software versions. The first keptServers keep the
	// first version, the others are released anew again and again.
	draftServers, keptServers = 4, 2
	// firstDraftServer is the last octet of the first one's address.
	firstDraftServer = 110
	// draftPause is the time between two events of a draft, so that faults find streams in flight.
	draftPause = 100 * time.Millisecond
	// draftCallers send drafts all the time; each takes up a broken one draftTries - 1 times.
	draftCallers, draftTries = 4, 3
	// minReleaseGap and maxReleaseGap bound the time between two releases or restarts of one of these servers.
	minReleaseGap, maxReleaseGap = 300 * time.Millisecond, 1500 * time.Millisecond
	// checkedDrafts is the number of streams whose gateway is killed for the check after the run, minTakenUp the least share
	// of them that must go on.
	checkedDrafts = 16
	minTakenUp    = 0.5
)

// draftCounts counts drafts.
type draftCounts struct{ begun, broken, takenUp int }

// releasesVersions reports whether servers of several software versions serve side by side, ask for rest, say in their answers
// that they leave, and fall silent while gateways have a share of a core. With an earlier build's program, they do in every second run, and only control VMs run that build.
func (cfg Config) releasesVersions() bool { return cfg.Older == "" || cfg.Seed%2 == 1 }

// injected are the processes that the faults of the main sequence apply to.
func (f *fleet) injected() []*process {
	all := f.all()
	return all[:len(all)-len(f.drafts)-len(f.steady)-len(f.garbling)]
}

// draftServer defines a backend server of the service of two software versions. Its version is that of the last release.
func (f *fleet) draftServer(i int) *process {
	name, number := fmt.Sprintf("drafts-%d", i+1), firstDraftServer+i
	link := f.addLink(name, f.address(number, serverPort), f.address(number, serverListenPort))
	p := &process{name: name, service: "drafts", program: f.cfg.Program, folder: f.cfg.Folder, link: link, address: f.address(number, serverListenPort)}
	f.versions[i].Store(1)
	p.onLine = func(text string) {
		if vm, ok := strings.CutPrefix(text, brokenPrefix); ok {
			f.serverBroken(name, vm)
		}
	}
	p.args = func() []string {
		return append(f.serverArgs(p, number), "--model", "m0", "--event-pause", draftPause.String(),
			"--software", fmt.Sprintf("v%d", f.versions[i].Load()))
	}
	return p
}

// releases restarts the servers of the service of two software versions, one or two at a time, until ctx ends: those that keep
// their version, and the others with the version that they had or the next one. Its sequence does not change that of run.
func (x *faultInjector) releases(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, draftServers)) //nolint:gosec // repeatable
	next := int64(1)
	for {
		switch next++; next % 4 {
		case 0:
			x.releaseAt(keptServers+random.IntN(draftServers-keptServers), next, syscall.SIGKILL, random)
		case 1:
			x.restAt(random.IntN(draftServers), random)
		default:
			x.releaseAt(random.IntN(draftServers), next, syscall.SIGTERM, random)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(minReleaseGap + time.Duration(random.Int64N(int64(maxReleaseGap-minReleaseGap)))):
		}
	}
}

// releaseAt restarts one server; it does not wait for its end.
func (x *faultInjector) releaseAt(i int, version int64, sig syscall.Signal, random *rand.Rand) {
	p := x.fleet.drafts[i]
	down := time.Duration(random.Int64N(int64(time.Second)))
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.busyProcesses[p] {
		return
	}
	x.busyProcesses[p] = true
	if i >= keptServers && x.fleet.cfg.releasesVersions() {
		x.fleet.versions[i].Store(version)
	}
	x.history = append(x.history, fmt.Sprintf("%.1f s restart %s (%s) as v%d", time.Since(x.start).Seconds(), p.name, sig, x.fleet.versions[i].Load()))
	says := random.IntN(2) == 0 && x.fleet.cfg.releasesVersions()
	x.wg.Go(func() {
		if sig == syscall.SIGTERM && says { // it says so in its answers before it announces it
			x.fleet.put(p, laburnumstandin.LeavePath, "")
			time.Sleep(leaveTime)
		}
		p.stop(sig)
		time.Sleep(down)
		x.release(p, x.restart(p))
	})
}

// draft is a stream that a caller takes up each time it breaks.
type draft struct {
	events []laburnumstandin.StreamEvent
	// first is the id of the attempt that brought the first event.
	first string
}

func (d *draft) ended() bool {
	n := len(d.events)
	return n > 0 && d.events[n-1].ID == laburnumstandin.PlatformEvents()
}

// try makes one attempt at a draft and reports whether it brought events.
func (d *draft) try(ctx context.Context, l *load, gateway int) bool {
	id := fmt.Sprintf("d-%d", l.calls.Add(1))
	var status int
	var body []byte
	if n := len(d.events); n > 0 {
		status, body, _ = l.caller.Resume(ctx, l.fleet.gateway(gateway), id, d.first, d.events[n-1].ID, d.first)
	} else {
		status, body, _ = l.caller.Draft(ctx, l.fleet.gateway(gateway), id, id) // one text for all would be a request that crashes servers
		d.first = id
	}
	if status != http.StatusOK {
		return false
	}
	if piece := laburnumstandin.Garbage(body, false); piece != "" {
		l.record.violated("stream %s: a piece that no run made: %.60q", d.first, piece)
	}
	events := laburnumstandin.StreamEvents(body)
	d.events = append(d.events, events...)
	return len(events) > 0
}

// takeDraft sends a draft to a gateway, takes it up at any if it breaks, and checks what came.
func (l *load) takeDraft(gateway int) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	d := &draft{}
	began := d.try(ctx, l, gateway)
	tookUp, broken := false, began && !d.ended()
	for try := 1; try < draftTries && began && !d.ended(); try++ {
		tookUp = d.try(ctx, l, l.fleet.anyGateway()) || tookUp
	}
	l.record.draftEnded(d, broken, tookUp)
}

// draftEnded checks that a stream has events of one version only, each once and in order.
func (r *recorder) draftEnded(d *draft, broken, tookUp bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(d.events) > 0 {
		r.drafts.begun++
	}
	if broken {
		r.drafts.broken++
	}
	if tookUp {
		r.drafts.takenUp++
	}
	for i, e := range d.events {
		if e.ID != i+1 || e.Software != d.events[0].Software {
			r.addViolation("stream %s of %s: event %d of %s at position %d", d.first, d.events[0].Software, e.ID, e.Software, i+1)
			return
		}
	}
}

// checkVersions checks that callers whose gateway is killed take their streams up at the other one.
func (l *load) checkVersions(ctx context.Context, x *faultInjector) {
	p := l.fleet.gateways[0]
	await(ctx, recoveryTimeout, func() bool { return l.draftsServed(ctx) })
	drafts := make([]draft, checkedDrafts)
	var all sync.WaitGroup
	for i := range drafts {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			drafts[i].try(ctx, l, 0)
		})
	}
	time.Sleep(2 * draftPause)
	p.stop(syscall.SIGKILL)
	all.Wait()
	broken, went := 0, 0
	for i := range drafts {
		d := &drafts[i]
		if len(d.events) == 0 || d.ended() {
			continue
		}
		broken++
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		tookUp := d.try(ctx, l, 1)
		cancel()
		if tookUp {
			went++
		}
		l.record.draftEnded(d, true, tookUp)
	}
	if float64(went) < minTakenUp*float64(broken) {
		l.record.violated("%d of %d streams of a gateway that was killed went on at the other one", went, broken)
	}
	if err := x.restart(p); err != nil {
		l.record.violated("%s did not start again: %v", p.name, err)
	}
}

// draftsServed reports whether the gateways serve drafts.
func (l *load) draftsServed(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for gateway := range gatewayVMs {
		d := &draft{}
		if d.try(ctx, l, gateway); !d.ended() {
			return false
		}
	}
	return true
}
