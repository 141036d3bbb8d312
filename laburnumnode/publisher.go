package laburnumnode

import (
	"sync/atomic"
	"time"

	"laburnumlever"
)

const (
	// publishGap is the least time between two views. Load reports of thousands of
	// backend servers would otherwise make a view each; 20 ms is small beside the
	// reports' own lag.
	publishGap = 20 * time.Millisecond
	// publishRest is how many times as long as building a view took the next one
	// waits at least: the cost grows with the fleet, and so bounded it takes at most
	// a two-hundredth of a core whatever the size.
	publishRest = 200
)

// publisher holds the current view and rebuilds it on the control thread when
// something in it has changed.
type publisher struct {
	current atomic.Pointer[laburnumlever.View]
	loop    laburnumlever.Loop
	timers  laburnumlever.Timers
	build   func() laburnumlever.View
	dirty   bool
	waiting bool
	last    time.Time
	gap     time.Duration
}

type publishDue struct{}

// EventName names the event.
func (publishDue) EventName() string { return "publish-due" }

// View is the snapshot for traffic.
func (p *publisher) View() *laburnumlever.View { return p.current.Load() }

// markDirty asks for a new view; control thread only.
func (p *publisher) markDirty() { p.dirty = true }

// Handle publishes what was held back by the gap.
func (p *publisher) Handle(laburnumlever.Event) { p.waiting = false }

// publishIfDirty runs after each event on the control thread.
func (p *publisher) publishIfDirty() {
	if !p.dirty || p.waiting {
		return
	}
	now := p.timers.Now()
	if wait := p.gap - now.Sub(p.last); wait > 0 {
		p.waiting = true
		p.timers.After(wait, func(time.Time) { p.loop.Post(p, publishDue{}) })
		return
	}
	p.last = now
	p.dirty = false
	p.publish()
	p.gap = max(publishGap, publishRest*p.timers.Now().Sub(now))
}

func (p *publisher) publish() {
	view := p.build()
	p.current.Store(&view)
}
