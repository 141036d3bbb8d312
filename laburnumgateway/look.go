package laburnumgateway

import (
	"context"
	"net/http"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumpace"
	"laburnumlever/laburnumretry"
	"laburnumlever/laburnumupstream"
)

// maxLooks is the number of engines that one request asks: each costs a round trip, and with every one it is less likely that all
// are slow.
const maxLooks = 2

//go:generate go tool -modfile=../tools/go.mod enumer -type=lookOutcome -transform=kebab -trimprefix=look -output=lookoutcome_gen.go

// lookOutcome is what came of asking an engine for its load and pace.
type lookOutcome int

const (
	// lookKept is an engine that gets the request.
	lookKept lookOutcome = iota
	// lookSlow is an engine that is too slow for the prompt.
	lookSlow
	// lookFull is an engine without a free slot.
	lookFull
	// lookUnclear is an answer without a load that can be read, or of another server.
	lookUnclear
	// lookUnanswered has no answer.
	lookUnanswered
)

// look asks the engine for its load and pace on the request's own connection, if the answer can change where the request is sent. A
// failure means that the request was not sent. The connection can be reused if resp is not nil.
//
// Load pattern: engines share machines with others, any of which turns slow for some hundred milliseconds. A long prompt that is read
// on a slow machine makes the streams there pause, and a gateway that last heard from it seconds ago can't know.
func (g *Gateway) look(ctx context.Context, q *request, ticket *laburnumbalance.Ticket, conn *laburnumupstream.Conn, result *laburnumbalance.AttemptResult) (*failure, *http.Response) {
	if !g.needsLook(q, ticket, conn) {
		return nil, nil
	}
	if err := g.checkCaller(ctx, q); err != nil {
		return &failure{stage: laburnumretry.StageNotSent, cause: err, refused: err}, nil
	}
	q.looks++
	resp, headers, _, err := g.askFirst(q, ticket, conn, g.dialect.LookCall(q.service.HealthPath, ticket.Backend.Backend))
	if err != nil {
		q.looks = maxLooks
		g.counters.looks[lookUnanswered].Inc(1)
		result.Failed = ctx.Err() == nil
		if result.Failed && !isGarbage(err) {
			g.links.failed(ticket.Backend)
		}
		return &failure{stage: laburnumretry.StageNotSent, reason: laburnumlever.RefusedBackendUnreachable, cause: err}, nil
	}
	outcome := g.judgeLook(ticket, headers)
	g.counters.looks[outcome].Inc(1)
	fail := &failure{stage: laburnumretry.StageNotSent, reason: laburnumlever.RefusedBackendBusy, cause: &AnswerStatusError{Status: resp.StatusCode}}
	switch outcome {
	case lookSlow:
		result.PassedOver, fail.passedOver = true, true
		return fail, resp
	case lookFull:
		result.PassedOver, result.ReservationRefused, fail.slotRefused = true, true, true
		q.refusedReservations++
		return fail, resp
	default:
		return nil, nil
	}
}

// needsLook reports whether an engine is asked before the request is sent there. One that the request has a permit or lease for is
// not, nor one that is reached through another VM, where the answer takes a multiple of the time.
func (g *Gateway) needsLook(q *request, ticket *laburnumbalance.Ticket, conn *laburnumupstream.Conn) bool {
	if q.looks >= maxLooks || q.route.Kind != laburnumlever.KindStream || q.service.Engine == nil || q.service.HealthPath == "" {
		return false
	}
	if q.lease != nil || q.permit.Backend != "" || q.queuesAtEngine() || conn.Tunnelled() {
		return false
	}
	return g.fleet.lookDecides(q.service.Name, ticket)
}

// judgeLook decides whether the engine gets the request. With a slot to spare there, no reservation is needed.
func (g *Gateway) judgeLook(ticket *laburnumbalance.Ticket, headers laburnumlever.AnswerHeaders) lookOutcome {
	if headers.Backend != "" && headers.Backend != ticket.Backend.Backend {
		return lookUnclear
	}
	if headers.LoadError != nil {
		g.counters.loadsUnclear.Inc(1)
	}
	g.fleet.updateLoad(ticket.Backend, headers)
	if !headers.HasLoad {
		return lookUnclear
	}
	taken := headers.Running + headers.Waiting
	switch {
	case g.fleet.overruns(ticket):
		return lookSlow
	case taken >= headers.Slots:
		return lookFull
	case taken+1 < headers.Slots:
		ticket.RoomSeen()
	}
	return lookKept
}

// lookDecides reports whether asking the ticket's engine for its pace can change where the request is sent.
func (f *Fleet) lookDecides(service laburnumlever.ServiceName, ticket *laburnumbalance.Ticket) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.sharedMachines.Looks || !f.sharesMachines(service) {
		return false
	}
	return f.balance.LookDecides(ticket, f.paces[service].Slowest(), f.timers.Now())
}

// overruns reports whether the ticket's engine is known to be too slow for the prompt.
func (f *Fleet) overruns(ticket *laburnumbalance.Ticket) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balance.Overruns(ticket, f.timers.Now())
}

// notePace records the pace that a backend server told. The caller must hold mu.
func (f *Fleet) notePace(to laburnumlever.Heartbeat, headers laburnumlever.AnswerHeaders) {
	if headers.Pace <= 0 {
		return
	}
	now := f.timers.Now()
	service := f.paces[to.Service]
	if service == nil {
		service = &laburnumpace.Service{}
		f.paces[to.Service] = service
	}
	service.Tell(headers.Pace, now)
	if f.sharedMachines.Looks {
		f.balance.ObservePace(to, headers.Pace, headers.Running, now)
	}
}

// addPace adds to a query what the streams of its service need, if their backend servers tell their pace. The caller must hold mu.
func (f *Fleet) addPace(query *laburnumbalance.Query) {
	service, index := f.paces[query.Service], f.index.Load()
	if !f.sharedMachines.Looks || service == nil || index == nil {
		return
	}
	query.Interval, query.PauseTarget = service.Interval(), index.PauseTarget(query.Service)
}

// recordInterval records the time between the first events of a stream, once there are enough of them, at a service whose backend
// servers tell their pace.
func (f *Fleet) recordInterval(q *request, out *answer) {
	if out.events != laburnumpace.Gaps+1 || !f.sharedMachines.Looks {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if service := f.paces[q.service.Name]; service != nil {
		service.StreamBegun(out.lastAt.Sub(out.firstAt))
	}
}
