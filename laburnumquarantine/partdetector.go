package laburnumquarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"laburnumlever"
)

const (
	// holdPartCrashes is the number of crashes, without an answer since, from which a part is refused that was not answered
	// shortly before. One more is needed for each unrelatedPerCrash others, as for requests.
	holdPartCrashes = 3
	// A part that was answered within knownTime before the first crash is refused from knownPartCrashes on, knownPartDelay after
	// the first of them: if servers have lost power together, other servers answer it by then.
	knownTime        = time.Minute
	knownPartCrashes = 5
	knownPartDelay   = time.Second
	// Requests that are under way when a part is refused end servers until inFlightTime later. Crashes from then on are those of
	// trials.
	inFlightTime = time.Second
	// refreshPartAfter is the time after which a refused part is listed again while requests with it still come.
	refreshPartAfter = Retention / 4
	// maxPartCrashes bounds the crashes that are kept of a part, maxSuspectParts the parts.
	maxPartCrashes  = 24
	maxSuspectParts = 4096
)

// partTrials are the times until the next trial of a refused part, by the number of trials that have crashed a server; the last
// one repeats. The first counts from the refusal, and is skipped for a part that was answered before; the others from the crash.
var partTrials = []time.Duration{5 * time.Second, time.Minute, 10 * time.Minute, time.Hour, 6 * time.Hour}

// KnownPartDelay is the time after a report at which Changes may tell more.
const KnownPartDelay = knownPartDelay + 50*time.Millisecond

// PartDetector collects the reports of gateways and decides which parts of prompts are refused.
type PartDetector struct {
	crashes map[Crash]*partCrash
	parts   map[Part]*suspectPart
	listed  map[Part]listing
}

// partCrash is a crash of a backend server.
type partCrash struct {
	id Crash
	at time.Time
	// parts is the number of suspects that were on the server.
	parts int
	// explained is set if a refused part was on it, excused if one that was lifted since.
	explained, excused bool
}

// suspectPart is a part that was on crashed servers, or was answered: reports of crashes from before the answer may still come.
type suspectPart struct {
	part Part
	// ends are the crashes since the last answer.
	ends []partEnd
	// answered is when the last known answer began, or an operator had the part served again.
	answered time.Time
	// lifted is when an operator did so.
	lifted time.Time
	seen   time.Time
	// refusedAt is when the part was refused; zero if it is not. wasKnown is set if it was answered shortly before.
	refusedAt time.Time
	wasKnown  bool
	// refusedFor is the last of the crashes that the part is refused for.
	refusedFor time.Time
	// taught are the crashes, and taughtTrials those of trials, that another control VM or an earlier start of this one counted.
	taught, taughtTrials int
}

func (p *suspectPart) refused() bool { return !p.refusedAt.IsZero() }

// partEnd is a crash with a number of requests that had the part.
type partEnd struct {
	crash    *partCrash
	requests int
}

// NewPartDetector returns a detector without evidence.
func NewPartDetector() *PartDetector {
	return &PartDetector{crashes: map[Crash]*partCrash{}, parts: map[Part]*suspectPart{}, listed: map[Part]listing{}}
}

// Size returns the number of parts that evidence is kept of, and of those that are refused.
func (d *PartDetector) Size() (parts, refused int) {
	for _, p := range d.parts {
		if p.refused() {
			refused++
		}
	}
	return len(d.parts), refused
}

// Add adds a gateway's report, with times. Changes tells what follows from it.
func (d *PartDetector) Add(r Report, now time.Time) {
	for _, s := range r.Parts {
		d.addSighting(s, now)
	}
	for _, a := range r.Answers {
		if a.Lifted {
			d.lift(a.Part, a.AnsweredAt)
		}
		d.answered(a.Part, a.AnsweredAt)
	}
	for _, digest := range r.Refused {
		for _, p := range d.parts {
			if p.refused() && p.part.Digest() == digest {
				p.seen = now
			}
		}
	}
	for _, e := range r.Listed {
		if e.Part != nil && e.State.Refused() {
			d.learn(*e.Part, e, now)
		}
	}
	d.bound()
}

