package laburnumroles

import (
	"context"
	"slices"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumquarantine"
	"laburnumlever/laburnumretry"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	liftTimeout = time.Second
	// leastLiftDelay and mostLiftDelay bound the time until a lift is sent again. It is sent for liftTime, so that control VMs
	// that restart or are cut off meanwhile get it.
	leastLiftDelay = 200 * time.Millisecond
	mostLiftDelay  = 5 * time.Second
	liftTime       = 10 * time.Minute
	// maxLifts bounds the lifts that are sent; the oldest goes first.
	maxLifts = 256
)

// lifts tells the other control VMs of lifted parts, each of their starts until it has acknowledged it. It is safe for
// concurrent use.
type lifts struct {
	peers  laburnumlever.Peers
	timers laburnumlever.Timers
	logger log.Logger
	// controls returns the other control VMs.
	controls func() []laburnumlever.VM

	mu     sync.Mutex
	closed bool
	// pending are the lifts that are sent, the oldest first.
	pending []*pendingLift
}

// pendingLift is a lift that control VMs may not know of.
type pendingLift struct {
	part   laburnumquarantine.Part
	report laburnumquarantine.Report
	until  time.Time
	delay  laburnumretry.Backoff
	cancel func()
	// told are the control VMs that have acknowledged the lift, and those to which it is under way.
	told map[controlStart]struct{}
}

// controlStart is a start of a control VM.
type controlStart struct {
	vm          laburnumlever.VMID
	incarnation uint64
}

func newLifts(peers laburnumlever.Peers, timers laburnumlever.Timers, logger log.Logger, controls func() []laburnumlever.VM) *lifts {
	return &lifts{peers: peers, timers: timers, logger: logger, controls: controls}
}

// add sends the report of a lift. An earlier one of the same part is no longer sent.
func (l *lifts) add(part laburnumquarantine.Part, report laburnumquarantine.Report) {
	now := l.timers.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	for _, p := range l.pending {
		if p.part == part {
			l.end(p)
			break
		}
	}
	if len(l.pending) >= maxLifts {
		l.end(l.pending[0])
	}
	p := &pendingLift{
		part: part, report: report, until: now.Add(liftTime), told: map[controlStart]struct{}{},
		delay: laburnumretry.Backoff{Least: leastLiftDelay, Most: mostLiftDelay},
	}
	l.pending = append(l.pending, p)
	l.send(p)
}

// end stops sending a lift. The caller holds mu.
func (l *lifts) end(p *pendingLift) {
	p.cancel()
	l.pending = slices.DeleteFunc(l.pending, func(other *pendingLift) bool { return other == p })
}

// send sends a lift to the control VMs that were not told of it, now and later. The caller holds mu.
func (l *lifts) send(p *pendingLift) {
	for _, vm := range l.controls() {
		to := controlStart{vm: vm.ID, incarnation: vm.Incarnation}
		if _, told := p.told[to]; told {
			continue
		}
		p.told[to] = struct{}{}
		go l.tell(p, to, vm.PeerAddress)
	}
	p.cancel = l.timers.After(p.delay.Next(), func(now time.Time) { l.sendAgain(p, now) })
}

func (l *lifts) sendAgain(p *pendingLift, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !slices.Contains(l.pending, p): // it was ended while the timer ran
	case !now.Before(p.until):
		l.end(p)
	default:
		l.send(p)
	}
}

// tell sends a lift to a control VM. Without an answer it is sent again.
func (l *lifts) tell(p *pendingLift, to controlStart, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), liftTimeout)
	defer cancel()
	var answer struct{}
	err := l.peers.Call(ctx, address, methodQuarantineReport, p.report.Sent(l.timers.Now()), &answer)
	if err == nil || isUnknownMethod(err) {
		return
	}
	_ = level.Info(l.logger).Log("event", laburnumlever.EventQuarantineNotReported, "address", address, "cause", err)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(p.told, to)
}

// close ends the lifts.
func (l *lifts) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, p := range l.pending {
		p.cancel()
	}
	l.pending = nil
}
