package laburnumgateway

import (
	"context"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumtunnel"
	"laburnumlever/laburnumupstream"

	"github.com/go-kit/log/level"
)

// noticeTimeout bounds a notice to a helper.
const noticeTimeout = time.Second

// NoticeFunc tells the helper at an address what a backend server asked of it in an answer that went through it.
type NoticeFunc func(ctx context.Context, helper string, n laburnumtunnel.Notice) error

// WithHelperNotices sets how helpers are told; by default they aren't.
func WithHelperNotices(notify NoticeFunc) Option { return func(g *Gateway) { g.notify = notify } }

// WithServerRefused sets a function that is called with the address of a backend server to which this VM must not carry
// requests of others for now; by default nothing is called.
func WithServerRefused(fn func(address string)) Option {
	return func(g *Gateway) { g.refusesServer = fn }
}

// observeAnswer takes what the head of an answer tells of its backend server: load, limits, and whether it wants to be sent
// nothing for a while or any more. An answer of another server that has the address now tells nothing.
func (g *Gateway) observeAnswer(ticket *laburnumbalance.Ticket, conn *laburnumupstream.Conn, sentAt time.Time, status int, headers laburnumlever.AnswerHeaders) {
	to := ticket.Backend
	if headers.Backend != "" && headers.Backend != to.Backend {
		return
	}
	if headers.LoadError != nil {
		g.counters.loadsUnclear.Inc(1)
	}
	g.fleet.updateLoad(to, headers)
	if headers.Leaving {
		g.serverLeaves(to)
	}
	if headers.Rest > 0 {
		g.serverRests(to, headers.Rest)
	} else {
		g.fleet.restOver(ticket)
	}
	g.fleet.observeLimit(to, sentAt, status, headers)
	if conn.Tunnelled() && (headers.Leaving || headers.Rest > 0) {
		g.notifyHelper(conn.Via(), laburnumtunnel.Notice{
			Address: to.Address, Backend: to.Backend, Incarnation: to.Incarnation, Leaving: headers.Leaving, Rest: laburnumlever.Duration(headers.Rest),
		})
	}
}

// notifyHelper tells a helper what a backend server, which knows the helper only, asked of it. It does not block.
func (g *Gateway) notifyHelper(helper string, n laburnumtunnel.Notice) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
		defer cancel()
		if err := g.notify(ctx, helper, n); err != nil {
			_ = level.Info(g.logger).Log("event", laburnumlever.EventHelperNotNotified, "helper", helper, "backend", n.Backend, "cause", err)
		}
	}()
}

// HandleNotice takes what a backend server asked of this VM in an answer to a gateway that this VM helps.
func (g *Gateway) HandleNotice(n laburnumtunnel.Notice) {
	to := laburnumlever.Heartbeat{Backend: n.Backend, Incarnation: n.Incarnation, Address: n.Address}
	if n.Leaving {
		g.serverLeaves(to)
	}
	if n.Rest > 0 {
		g.serverRests(to, time.Duration(n.Rest))
	}
}

// serverRests has a backend server get no requests for the time that it asked for.
func (g *Gateway) serverRests(to laburnumlever.Heartbeat, rest time.Duration) {
	f := g.fleet
	f.mu.Lock()
	until, longer := f.balance.Rest(to, rest, f.timers.Now())
	if longer {
		f.wakeQueue()
		f.timers.After(until.Sub(f.timers.Now()), func(time.Time) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.serveQueue()
		})
	}
	f.mu.Unlock()
	if !longer {
		return
	}
	g.counters.rests.Inc(1)
	_ = level.Info(g.logger).Log("event", laburnumlever.EventBackendRests, "backend", to.Backend, "rest-ms", millis(rest))
	g.refusesServer(to.Address)
}

// serverLeaves has a backend server get no more requests, since it said that it leaves.
func (g *Gateway) serverLeaves(to laburnumlever.Heartbeat) {
	f := g.fleet
	f.mu.Lock()
	r, changed := f.registry.MarkLeaving(to.Backend, to.Incarnation)
	if changed {
		f.leavers = append(f.leavers, laburnumlever.BackendStart{Backend: to.Backend, Incarnation: to.Incarnation})
		f.updateBackend(r)
	}
	f.mu.Unlock()
	if !changed {
		return
	}
	g.counters.leaves.Inc(1)
	_ = level.Info(g.logger).Log("event", laburnumlever.EventBackendLeaves, "backend", to.Backend)
	g.refusesServer(to.Address)
}

// restOver ends the recovery of a backend server that has answered after its rest.
func (f *Fleet) restOver(ticket *laburnumbalance.Ticket) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balance.RestOver(ticket)
}

// checkSend returns an error if a backend server must not be sent anything now, or is not the one any more that was picked:
// it is the last look before each send. Errors: *ServerChangedError, *ServerRestsError.
func (f *Fleet) checkSend(h laburnumlever.Heartbeat) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.registry.Record(h.Backend)
	if !ok || !r.AcceptsRequests() || r.Heartbeat.Incarnation != h.Incarnation || r.Heartbeat.Software != h.Software {
		return &ServerChangedError{Backend: h.Backend}
	}
	if f.balance.IsResting(h, f.timers.Now()) {
		return &ServerRestsError{Backend: h.Backend}
	}
	return nil
}

// waitsForRest decides on a request whose servers all rest: one of them takes requests again before the request has to leave the
// queue, or the request is refused now. The caller must hold mu.
func (f *Fleet) waitsForRest(query laburnumbalance.Query, until, now time.Time) laburnumbalance.Verdict {
	if end, resting := f.balance.RestsUntil(query, now); resting && !end.Before(until) {
		return laburnumbalance.Resting
	}
	return laburnumbalance.Full
}

// restsTooLong reports whether a queued request can't be served in time, as all of its servers rest. The caller must hold mu.
func (f *Fleet) restsTooLong(q *request, query laburnumbalance.Query, now time.Time) bool {
	end, resting := f.balance.RestsUntil(query, now)
	return resting && !end.Before(waitPolicy.QueueDeadline(q.queueTimes()))
}

// refuseAfter refuses a request that is in quarantine by now, or found only resting servers, or was woken in the queue for
// them; nil for others.
func (f *Fleet) refuseAfter(verdict laburnumbalance.Verdict, q *request) error {
	if err := f.refuseQuarantined(q); err != nil {
		return err
	}
	switch verdict {
	case laburnumbalance.Resting, laburnumbalance.Limited:
		return f.restRefusal(q)
	default:
		return nil
	}
}

// restRefusal refuses a request whose servers all rest until later than it can wait; nil if they don't.
func (f *Fleet) restRefusal(q *request) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	end, resting := f.balance.RestsUntil(f.query(q), now)
	if !resting {
		return nil
	}
	return newRefusal(laburnumlever.RefusedBackendResting, end.Sub(now), "all backend servers that could serve the request have asked for rest")
}
