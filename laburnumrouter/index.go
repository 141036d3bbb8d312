package laburnumrouter

import "laburnumlever"

// Index lists the backend servers that accept requests, by model and service. It is built
// once per view, outside any lock, and is immutable, so that the cost of a decision does
// not depend on the number of engines.
type Index struct {
	backends []laburnumlever.Backend
	models   map[laburnumlever.ModelName][]int
	services map[laburnumlever.ServiceName][]int
}

// NewIndex returns the index of a view.
func NewIndex(view *laburnumlever.View) *Index {
	ix := &Index{
		backends: view.Backends,
		models:   make(map[laburnumlever.ModelName][]int, len(view.Catalogue.Models)),
		services: make(map[laburnumlever.ServiceName][]int, len(view.Catalogue.Services)),
	}
	for i := range view.Backends {
		if view.Backends[i].AcceptsRequests() {
			ix.add(i)
		}
	}
	return ix
}

func (ix *Index) add(i int) {
	b := &ix.backends[i]
	if b.Announcement.Kind == laburnumlever.PlainService {
		name := b.Announcement.Service
		ix.services[name] = append(ix.services[name], i)
		return
	}
	for _, l := range b.Report.Loaded {
		if !l.Ready {
			continue
		}
		indexes := ix.models[l.Model]
		if len(indexes) > 0 && indexes[len(indexes)-1] == i {
			continue // a second copy on the same engine
		}
		ix.models[l.Model] = append(indexes, i)
	}
}