func (d *PartDetector) addSighting(s PartSighting, now time.Time) {
	d.answered(s.Part, s.AnsweredAt)
	p := d.suspect(s.Part)
	p.seen = now
	c := d.crashes[s.Crash]
	if c == nil {
		c = &partCrash{id: s.Crash, at: s.CrashedAt}
		d.crashes[s.Crash] = c
	}
	if s.CrashedAt.Before(c.at) {
		c.at = s.CrashedAt
	}
	if i := slices.IndexFunc(p.ends, func(e partEnd) bool { return e.crash == c }); i >= 0 {
		p.ends[i].requests += s.Requests
		return
	}
	c.parts++
	p.ends = append(p.ends, partEnd{crash: c, requests: s.Requests})
	if len(p.ends) > maxPartCrashes {
		d.release(p.ends[0].crash)
		p.ends = slices.Delete(p.ends, 0, 1)
	}
	p.forgive(d)
}

func (d *PartDetector) suspect(part Part) *suspectPart {
	p := d.parts[part]
	if p == nil {
		p = &suspectPart{part: part}
		d.parts[part] = p
	}
	return p
}

// answered records an answer to a request with the part: crashes from before it don't count, also those reported later.
func (d *PartDetector) answered(part Part, at time.Time) {
	if at.IsZero() {
		return
	}
	p := d.suspect(part)
	if !at.After(p.answered) {
		return
	}
	p.answered = at
	if at.After(p.seen) {
		p.seen = at
	}
	p.forgive(d)
	if p.refused() && (p.count() < holdPartCrashes || at.After(p.refusedAt) || p.known() && !p.wasKnown) {
		p.release()
	}
}

// lift records that an operator had the part served again.
func (d *PartDetector) lift(part Part, at time.Time) {
	if p := d.suspect(part); at.After(p.lifted) {
		p.lifted = at
	}
}

// release has the part served again.
func (p *suspectPart) release() {
	p.refusedAt, p.refusedFor, p.wasKnown, p.taught, p.taughtTrials = time.Time{}, time.Time{}, false, 0, 0
}

// forgive drops crashes from before the last answer. Those from before a lift are kept, as they count against no other part
// either: the operator has mended what led to them.
func (p *suspectPart) forgive(d *PartDetector) {
	p.ends = slices.DeleteFunc(p.ends, func(e partEnd) bool {
		switch {
		case !e.crash.at.After(p.lifted):
			e.crash.excused = true
			return false
		case e.crash.at.After(p.answered):
			return false
		default:
			d.release(e.crash)
			return true
		}
	})
	if !p.refusedFor.After(p.answered) {
		p.taught, p.taughtTrials = 0, 0
	}
}

// release drops a reference to a crash, and the crash with the last one.
func (d *PartDetector) release(c *partCrash) {
	if c.parts--; c.parts == 0 {
		delete(d.crashes, c.id)
	}
}

// learn takes over that a part is refused, unless it was answered since.
func (d *PartDetector) learn(part Part, e Entry, now time.Time) {
	refusedFor := now.Add(-time.Duration(e.CrashedAgo))
	if p := d.parts[part]; p != nil && !refusedFor.After(p.answered) {
		return
	}
	p := d.suspect(part)
	p.seen = now
	if p.refused() {
		return
	}
	p.refusedAt, p.refusedFor, p.wasKnown = now, refusedFor, e.Known
	p.taught, p.taughtTrials = max(holdPartCrashes, e.Crashes), e.Trials
}

// bound drops the parts with the fewest crashes, the oldest of them first.
func (d *PartDetector) bound() {
	if len(d.parts) <= maxSuspectParts {
		return
	}
	list := slices.SortedFunc(maps.Values(d.parts), func(a, b *suspectPart) int {
		return cmp.Or(cmp.Compare(a.count(), b.count()), a.seen.Compare(b.seen))
	})
	for _, p := range list[:len(list)-maxSuspectParts] {
		d.drop(p)
	}
}

