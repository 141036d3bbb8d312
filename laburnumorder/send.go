package laburnumorder

import (
	"context"
	"fmt"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumplacement"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
)

// startMove starts one move and reports whether it did. If the engine is busy or its memory
// is still committed, a later round tries again.
func (o *Owner) startMove(m laburnumplacement.Move, now time.Time) bool {
	e, ok := o.engines[m.Engine]
	if !ok || !o.canOrder(e, now) || e.count >= maxCount {
		return false
	}
	if m.Kind == laburnumlever.Load && !o.ledger.Fits(m.Engine, m.Copy) {
		return false
	}
	e.count++
	o.orders++
	order := laburnumlever.Order{
		ID:    laburnumlever.OrderID(fmt.Sprintf("%s-%d-%d", o.self.ID, o.self.Incarnation, o.orders)),
		Kind:  m.Kind,
		Fence: FencingNumber(o.lease.fence, e.count),
		Copy:  m.Copy,
	}
	o.recordMove(m, order.ID, now)
	if !e.announcement.ChecksFencing {
		order.Fence = o.lease.fence
	}
	e.order = newTrackedOrder(order)
	o.ledger.AddOrder(m.Engine, order)
	if m.Kind == laburnumlever.Load {
		e.loading[copyKey(m.Copy)] = now
		e.updates[copyKey(m.Copy)] = m.Copy
	}
	if e.announcement.ChecksFencing {
		o.send(e)
		return true
	}
	o.recordIntent(e)
	return true
}

// canOrder reports whether an order can be sent to the engine now.
func (o *Owner) canOrder(e *engine, now time.Time) bool {
	return e.orderable && !e.gone && e.order == nil && e.activeRead == 0 && !now.Before(e.pauseUntil) && o.leasePermits(e, now)
}

// recordIntent proposes the order's intent to the log. The order is sent once the intent is
// committed: if this VM fails before the answer arrives, the next owner learns from the log
// that the order may have been sent.
func (o *Owner) recordIntent(e *engine) {
	o.advance(e, "intent-proposed")
	intent := laburnumlever.OrderIntent{
		Lease: o.leaseName(), Backend: e.announcement.Backend,
		Incarnation: e.incarnation, Order: e.order.order,
	}
	e.intents[intent.Order.ID] = intent
	o.call(func(ctx context.Context) {
		_, err := o.proposer.Propose(ctx, laburnumlever.Command{Kind: laburnumlever.CommandRecordIntent, Intent: &intent})
		o.loop.Post(o, intentAnswered{backend: intent.Backend, order: intent.Order.ID, err: err})
	})
}

func (o *Owner) onIntent(ev intentAnswered) {
	e := o.engine(ev.backend)
	if e.order == nil || e.order.order.ID != ev.order {
		return
	}
	if ev.err != nil {
		// The order was not sent and never will be. The intent may be in the log
		// nevertheless, so it is resolved like that of a sent order.
		o.advance(e, "intent-failed")
		o.dropOrder(e)
		if result, _ := laburnumlever.Rejection(ev.err); result.Code == laburnumlever.ResultNotHolder {
			o.lease.next = time.Time{}
		}
		return
	}
	o.advance(e, "intent-committed")
	if e.order.order.Fence != o.lease.fence || !o.lease.until.isLive(o.timers.Now()) {
		o.advance(e, "lease-over")
		o.dropOrder(e)
		return
	}
	o.send(e)
}

// send sends the order from a worker. For an engine that does not check fencing numbers,
// the worker checks the lease's deadline again just before the write: this VM may have been
// frozen, or the worker delayed, since the control thread checked it.
func (o *Owner) send(e *engine) {
	o.advance(e, "send-started")
	order, to := e.order.order, e.announcement
	o.call(func(ctx context.Context) {
		if expiredFor := o.lease.until.expiredFor(o.timers.Now()); !to.ChecksFencing && expiredFor >= 0 {
			err := &laburnumlever.NotSentError{Cause: &LeaseExpiredError{Zone: o.self.Zone, ExpiredFor: expiredFor}}
			o.loop.Post(o, orderAnswered{backend: to.Backend, order: order.ID, err: err})
			return
		}
		answer, err := o.client.Order(ctx, to, order)
		o.loop.Post(o, orderAnswered{backend: to.Backend, order: order.ID, answer: answer, err: err})
	})
}

