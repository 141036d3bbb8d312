package laburnumnode

import (
	"sync/atomic"
	"time"

	"laburnumlever"
)

const (
	// minPublishInterval is the least time between two views. Otherwise each load report
	// of thousands of backend servers would build a view. 20 ms is small compared with
	// the age of the reports themselves.
	minPublishInterval = 20 * time.Millisecond
	// publishCostFactor is the least time between two views, as a multiple of the time
	// that the last one took to build. This time grows with the fleet; the factor
	// bounds it to 1/200 of a core for any fleet size.
	publishCostFactor = 200
)

// publisher holds the current view, and rebuilds it on the control thread after a
// change.
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

// View returns the current view; it is safe for concurrent use.
func (p *publisher) View() *laburnumlever.View { return p.current.Load() }

// markDirty requests a new view. Only the control thread calls it.
func (p *publisher) markDirty() { p.dirty = true }

// Handle ends the wait for the interval, so that publishIfDirty publishes the view.
func (p *publisher) Handle(laburnumlever.Event) { p.scheduled = false }

// publishIfDirty builds a requested view unless the interval has not passed yet. It
// runs after each event on the control thread.
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
