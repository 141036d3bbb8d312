package laburnumquarantine

import "laburnumlever"

// answeredGeneration is the number of answered requests after which a new generation starts. The
// current and the previous generation are kept.
const answeredGeneration = 4096

// Answered is the set of the requests that a gateway's backend servers answered last. Callers may send
// the same request all the time, such as a lookup: several of it are on servers that crash together,
// but it did not crash them.
type Answered struct {
	young, old map[laburnumlever.RequestDigest]struct{}
}

// NewAnswered returns an empty set.
func NewAnswered() *Answered {
	return &Answered{young: map[laburnumlever.RequestDigest]struct{}{}}
}

// Add records a complete answer.
func (a *Answered) Add(digest laburnumlever.RequestDigest) {
	if len(a.young) >= answeredGeneration {
		a.old, a.young = a.young, make(map[laburnumlever.RequestDigest]struct{}, answeredGeneration)
	}
	a.young[digest] = struct{}{}
}

// Contains reports whether the request was answered recently.
func (a *Answered) Contains(digest laburnumlever.RequestDigest) bool {
	_, young := a.young[digest]
	_, old := a.old[digest]
	return young || old
}
