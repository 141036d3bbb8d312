package laburnumplacement

import (
	"fmt"
	"slices"

	"laburnumlever"
)

// Fits checks whether every model of the catalogue can be resident on the engines that take work,
// starting from empty engines. The error is a *laburnumlever.DoesNotFitError with the shortfall.
// Warnings list the models that would not fit after the loss of an engine or a zone, and the zones
// without a quota of the weight store.
func Fits(catalogue laburnumlever.Catalogue, backends []laburnumlever.Backend) (warnings []string, err error) {
	engines := emptyEngines(backends)
	if shortfall := pack(catalogue, engines); shortfall != nil {
		return nil, shortfall
	}
	warnings = append(warnings, zoneWarnings(catalogue, engines)...)
	warnings = append(warnings, engineWarnings(catalogue, engines)...)
	warnings = append(warnings, spreadWarnings(catalogue, engines)...)
	return append(warnings, quotaWarnings(catalogue.Deployment, zonesOf(engines))...), nil
}

func emptyEngines(backends []laburnumlever.Backend) []Engine {
	var engines []Engine
	for _, b := range backends {
		if b.Announcement.Kind == laburnumlever.Engine && b.AcceptsRequests() {
			engines = append(engines, EngineOf(b))
		}
	}
	for i := range engines {
		engines[i].Copies = nil
	}
	return engines
}

// EngineOf converts a backend server and its last report into a planner Engine.
func EngineOf(b laburnumlever.Backend) Engine {
	a := b.Announcement
	e := Engine{
		ID: a.Backend, Zone: a.Zone, Accelerators: a.Accelerators,
		Serving: !b.Down, Leaving: b.Leaving, AcceptsOrders: b.AcceptsRequests(),
		TokensPerSecond: a.TokensPerSecond, PrefillTokensPerSecond: a.PrefillTokensPerSecond,
	}
	if b.Report.Incarnation != a.Incarnation {
		return e
	}
	e.Copies = make([]Copy, 0, len(b.Report.Loaded))
	for _, l := range b.Report.Loaded {
		e.Copies = append(e.Copies, Copy{ModelCopy: l})
	}
	return e
}

// pack places one copy of every model on empty engines.
func pack(catalogue laburnumlever.Catalogue, engines []Engine) *laburnumlever.DoesNotFitError {
	f := newFleet(Snapshot{Catalogue: catalogue, Engines: engines})
	f.packBestFit()
	if len(f.unplaced) == 0 {
		return nil
	}
	slices.Sort(f.unplaced)
	shortfall := &laburnumlever.DoesNotFitError{Models: f.unplaced}
	for _, name := range f.unplaced {
		m, _ := catalogue.Model(name)
		shortfall.ShortfallMiB += m.SizeMiB()
	}
	return shortfall
}

// packBestFit places a copy of each missing model on the engine with the tightest fit.
func (f *fleet) packBestFit() {
	for _, m := range f.missingModels() {
		best := fit{engine: -1}
		for at := range f.engines {
			s, ok := f.fitOn(at, f.models[m].partMiB, f.models[m].span)
			if ok && (best.engine < 0 || s.leftover < best.leftover) {
				best = s
			}
		}
		if best.engine < 0 {
			f.unplaced = append(f.unplaced, f.models[m].Name)
			continue
		}
		f.planLoad(m, best, ReasonRepair, Move{})
	}
}

// zoneWarnings lists the zones without which the catalogue does not fit.
func zoneWarnings(catalogue laburnumlever.Catalogue, engines []Engine) []string {
	zones := zonesOf(engines)
	var warnings []string
	for _, zone := range zones {
		remaining := slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.Zone == zone })
		if shortfall := pack(catalogue, remaining); shortfall != nil {
			warnings = append(warnings, fmt.Sprintf("without zone %s the fleet lacks %d MiB: no place for %v", zone, shortfall.ShortfallMiB, shortfall.Models))
		}
	}
	return warnings
}

// engineWarnings checks the loss of one engine of each accelerator configuration; engines with
// equal accelerators give the same result.
func engineWarnings(catalogue laburnumlever.Catalogue, engines []Engine) []string {
	var warnings []string
	var tried [][]laburnumlever.Accelerator
	for i, e := range engines {
		same := func(other []laburnumlever.Accelerator) bool { return slices.Equal(other, e.Accelerators) }
		if slices.ContainsFunc(tried, same) {
			continue
		}
		tried = append(tried, e.Accelerators)
		remaining := slices.Delete(slices.Clone(engines), i, i+1)
		if shortfall := pack(catalogue, remaining); shortfall != nil {
			warnings = append(warnings, fmt.Sprintf("without an engine like %s the fleet lacks %d MiB: no place for %v", e.ID, shortfall.ShortfallMiB, shortfall.Models))
		}
	}
	return warnings
}

// spreadWarnings lists the models for which there is memory for one copy only, or in one zone only.
func spreadWarnings(catalogue laburnumlever.Catalogue, engines []Engine) []string {
	f := newFleet(Snapshot{Catalogue: catalogue, Engines: engines})
	f.packBestFit()
	for _, m := range f.singleZoneModels() {
		f.spread(m)
	}
	var singleCopy, singleZone []laburnumlever.ModelName
	for m := range f.models {
		zones, n := f.locations(m)
		switch {
		case n < 2:
			singleCopy = append(singleCopy, f.models[m].Name)
		case len(zones) < 2:
			singleZone = append(singleZone, f.models[m].Name)
		}
	}
	var warnings []string
	if len(singleCopy) > 0 {
		warnings = append(warnings, fmt.Sprintf("no memory for a second copy of %v: the loss of an engine makes them unreachable until they are loaded again", singleCopy))
	}
	if len(singleZone) > 0 {
		warnings = append(warnings, fmt.Sprintf("no memory in a second zone for %v: the loss of a zone makes them unreachable until they are loaded again", singleZone))
	}
	return warnings
}

func zonesOf(engines []Engine) []laburnumlever.ZoneName {
	var zones []laburnumlever.ZoneName
	for _, e := range engines {
		if !slices.Contains(zones, e.Zone) {
			zones = append(zones, e.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// quotaWarnings lists the zones that have engines but no quota of the weight store.
func quotaWarnings(d laburnumlever.Deployment, zones []laburnumlever.ZoneName) []string {
	var warnings []string
	for _, zone := range zones {
		switch {
		case !slices.Contains(d.Zones, zone):
			warnings = append(warnings, fmt.Sprintf("zone %s has engines but is not among the deployment's zones: nothing can be loaded there", zone))
		case LoadQuotaOf(d, zone).ParallelLoads == 0:
			warnings = append(warnings, fmt.Sprintf("the weight store's %d parallel loads leave none for zone %s: nothing can be loaded there", d.WeightStore.ParallelLoads, zone))
		}
	}
	return warnings
}