func (o *Owner) onOrder(ev orderAnswered) {
	e := o.engine(ev.backend)
	if e.order == nil || e.order.order.ID != ev.order {
		return
	}
	now := o.timers.Now()
	var notSent *laburnumlever.NotSentError
	switch {
	case errors.As(ev.err, &notSent):
		o.advance(e, "not-sent")
		e.pauseUntil = now.Add(readRetryDelay)
		o.dropOrder(e)
	case ev.err != nil || ev.answer.ID != ev.order:
		o.advance(e, "answer-lost")
		_ = level.Warn(o.logger).Log("event", laburnumlever.EventOrderOutcomeUnknown, "backend", ev.backend, "order", ev.order, "err", ev.err)
		o.ledger.SetSettleTime(ev.backend, ev.order, now.Add(o.maxOrderDelay))
		e.order.settleAfter = now.Add(o.maxOrderDelay)
		e.nextRead = now
	default:
		o.applyAnswer(e, ev.answer, now)
	}
}

func (o *Owner) applyAnswer(e *engine, answer laburnumlever.OrderAnswer, now time.Time) {
	o.advance(e, "answered")
	order := e.order.order
	backend := e.announcement.Backend
	o.ledger.SetSettleTime(backend, order.ID, now.Add(o.maxOrderDelay))
	o.ledger.SetLoaded(backend, answer.Loaded)
	e.order = nil
	o.scope.Tagged(map[string]string{"kind": order.Kind.String(), "outcome": answer.Outcome.String()}).Counter("orders").Inc(1)
	switch answer.Outcome {
	case laburnumlever.OrderDone:
		if order.Kind == laburnumlever.Load {
			o.loadsDone.Add(1)
		}
	case laburnumlever.OrderStaleFence:
		// Another owner has claimed the engine, possibly after a restart.
		e.orderable = false
		o.lease.next = time.Time{}
	default:
		e.pauseUntil = now.Add(failedOrderPause)
		_ = level.Warn(o.logger).Log("event", laburnumlever.EventOrderRefused, "backend", backend, "order", order.ID, "outcome", answer.Outcome, "detail", answer.Detail)
	}
	o.trackLoads(e, now)
	// A read that is due earlier keeps its time. If each order postponed the read, an engine
	// that gets an order in every round would never be read, and settled orders would count
	// forever.
	e.readNoLaterThan(now.Add(busyReadPeriod))
}

// dropOrder removes the current order, which was certainly never sent, and resolves its intent.
func (o *Owner) dropOrder(e *engine) {
	order := e.order.order
	o.ledger.RemoveOrder(e.announcement.Backend, order.ID)
	delete(e.loading, copyKey(order.Copy))
	delete(e.updates, copyKey(order.Copy))
	e.order = nil
	o.resolveIntent(e, order.ID)
}

// settleOrders completes the orders and intents that an inventory has settled. An engine that
// checks fencing numbers refuses a lost order once the read has claimed the engine with a
// higher number. The ledger still counts the order until it can no longer reach the engine,
// because an engine loses its number when it restarts.
func (o *Owner) settleOrders(e *engine, ev readAnswered) {
	if e.order != nil && e.order.is(stateUnknown) {
		if e.announcement.ChecksFencing || !ev.began.Before(e.order.settleAfter) {
			o.advance(e, "read-after-wait")
			delete(e.loading, copyKey(e.order.order.Copy))
			e.order = nil
		}
	}
	for id := range e.intents {
		current := e.order != nil && e.order.order.ID == id
		if !current && !o.ledger.HasOrder(ev.backend, id) && !ev.began.Before(o.earlierOrdersUntil) {
			o.resolveIntent(e, id)
		}
	}
}

// resolveIntent removes an intent from the log. If that fails, the intent is kept and
// resolved again after a later read.
func (o *Owner) resolveIntent(e *engine, id laburnumlever.OrderID) {
	intent, ok := e.intents[id]
	if !ok {
		return
	}
	o.call(func(ctx context.Context) {
		_, err := o.proposer.Propose(ctx, laburnumlever.Command{Kind: laburnumlever.CommandResolveIntent, Intent: &intent})
		if result, rejected := laburnumlever.Rejection(err); rejected && result.Code == laburnumlever.ResultUnknown {
			err = nil // resolved before
		}
		o.loop.Post(o, intentResolved{backend: intent.Backend, order: id, err: err})
	})
}

// onResolved forgets a resolved intent, or schedules a read after which it is resolved again.
func (o *Owner) onResolved(ev intentResolved) {
	e := o.engine(ev.backend)
	if ev.err == nil {
		delete(e.intents, ev.order)
		return
	}
	e.readNoLaterThan(o.timers.Now().Add(idleReadPeriod))
}

// advance applies an event to the state chart of the engine's order.
func (o *Owner) advance(e *engine, event string) {
	if err := e.order.apply(event); err != nil {
		_ = level.Error(o.logger).Log("event", laburnumlever.EventOrderStateChanged, "backend", e.announcement.Backend, "order", e.order.order.ID, "err", err)
	}
}
