package laburnumquarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"laburnumlever"
)

const (
	// reportInterval is the least time between two reports of a gateway that a caller has sent a
	// refused request again.
	reportInterval = HoldTime / 3
	// maxKnown bounds the refused requests that a gateway keeps.
	maxKnown = 4 * maxEntries
)

// List holds the entries that a gateway has received.
type List struct {
	sources map[string]*source
	// known are the refused requests: those that a source lists, or listed before it was lost.
	known map[laburnumlever.RequestDigest]*known
	// entries counts the states of all sources.
	entries int
}

// source holds the entries of one control VM since its start.
type source struct {
	boot   uint64
	states map[laburnumlever.RequestDigest]State
	// alone are the requests of which only one copy may run at a time.
	alone map[laburnumlever.RequestDigest]struct{}
	// watched are the suspected parts that were answered shortly before.
	watched map[laburnumlever.RequestDigest]struct{}
}

// known is a refused request.
type known struct {
	state State
	// seen is when a source listed the request or a caller sent it, reported when the latter was
	// last reported.
	seen, reported time.Time
	// part is set for one of a prompt, trialAt is when it may be tried again, refusedFor the last crash that it is refused for:
	// the earliest that a source told.
	part                *Part
	trialAt, refusedFor time.Time
	entry               Entry
}

// NewList returns an empty list.
func NewList() *List {
	return &List{sources: map[string]*source{}, known: map[laburnumlever.RequestDigest]*known{}}
}

// Empty reports whether no request is listed.
func (l *List) Empty() bool { return l.entries == 0 && len(l.known) == 0 }

// Applied is what the entries of a control VM changed.
type Applied struct {
	// Added is set if there are further refused requests.
	Added bool
	// Started is set if the control VM is new or was restarted. It may lack requests, see Missing.
	Started bool
}

// Apply applies the entries of a control VM. Boot identifies its start: entries of an earlier start
// are dropped, but the requests that it had refused stay refused.
func (l *List) Apply(address string, boot uint64, entries []Entry, now time.Time) Applied {
	var applied Applied
	s := l.sources[address]
	if s == nil || s.boot != boot {
		l.Forget(address)
		s = &source{boot: boot, states: map[laburnumlever.RequestDigest]State{}, alone: map[laburnumlever.RequestDigest]struct{}{}, watched: map[laburnumlever.RequestDigest]struct{}{}}
		l.sources[address] = s
		applied.Started = true
	}
	for _, e := range entries {
		released := s.states[e.Digest].Refused() && !e.State.Refused()
		l.set(s, e)
		switch {
		case e.State.Refused():
			applied.Added = l.learn(e, now) || applied.Added
		case released && !l.refused(e.Digest):
			delete(l.known, e.Digest)
		default:
		}
	}
	return applied
}

// Forget drops the entries of a control VM. The requests that it had refused stay refused.
func (l *List) Forget(address string) {
	if s := l.sources[address]; s != nil {
		l.entries -= len(s.states)
		delete(l.sources, address)
	}
}

func (l *List) set(s *source, e Entry) {
	before := len(s.states)
	if e.State == Cleared {
		delete(s.states, e.Digest)
	} else {
		s.states[e.Digest] = e.State
	}
	l.entries += len(s.states) - before
	setMember(s.alone, e.Digest, e.Alone)
	setMember(s.watched, e.Digest, e.State == Suspect && e.Known)
}

func setMember(set map[laburnumlever.RequestDigest]struct{}, digest laburnumlever.RequestDigest, member bool) {
	if member {
		set[digest] = struct{}{}
	} else {
		delete(set, digest)
	}
}

// learn records that a request is refused and reports whether that is new. The control VM with more
// evidence counts.
func (l *List) learn(e Entry, now time.Time) bool {
	if k := l.known[e.Digest]; k != nil {
		k.seen, k.state = now, max(k.state, e.State)
		k.update(e, now)
		return false
	}
	if len(l.known) >= maxKnown {
		l.dropOldest()
	}
	k := &known{state: e.State, seen: now}
	k.update(e, now)
	l.known[e.Digest] = k
	return true
}