func (d *PartDetector) drop(p *suspectPart) {
	for _, e := range p.ends {
		d.release(e.crash)
	}
	delete(d.parts, p.part)
}

// count returns the number of crashes since the last answer.
func (p *suspectPart) count() int { return len(p.counted()) + p.taught }

// counted returns the crashes that are not excused.
func (p *suspectPart) counted() []partEnd {
	excused := func(e partEnd) bool { return e.crash.excused }
	if !slices.ContainsFunc(p.ends, excused) {
		return p.ends
	}
	return slices.DeleteFunc(slices.Clone(p.ends), excused)
}

// trialCrashes returns the number of trials that have crashed a server, and when the last did; the refusal without any.
func (p *suspectPart) trialCrashes() (int, time.Time) {
	n, last := p.taughtTrials, p.refusedAt
	for _, e := range p.counted() {
		if e.crash.at.Sub(p.refusedAt) > inFlightTime {
			n++
			if e.crash.at.After(last) {
				last = e.crash.at
			}
		}
	}
	return n, last
}

// Changes returns the entries that changed since the last call, sorted by digest, with Cleared for those that are no longer
// listed. It drops evidence older than Retention.
func (d *PartDetector) Changes(now time.Time) []Entry {
	for _, p := range d.parts {
		if now.Sub(p.seen) > Retention {
			d.drop(p)
		}
	}
	d.refuse(now)
	var changed []Entry
	for part, p := range d.parts {
		e := d.entry(p, now)
		if e.State == Cleared || !d.mustList(p, e) {
			continue
		}
		d.listed[part] = listing{entry: e, at: now}
		changed = append(changed, e)
	}
	for part, l := range d.listed {
		if p := d.parts[part]; p == nil || d.entry(p, now).State == Cleared {
			delete(d.listed, part)
			changed = append(changed, Entry{Digest: l.entry.Digest, Part: l.entry.Part, State: Cleared})
		}
	}
	slices.SortFunc(changed, func(a, b Entry) int { return bytes.Compare(a.Digest[:], b.Digest[:]) })
	return changed
}

// mustList reports whether an entry must be listed: it has changed, or the part is refused and was seen long after. Gateways that see
// no request with the part keep the entry as long as it is listed now and then.
func (d *PartDetector) mustList(p *suspectPart, e Entry) bool {
	old, listed := d.listed[p.part]
	if !listed || old.entry.State != e.State || old.entry.Crashes != e.Crashes {
		return true
	}
	return p.refused() && p.seen.Sub(old.at) >= refreshPartAfter
}

func (d *PartDetector) entry(p *suspectPart, now time.Time) Entry {
	if !p.refused() && len(p.counted()) < suspectCrashes {
		return Entry{}
	}
	part := p.part
	e := Entry{Digest: part.Digest(), Part: &part, Crashes: p.count()}
	switch {
	case p.refused():
		e.State, e.Known, e.CrashedAgo = Quarantined, p.wasKnown, age(p.refusedFor, now)
		e.Trials, _ = p.trialCrashes()
		e.RetryIn = laburnumlever.Duration(max(0, p.trialAt().Sub(now)))
	default:
		e.State, e.Known = Suspect, p.known()
	}
	return e
}

// trialAt returns when a refused part may be tried again.
func (p *suspectPart) trialAt() time.Time {
	n, last := p.trialCrashes()
	if n == 0 && p.wasKnown {
		return last
	}
	return last.Add(partTrials[min(n, len(partTrials)-1)])
}

// TrialIn returns the time until a refused part may be tried again, 0 for now.
func (d *PartDetector) TrialIn(part Part, now time.Time) time.Duration {
	p := d.parts[part]
	if p == nil || !p.refused() {
		return 0
	}
	return max(0, p.trialAt().Sub(now))
}

// Refused returns the refused parts, at most n, those with the most crashes first.
func (d *PartDetector) Refused(n int, now time.Time) []Entry {
	var entries []Entry
	for _, p := range d.parts {
		if p.refused() {
			entries = append(entries, d.entry(p, now))
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), bytes.Compare(a.Digest[:], b.Digest[:]))
	})
	return entries[:min(n, len(entries))]
}

