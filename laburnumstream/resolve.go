package laburnumstream

import (
	"slices"

	"laburnumlever"
)

// Known is what one VM knows of a stream.
type Known struct {
	// Software is the version that began it; empty if unknown.
	Software laburnumlever.SoftwareVersion `json:"software,omitempty"`
	// Several reports whether several streams with the ID were begun at different versions.
	Several bool `json:"several,omitempty"`
}

// Opinion is what one VM knows of a stream and of its service.
type Opinion struct {
	Known
	// Versions are the software versions of the service's servers, with those that left lately; an empty one stands
	// for a server whose version is unknown.
	Versions []laburnumlever.SoftwareVersion `json:"versions,omitempty"`
	// Current reports whether the VM knows all servers that announce themselves now, Complete whether it has for Life.
	Current  bool `json:"current,omitempty"`
	Complete bool `json:"complete,omitempty"`
	// Retained reports whether Versions have all that there were before the VM's start, which may have been just now.
	Retained bool `json:"retained,omitempty"`
	// Controls is the number of control VMs that the VM knows of.
	Controls int `json:"controls,omitempty"`
}

//go:generate go tool -modfile=../tools/go.mod enumer -type=Verdict -transform=kebab -output=verdict_gen.go

// Verdict is whether the version that began a stream is known.
type Verdict int

// The verdicts.
const (
	// Decided means that the version is known.
	Decided Verdict = iota
	// Undecided means that a VM which has not answered may know it.
	Undecided
	// Unknowable means that nobody knows it.
	Unknowable
)

// Resolve returns the software version at which a stream may go on. own is this VM's opinion, others are those of the
// control VMs that answered.
func Resolve(own Opinion, others []Opinion) (laburnumlever.SoftwareVersion, Verdict) {
	all := append([]Opinion{own}, others...)
	software, conflict := recorded(all)
	switch {
	case conflict:
		return "", Unknowable
	case software != "":
		return software, Decided
	}
	if only, ok := provenVersion(own, others); ok {
		return only, Decided
	}
	return "", undecided(others)
}

// ResolveUnnamed is Resolve for a caller of an earlier protocol, who does not name the stream. It can't have a record.
func ResolveUnnamed(own Opinion, others []Opinion) (laburnumlever.SoftwareVersion, Verdict) {
	if only, ok := provenVersion(own, others); ok {
		return only, Decided
	}
	if several(append([]Opinion{own}, others...)) {
		return "", Unknowable
	}
	return "", undecided(others)
}

// Established reports whether a majority of the control VMs know a version, so that no stream that was begun at it can later be taken
// for one of another version.
func Established(software laburnumlever.SoftwareVersion, others []Opinion) bool {
	known, controls := 0, 0
	for _, o := range others {
		controls = max(controls, o.Controls)
		if slices.Contains(o.Versions, software) {
			known++
		}
	}
	return 2*known > controls
}

// provenVersion returns the only version at which a stream without a record can have begun. A majority of the control VMs knew each
// version before streams began at it. One of them is among any majority that have forgotten nothing since; or among one that
// know the servers of now, with one VM that has known all servers for as long as streams last.
func provenVersion(own Opinion, others []Opinion) (laburnumlever.SoftwareVersion, bool) {
	all := append([]Opinion{own}, others...)
	only, ok := onlyVersion(all)
	if !ok {
		return "", false
	}
	controls := controlsOf(others)
	complete := slices.ContainsFunc(all, func(o Opinion) bool { return o.Complete })
	current := count(others, func(o Opinion) bool { return o.Current })
	retained := count(others, func(o Opinion) bool { return o.Retained || o.Complete })
	return only, 2*retained > controls || complete && 2*current > controls
}

// undecided returns whether a control VM that did not answer may know more.
func undecided(others []Opinion) Verdict {
	informed := count(others, informed)
	if informed == 0 || informed < controlsOf(others) {
		return Undecided
	}
	return Unknowable
}

// informed reports whether an opinion is that of a VM which has heard from all servers or forgotten none.
func informed(o Opinion) bool { return o.Current || o.Retained }

func count(opinions []Opinion, is func(Opinion) bool) int {
	n := 0
	for _, o := range opinions {
		if is(o) {
			n++
		}
	}
	return n
}

// recorded returns the version of the records, and whether these differ.
func recorded(all []Opinion) (software laburnumlever.SoftwareVersion, several bool) {
	for _, o := range all {
		if o.Several || o.Software != "" && software != "" && o.Software != software {
			return "", true
		}
		if o.Software != "" {
			software = o.Software
		}
	}
	return software, false
}

// controlsOf returns the largest number of control VMs that one of those with an informed opinion knows of.
func controlsOf(opinions []Opinion) int {
	controls := 0
	for _, o := range opinions {
		if informed(o) {
			controls = max(controls, o.Controls)
		}
	}
	return controls
}

// several reports whether anyone knows servers of several versions, or one whose version is unknown.
func several(all []Opinion) bool {
	known := slices.ContainsFunc(all, func(o Opinion) bool { return len(o.Versions) > 0 })
	_, only := onlyVersion(all)
	return known && !only
}

// onlyVersion returns the version of all servers that anyone knows, if it is one.
func onlyVersion(all []Opinion) (laburnumlever.SoftwareVersion, bool) {
	var only laburnumlever.SoftwareVersion
	for _, o := range all {
		for _, v := range o.Versions {
			if v == "" || only != "" && v != only {
				return "", false
			}
			only = v
		}
	}
	return only, only != ""
}
