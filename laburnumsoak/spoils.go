package laburnumsoak

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"laburnumlever/laburnumstandin"
)

const (
	// firstGarblingServer is the last octet of the first address of the servers that spoil answers, garblingEach their number for
	// each of two services.
	firstGarblingServer, garblingEach = 140, 3
	// garbledShare is the share of its answers that each of them spoils.
	garbledShare = 0.1
	// garbledPause is the time between two parts of their answers.
	garbledPause = 5 * time.Millisecond
	// garbledCallers is the number of callers on each route to them.
	garbledCallers = 2
	// spoiledPrefix starts the line that a stand-in prints for each answer that it spoils.
	spoiledPrefix = "spoiled "
)

// garblingServer defines a backend server that spoils answers and has no other fault.
func (f *fleet) garblingServer(service string, i, number int) *process {
	p := &process{
		name: fmt.Sprintf("%s-%d", service, i+1), service: service, program: f.cfg.Program, folder: f.cfg.Folder,
		address: f.address(number, serverPort), onUnexpectedExit: f.record.processExited,
	}
	p.onLine = func(text string) {
		if run, ok := strings.CutPrefix(text, ranPrefix); ok {
			id, _, _ := strings.Cut(run, " ")
			f.record.garbledRan(id)
		}
		if spoiled, ok := strings.CutPrefix(text, spoiledPrefix); ok {
			id, form, _ := strings.Cut(spoiled, " ")
			f.record.answerSpoiled(id, form)
		}
	}
	p.args = func() []string {
		args := append(f.serverArgs(p, number), "--event-pause", garbledPause.String(),
			"--spoil-share", strconv.FormatFloat(garbledShare, 'f', -1, 64), "--spoil-seed", strconv.FormatUint(f.cfg.Seed+uint64(number), 10)) //nolint:gosec // not negative
		if service == laburnumstandin.ReportService {
			args = append(args, "--model", "m0")
		}
		return args
	}
	return p
}

// garblingServers returns the servers of both services; none where gateways run an earlier build.
func (f *fleet) garblingServers() []*process {
	if !f.cfg.releasesVersions() {
		return nil
	}
	var list []*process
	number := firstGarblingServer
	for _, service := range []string{laburnumstandin.ReportService, laburnumstandin.PriceService} {
		for i := range garblingEach {
			list = append(list, f.garblingServer(service, i, number))
			number++
		}
	}
	return list
}

// useGarbling sends requests to the servers that spoil answers until ctx ends.
func (l *load) useGarbling(ctx context.Context) {
	if len(l.fleet.garbling) == 0 {
		return
	}
	for _, route := range laburnumstandin.GarbledRouteValues() {
		for range garbledCallers {
			l.repeat(ctx, callerPause, func(int) { l.sendGarbled(route) })
		}
	}
}

func (l *load) sendGarbled(route laburnumstandin.GarbledRoute) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	id := fmt.Sprintf("%s-%d", route, l.calls.Add(1))
	status, body, err := l.caller.RequestGarbled(ctx, l.fleet.gateway(l.fleet.anyGateway()), route, id)
	whole := err == nil && status == http.StatusOK
	switch {
	case route.Streams():
		l.record.garbledStreamAnswered(route, id, status, body, whole)
	case route == laburnumstandin.GarbledOrder:
		l.record.bookingEnded(id, status, err)
	}
	if whole && !route.Streams() && !laburnumstandin.AnswerIs(body, "/"+route.String()+"/x", id) {
		l.record.violated("answer to request %s: what no run made: %.60q", id, body)
	}
}

// garbledRan records that a server ran a request, of which only orders must not run twice.
func (r *recorder) garbledRan(id string) {
	if strings.HasPrefix(id, laburnumstandin.GarbledOrder.String()) {
		r.requestRan(id)
	}
}

// answerSpoiled records that a server spoiled an answer, and in which form.
func (r *recorder) answerSpoiled(id, form string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spoiled++
	r.spoiledForms[id] = append(r.spoiledForms[id], form)
}

// garbledStreamAnswered does what streamAnswered does, but leaves an early end to checkEarlyEnds.
func (r *recorder) garbledStreamAnswered(route laburnumstandin.GarbledRoute, id string, status int, body []byte, whole bool) {
	events := laburnumstandin.EventIDs(body)
	if !whole || len(events) >= laburnumstandin.PlatformEvents() || laburnumstandin.Garbage(body, true) != "" {
		r.streamAnswered(id, status, body, whole)
		return
	}
	r.mu.Lock()
	r.earlyEnds[id] = earlyEnd{events: len(events), resumable: route == laburnumstandin.GarbledReport}
	r.mu.Unlock()
	r.streamEnded(id, events, false)
}

// streamAnswered checks the body of a stream: its events, and that it holds nothing else.
func (r *recorder) streamAnswered(id string, status int, body []byte, whole bool) {
	if piece := laburnumstandin.Garbage(body, whole); piece != "" && status == http.StatusOK {
		r.violated("stream %s: a piece that no run made: %.60q", id, piece)
	}
	r.streamEnded(id, laburnumstandin.EventIDs(body), whole)
}

// earlyEnd is a stream that ended as complete before its last event.
type earlyEnd struct {
	events    int
	resumable bool
}

// allowed reports whether the forms in which servers spoiled the stream, the last one last, leave no sign of its early end: bytes behind the
// end of a stream that can't be resumed belong to no request, and an empty stream is one that was over when a second server took it up.
func (e earlyEnd) allowed(forms []string) bool {
	if len(forms) == 0 {
		return false
	}
	last := forms[len(forms)-1]
	if !e.resumable {
		return last == laburnumstandin.SpoilEndThenBytes.String()
	}
	return len(forms) > 1 && (last == laburnumstandin.SpoilEmpty.String() || last == laburnumstandin.SpoilEndThenBytes.String())
}

// checkEarlyEnds checks that streams ended early only where nothing tells it. The caller holds mu.
func (r *recorder) checkEarlyEnds() {
	for id, e := range r.earlyEnds {
		if !e.allowed(r.spoiledForms[id]) {
			r.addViolation("stream %s ended as complete after %d events", id, e.events)
		}
	}
}
