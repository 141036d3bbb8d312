package laburnumnode

import (
	"sync/atomic"
	"time"

	"laburnumlever"
)

const (
	// minPublishInterval is the least time between two views. Load reports of thousands of
	// backend servers would otherwise make a view each; 20 ms is small beside the
	// reports' own lag.
	minPublishInterval = 20 * time.Millisecond
	// publishCostFactor is how many times as long as building a view took the next one
	// waits at least: the cost grows with the fleet, and so bounded it takes at most
	// a two-hundredth of a core whatever the size.
	publishCostFactor = 200
)

// publisher holds the current view and rebuilds it on the control thread when
// something in it has changed.
type publisher struct {
	current       atomic.Pointer[laburnumlever.View]
	loop          laburnumlever.Loop
	timers        laburnumlever.Timers
	build         func() laburnumlever.View
	dirty         bool
	scheduled     bool
	lastPublished time.Time
	interval      time.Duration
}

type publishDue struct{}

// EventName names the event.
func (publishDue) EventName() string { return "publish-due" }

// View is the snapshot for traffic.
func (p *publisher) View() *laburnumlever.View { return p.current.Load() }

// markDirty asks for a new view; control thread only.
func (p *publisher) markDirty() { p.dirty = true }

// Handle publishes what was held back by the gap.
func (p *publisher) Handle(laburnumlever.Event) { p.scheduled = false }

// publishIfDirty runs after each event on the control thread.
func (p *publisher) publishIfDirty() {
	if !p.dirty || p.scheduled {
		return
	}
	now := p.timers.Now()
	if wait := p.interval - now.Sub(p.lastPublished); wait > 0 {
		p.scheduled = true
		p.timers.After(wait, func(time.Time) { p.loop.Post(p, publishDue{}) })
		return
	}
	p.lastPublished = now
	p.dirty = false
	p.publish()
	p.interval = max(minPublishInterval, publishCostFactor*p.timers.Now().Sub(now))
}

func (p *publisher) publish() {
	view := p.build()
	p.current.Store(&view)
}
