package laburnumstream_test

import (
	"cmp"
	"slices"
	"testing"

	"laburnumlever"
	"laburnumlever/laburnumstream"
)

// versionSet is a set of software versions: 1 for the old one, 2 for the new one.
type versionSet uint8

const (
	oldVersion versionSet = 1 << iota
	newVersion
	modelControls = 3
)

func (v versionSet) names() []laburnumlever.SoftwareVersion {
	var names []laburnumlever.SoftwareVersion
	if v&oldVersion != 0 {
		names = append(names, "v1")
	}
	if v&newVersion != 0 {
		names = append(names, "v2")
	}
	return names
}

func (v versionSet) name() laburnumlever.SoftwareVersion {
	if v == 0 {
		return ""
	}
	return v.names()[0]
}

// modelControl is a control VM. It has saved versions on its disk, and those before its start it tells when it is asked for an
// opinion only. Its record is the version that it keeps for the stream; 0 for none.
type modelControl struct {
	current, complete, isolated  bool
	retained, savedAll           bool
	knows, saved, before, record versionSet
}

func (c modelControl) opinion() laburnumstream.Opinion {
	return laburnumstream.Opinion{
		Known:    laburnumstream.Known{Software: c.record.name()},
		Versions: (c.knows | c.before).names(), Current: c.current && !c.isolated, Controls: modelControls, Complete: c.complete && !c.isolated,
		Retained: c.retained,
	}
}

// modelState is a fleet with one stream, begun at the first gateway and taken up at the second. Each step of the search
// changes it in one way.
type modelState struct {
	controls [modelControls]modelControl
	// appeared and retired tell whether servers of the new version have started, and those of the old one have gone.
	appeared, retired bool
	beginner          versionSet // versions that the first gateway knows
	taker             versionSet
	takerComplete     bool
	begun             versionSet // the version that began the stream; 0 before
}

// settled reports whether the first gateway may begin streams at the new version: a majority of the control VMs know it and
// have had time to save it.
func (s modelState) settled() bool {
	known := 0
	for _, c := range s.controls {
		if !c.isolated && c.current && c.knows&newVersion == 0 {
			return false
		}
		if c.saved&newVersion != 0 {
			known++
		}
	}
	return 2*known > modelControls
}

// sorted returns the state with its control VMs in an order: which of them is which makes no difference.
func (s modelState) sorted() modelState {
	slices.SortFunc(s.controls[:], func(a, b modelControl) int { return cmp.Compare(a.key(), b.key()) })
	return s
}

// key is a number that differs between different control VMs.
func (c modelControl) key() int {
	key := 0
	for _, set := range []bool{c.current, c.complete, c.isolated, c.retained, c.savedAll} {
		key <<= 1
		if set {
			key |= 1
		}
	}
	for _, versions := range []versionSet{c.knows, c.saved, c.before, c.record} {
		key = key<<2 | int(versions)
	}
	return key
}

// announced returns the versions whose servers announce themselves.
func (s modelState) announced() versionSet {
	var versions versionSet
	if !s.retired {
		versions |= oldVersion
	}
	if s.appeared {
		versions |= newVersion
	}
	return versions
}

// kept returns the states in which any of the control VMs keep the stream's record.
func (s modelState) kept() []modelState {
	var states []modelState
	for mask := range 1 << modelControls {
		next := s
		for i := range next.controls {
			if mask&(1<<i) != 0 {
				next.controls[i].record = s.begun
			}
		}
		states = append(states, next)
	}
	return states
}

// next returns the states after one more event.
func (s modelState) next() []modelState {
	states := append(s.releases(), s.begins()...)
	for i := range s.controls {
		states = append(states, s.controlEvents(i)...)
	}
	restarted := s
	restarted.taker, restarted.takerComplete = 0, false
	return append(states, restarted)
}

func (s modelState) releases() []modelState {
	appeared, retired := s, s
	appeared.appeared = true
	retired.retired = s.appeared
	return []modelState{appeared, retired}
}

// begins returns the states after the stream has begun.
func (s modelState) begins() []modelState {
	if s.begun != 0 {
		return nil
	}
	var states []modelState
	for _, version := range []versionSet{oldVersion, newVersion} {
		if s.beginner&version == 0 || version == newVersion && !s.settled() {
			continue
		}
		next := s
		next.begun = version
		if s.beginner == oldVersion {
			states = append(states, next) // no record is needed
		} else {
			states = append(states, next.kept()...)
		}
	}
	return states
}