// Backends returns the crashed servers that a part was on.
func (d *PartDetector) Backends(part Part) []laburnumlever.BackendID {
	var ids []laburnumlever.BackendID
	if p := d.parts[part]; p != nil {
		for _, e := range p.counted() {
			ids = append(ids, e.crash.id.Backend)
		}
	}
	return ids
}

// refuse chooses the fewest parts that explain the crashes: a part that rides along with one that crashes servers was on the
// same ones, but some of its requests were answered, or more of them were on each server.
func (d *PartDetector) refuse(now time.Time) {
	for _, c := range d.crashes {
		c.explained = c.excused
	}
	for _, p := range d.parts {
		if p.refused() {
			p.explain()
		}
	}
	considered := map[*suspectPart]bool{}
	for {
		best, rank := d.bestExplanation(considered)
		if len(best) == 0 {
			return
		}
		for _, p := range best {
			considered[p] = true
			p.explain()
			if !rank.known || now.Sub(rank.first) >= knownPartDelay {
				p.refusedAt, p.refusedFor, p.wasKnown = now, p.lastCrash(), rank.known
			}
		}
	}
}

func (p *suspectPart) lastCrash() time.Time {
	var last time.Time
	for _, e := range p.counted() {
		if e.crash.at.After(last) {
			last = e.crash.at
		}
	}
	return last
}

func (p *suspectPart) explain() {
	for _, e := range p.ends {
		e.crash.explained = true
	}
}

// bestExplanation returns the part that explains the most crashes, with those that can't be told from it; empty if no further part
// explains any.
func (d *PartDetector) bestExplanation(considered map[*suspectPart]bool) ([]*suspectPart, explanation) {
	var best []*suspectPart
	var rank explanation
	for _, p := range d.parts {
		if p.refused() || considered[p] {
			continue
		}
		r := p.explanation()
		if r.crashes < holdPartCrashes || r.crashes < p.needed(d, r.crashes) {
			continue
		}
		switch c := r.compare(rank); {
		case len(best) == 0 || c > 0:
			best, rank = []*suspectPart{p}, r
		case c == 0:
			best = append(best, p)
		default:
		}
	}
	return best, rank
}

// explanation is what a part would explain.
type explanation struct {
	known             bool
	crashes, requests int
	first             time.Time
}

func (p *suspectPart) explanation() explanation {
	r := explanation{known: p.known()}
	for _, e := range p.ends {
		if e.crash.explained {
			continue
		}
		r.crashes++
		r.requests += e.requests
		if r.first.IsZero() || e.crash.at.Before(r.first) {
			r.first = e.crash.at
		}
	}
	return r
}

// compare is positive if r is the better explanation.
func (r explanation) compare(other explanation) int {
	if r.known != other.known {
		if other.known {
			return 1
		}
		return -1
	}
	// Requests for each crash, compared without division.
	return cmp.Or(cmp.Compare(r.crashes, other.crashes), cmp.Compare(other.requests*r.crashes, r.requests*other.crashes))
}

// known reports whether a request with the part was answered shortly before the crashes.
func (p *suspectPart) known() bool {
	ends := p.counted()
	return !p.answered.IsZero() && len(ends) > 0 && ends[0].crash.at.Sub(p.answered) <= knownTime
}

// needed returns the number of crashes from which the part is refused; own of the unexplained ones are its own.
func (p *suspectPart) needed(d *PartDetector, own int) int {
	if p.known() {
		return knownPartCrashes
	}
	ends := p.counted()
	first, last := ends[0].crash.at.Add(-unrelatedTime), ends[len(ends)-1].crash.at.Add(unrelatedTime)
	others := -own
	for _, c := range d.crashes {
		if !c.explained && c.at.After(first) && c.at.Before(last) {
			others++
		}
	}
	return min(maxHoldCrashes, holdPartCrashes+max(0, others)/unrelatedPerCrash)
}