// update takes what an entry tells of a part, unless another one told of more trials.
func (k *known) update(e Entry, now time.Time) {
	if at := now.Add(-time.Duration(e.CrashedAgo)); k.refusedFor.IsZero() || at.Before(k.refusedFor) {
		k.refusedFor = at
	}
	if e.Part == nil || k.part != nil && e.Trials < k.entry.Trials {
		return
	}
	k.part, k.entry, k.trialAt = e.Part, e, now.Add(time.Duration(e.RetryIn))
}

func (l *List) dropOldest() {
	var oldest laburnumlever.RequestDigest
	var at time.Time
	for digest, k := range l.known {
		if at.IsZero() || k.seen.Before(at) {
			oldest, at = digest, k.seen
		}
	}
	delete(l.known, oldest)
}

// refused reports whether a source lists the request as refused.
func (l *List) refused(digest laburnumlever.RequestDigest) bool {
	for _, s := range l.sources {
		if s.states[digest].Refused() {
			return true
		}
	}
	return false
}

// State returns the state of a request.
func (l *List) State(digest laburnumlever.RequestDigest, now time.Time) State {
	if k := l.known[digest]; k != nil && now.Sub(k.seen) <= k.state.RefusalTime() {
		return k.state
	}
	for _, s := range l.sources {
		if _, watched := s.watched[digest]; s.states[digest] == Suspect && !watched {
			return Suspect
		}
	}
	return Cleared
}

// Listed reports whether a request or part is listed at all.
func (l *List) Listed(digest laburnumlever.RequestDigest) bool {
	for _, s := range l.sources {
		if s.states[digest] != Cleared {
			return true
		}
	}
	return l.known[digest] != nil
}

// TrialIn returns the time until a refused part may be tried again; false for what is no refused part.
func (l *List) TrialIn(digest laburnumlever.RequestDigest, now time.Time) (time.Duration, bool) {
	k := l.known[digest]
	if k == nil || k.part == nil {
		return 0, false
	}
	return max(0, k.trialAt.Sub(now)), true
}

// Alone reports whether only one copy of a request may run at a time.
func (l *List) Alone(digest laburnumlever.RequestDigest) bool {
	for _, s := range l.sources {
		if _, ok := s.alone[digest]; ok {
			return true
		}
	}
	return false
}

// Refuse records that a caller sent a refused request, and reports whether the control VMs must be
// told so.
func (l *List) Refuse(digest laburnumlever.RequestDigest, now time.Time) bool {
	k := l.known[digest]
	if k == nil {
		return false
	}
	k.seen = now
	if now.Sub(k.reported) < reportInterval {
		return false
	}
	k.reported = now
	return true
}

// Missing returns the refused requests that a control VM has not listed as such since its start, at
// most MaxReport, the latest seen first. It is empty for an unknown control VM.
func (l *List) Missing(address string, now time.Time) []Entry {
	s := l.sources[address]
	if s == nil {
		return nil
	}
	var missing []Entry
	for digest := range l.known {
		if state := l.State(digest, now); state.Refused() && !s.states[digest].Refused() {
			k := l.known[digest]
			e := k.entry
			e.Digest, e.State, e.RetryIn = digest, state, 0
			if e.Part != nil {
				e.CrashedAgo = age(k.refusedFor, now)
			}
			missing = append(missing, e)
		}
	}
	slices.SortFunc(missing, func(a, b Entry) int {
		return cmp.Or(l.known[b.Digest].seen.Compare(l.known[a.Digest].seen), bytes.Compare(a.Digest[:], b.Digest[:]))
	})
	return firstEntries(missing)
}

// Sweep drops requests that are no longer refused.
func (l *List) Sweep(now time.Time) {
	for digest, k := range l.known {
		if now.Sub(k.seen) > k.state.RefusalTime() {
			delete(l.known, digest)
		}
	}
}