// controlEvents returns the states after an event at one control VM.
func (s modelState) controlEvents(i int) []modelState {
	var states []modelState
	add := func(change func(*modelState, *modelControl)) {
		next := s
		change(&next, &next.controls[i])
		states = append(states, next)
	}
	add(func(_ *modelState, c *modelControl) { // it restarts
		*c = modelControl{isolated: c.isolated, retained: c.savedAll, savedAll: c.savedAll, saved: c.saved, before: c.saved}
	})
	add(func(_ *modelState, c *modelControl) { *c = modelControl{isolated: c.isolated} }) // it restarts with an empty disk
	add(func(_ *modelState, c *modelControl) { c.saved, c.savedAll = c.saved|c.knows, c.retained || c.complete })
	add(func(n *modelState, c *modelControl) { // servers announce themselves
		c.knows |= n.announced()
		c.current = true
	})
	add(func(n *modelState, c *modelControl) {
		n.taker |= c.knows
		n.takerComplete = n.takerComplete || c.complete && !c.isolated
	})
	add(func(n *modelState, c *modelControl) { // its isolation is over, and it has heard from all servers and the others
		c.knows |= n.announced()
		for _, from := range n.controls {
			c.knows |= from.knows
		}
		c.isolated = false
	})
	if !s.isolates() {
		add(func(_ *modelState, c *modelControl) { c.isolated = true })
	}
	for j, from := range s.controls {
		if j != i && !from.isolated && !s.controls[i].isolated {
			add(func(_ *modelState, c *modelControl) {
				c.knows |= from.knows
				c.current = c.current || from.complete
				c.complete = c.complete || from.complete
			})
		}
	}
	learned := s
	learned.beginner |= s.controls[i].knows
	if s.begun != 0 && s.beginner != learned.beginner {
		return append(states, learned.kept()...) // streams in flight are kept as soon as a second version is known
	}
	return append(states, learned)
}

// isolates reports whether a control VM is isolated.
func (s modelState) isolates() bool {
	for _, c := range s.controls {
		if c.isolated {
			return true
		}
	}
	return false
}

// check checks what the second gateway decides, whichever control VMs answer it.
func (s modelState) check(t *testing.T) (decided, right bool) {
	t.Helper()
	own := laburnumstream.Opinion{Versions: s.taker.names(), Complete: s.takerComplete}
	right = true
	for mask := range 1 << modelControls {
		var others []laburnumstream.Opinion
		for i, c := range s.controls {
			if mask&(1<<i) != 0 {
				others = append(others, c.opinion())
			}
		}
		for _, resolve := range []func(laburnumstream.Opinion, []laburnumstream.Opinion) (laburnumlever.SoftwareVersion, laburnumstream.Verdict){
			laburnumstream.Resolve, laburnumstream.ResolveUnnamed,
		} {
			if got, verdict := resolve(own, others); verdict == laburnumstream.Decided {
				decided = true
				right = right && got == s.begun.name()
			}
		}
	}
	return decided, right
}

// withoutDisks returns the state of a fleet whose control VMs keep nothing over restarts.
func (s modelState) withoutDisks() modelState {
	for i, c := range s.controls {
		c.retained, c.savedAll, c.before, c.saved = false, false, 0, c.knows
		s.controls[i] = c
	}
	return s
}

// search checks the states that can be reached within a number of events. change changes each state before it is looked at.
func search(t *testing.T, depth int, change func(modelState) modelState) {
	t.Helper()
	first := modelState{beginner: oldVersion, taker: oldVersion, takerComplete: true}
	for i := range first.controls {
		first.controls[i] = modelControl{current: true, complete: true, retained: true, savedAll: true, knows: oldVersion, saved: oldVersion}
	}
	seen := map[modelState]bool{first: true}
	frontier := []modelState{first}
	decisions := 0
	for n := 0; n < depth && len(frontier) > 0; n++ {
		var reached []modelState
		for _, s := range frontier {
			for _, next := range s.next() {
				next = change(next).sorted()
				if seen[next] {
					continue
				}
				seen[next] = true
				reached = append(reached, next)
				if next.begun == 0 {
					continue
				}
				decided, right := next.check(t)
				if !right {
					t.Fatalf("a stream of %s goes on at another version: %+v", next.begun.name(), next)
				}
				if decided {
					decisions++
				}
			}
		}
		frontier = reached
	}
	t.Logf("%d states, a version decided in %d, %d states left to go on from", len(seen), decisions, len(frontier))
	if decisions == 0 {
		t.Fatal("no version was ever decided")
	}
}

// Guards against an order of releases, restarts, cuts, lost records and lookups in which a stream goes on at another version.
func TestNoOrderOfEventsMixesVersions(t *testing.T) {
	depth := 40 // all states
	if testing.Short() {
		depth = 7
	}
	search(t, depth, modelState.withoutDisks)
}

// Guards against the same where control VMs save what they know, lose their disks, or restart before they have saved.
func TestNoOrderOfEventsOnDisksMixesVersions(t *testing.T) {
	depth := 11
	if testing.Short() {
		depth = 7
	}
	search(t, depth, func(s modelState) modelState { return s })
}
