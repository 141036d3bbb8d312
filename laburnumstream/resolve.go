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
	software, several := recorded(all)
	switch {
	case several:
		return "", Unknowable
	case software != "":
		return software, Decided
	}
	current, controls := currentOf(others)
	if only, ok := onlyVersion(all); ok && 2*current > controls && slices.ContainsFunc(all, func(o Opinion) bool { return o.Complete }) {
		return only, Decided
	}
	if current == 0 || current < controls {
		return "", Undecided
	}
	return "", Unknowable
}

// ResolveUnnamed is Resolve for a caller of an earlier protocol, who does not name the stream. It can't have a record; it goes on
// at the only version that anyone knows.
func ResolveUnnamed(own Opinion, others []Opinion) (laburnumlever.SoftwareVersion, Verdict) {
	if only, ok := onlyVersion(append([]Opinion{own}, others...)); ok {
		return only, Decided
	}
	return "", Unknowable
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

// currentOf counts the opinions of VMs that know all servers which announce themselves, and returns the largest number of control
// VMs that one of them knows of.
func currentOf(opinions []Opinion) (current, controls int) {
	for _, o := range opinions {
		if o.Current {
			current++
			controls = max(controls, o.Controls)
		}
	}
	return current, controls
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
