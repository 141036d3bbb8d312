package laburnumroles

import (
	"sync"

	"laburnumlever"
)

// newestRoutes passes committed route tables on to another goroutine: decoding the largest takes so long that the control thread
// would miss heartbeats. Of tables that come while one is in use, only the last is passed on. It is safe for concurrent use.
type newestRoutes struct {
	use func(laburnumlever.EncodedRoutes)

	mu   sync.Mutex
	next *laburnumlever.EncodedRoutes
	busy bool
}

// put passes a table on. It does not block.
func (r *newestRoutes) put(t laburnumlever.EncodedRoutes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next = &t
	if !r.busy {
		r.busy = true
		go r.run()
	}
}

func (r *newestRoutes) run() {
	for t := r.take(); t != nil; t = r.take() {
		r.use(*t)
	}
}

// take returns the next table; nil if there is none.
func (r *newestRoutes) take() *laburnumlever.EncodedRoutes {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.next
	r.next, r.busy = nil, t != nil
	return t
}
