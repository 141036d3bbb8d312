package laburnumproxy

import (
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumadmission"
	"laburnumlever/laburnumrouter"
)

const (
	// rebuildCostFactor bounds the cost of building indexes to 1/200 of a core: the next build
	// waits 200 times as long as the last one took, up to maxRebuildInterval. At the design
	// size, reports change the view thousands of times a second.
	rebuildCostFactor = 200
	// missingCostFactor bounds builds for requests whose name is not in the index to 1/20 of a
	// core: requests for models that never existed cause them too.
	missingCostFactor = 20
	// maxRebuildInterval bounds the age of an index: a backend server that leaves must be out
	// of it well within the promised 3 s.
	maxRebuildInterval = time.Second
)

// lookup indexes a view's catalogue by name.
type lookup struct {
	view     *laburnumlever.View
	models   map[laburnumlever.ModelName]*laburnumlever.Model
	services map[laburnumlever.ServiceName]*laburnumlever.Service
	owners   map[laburnumlever.OwnerName]*laburnumlever.Owner
	classes  map[laburnumlever.ClassName]*laburnumlever.Class
}

func newLookup(view *laburnumlever.View) *lookup {
	cat := &view.Catalogue
	l := &lookup{
		view:     view,
		models:   make(map[laburnumlever.ModelName]*laburnumlever.Model, len(cat.Models)),
		services: make(map[laburnumlever.ServiceName]*laburnumlever.Service, len(cat.Services)),
		owners:   make(map[laburnumlever.OwnerName]*laburnumlever.Owner, len(cat.Owners)),
		classes:  make(map[laburnumlever.ClassName]*laburnumlever.Class, len(cat.Classes)),
	}
	for i := range cat.Models {
		l.models[cat.Models[i].Name] = &cat.Models[i]
	}
	for i := range cat.Services {
		l.services[cat.Services[i].Name] = &cat.Services[i]
	}
	for i := range cat.Owners {
		l.owners[cat.Owners[i].Name] = &cat.Owners[i]
	}
	for i := range cat.Classes {
		l.classes[cat.Classes[i].Name] = &cat.Classes[i]
	}
	return l
}

// limits returns an owner's limits, or none if the owner is not in the catalogue.
func (l *lookup) limits(owner laburnumlever.OwnerName) laburnumlever.Limits {
	if o := l.owners[owner]; o != nil {
		return o.Limits
	}
	return laburnumlever.Limits{}
}

func (l *lookup) class(name laburnumlever.ClassName) laburnumlever.Class {
	if c := l.classes[name]; c != nil {
		return *c
	}
	return laburnumlever.Class{}
}

// refresh rebuilds the index from the newest view, unless it was rebuilt too recently or a
// rebuild is running.
func (p *Proxy) refresh(now time.Time) {
	if p.isCurrent() || !p.buildMu.TryLock() {
		return
	}
	defer p.buildMu.Unlock()
	if !now.Before(p.nextRebuild) {
		p.rebuild(now)
	}
}

// refreshForMissing rebuilds the index at once for a request whose model, service or backend
// server is not in it, and reports whether the index is new. Without it, a request right
// after a model load would be refused although the view has an engine for it.
func (p *Proxy) refreshForMissing(now time.Time) bool {
	if p.isCurrent() {
		return false
	}
	p.buildMu.Lock()
	defer p.buildMu.Unlock()
	if p.isCurrent() {
		return true // another request has just rebuilt it
	}
	if now.Before(p.nextMissingRebuild) {
		return false
	}
	cost := p.rebuild(now)
	p.nextMissingRebuild = p.timers.Now().Add(missingCostFactor * cost)
	return true
}

// isCurrent reports whether the index was built from the newest view.
func (p *Proxy) isCurrent() bool {
	l := p.lookup.Load()
	return l != nil && l.view == p.views.View()
}

// rebuild builds the index from the newest view and returns the time that took; the caller
// holds buildMu.
func (p *Proxy) rebuild(now time.Time) time.Duration {
	start := p.timers.Now()
	view := p.views.View()
	ix := laburnumrouter.NewIndex(view)
	share := p.share(view)
	p.mu.Lock()
	p.dispatch.Update(ix, share, now)
	p.mu.Unlock()
	p.lookup.Store(newLookup(view))
	end := p.timers.Now()
	p.nextRebuild = end.Add(min(rebuildCostFactor*end.Sub(start), maxRebuildInterval))
	return end.Sub(start)
}

// share returns this VM's share of every limit. Without a configured number of entry VMs it
// divides by the most VMs ever known; the caller holds buildMu.
func (p *Proxy) share(view *laburnumlever.View) laburnumadmission.Share {
	ids := make([]laburnumlever.VMID, 0, len(view.VMs))
	for i := range view.VMs {
		ids = append(ids, view.VMs[i].ID)
	}
	slices.Sort(ids)
	s := laburnumadmission.Share{
		VMs: view.Catalogue.Deployment.EntryVMs, Known: len(ids), Rank: slices.Index(ids, view.Self.ID),
	}
	if s.VMs == 0 {
		p.maxVMsSeen = max(p.maxVMsSeen, len(ids))
		s.VMs = p.maxVMsSeen
	}
	if s.Rank < 0 {
		s.Known = 0 // not in its own list yet: no part of the remainder
	}
	return s
}
