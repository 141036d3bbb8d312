package laburnumquarantine

import (
	"slices"
	"time"

	"laburnumlever"
)

//go:generate go tool -modfile=../tools/go.mod enumer -type=State -transform=kebab -text -json -output=state_gen.go

// State is what is known of a request.
type State int

const (
	// Cleared is a request that is not suspected, or no longer.
	Cleared State = iota
	// Suspect is a request that was on several crashed servers, or of which several copies were on one.
	// It is served, but not retried after a crash, and an answer to it is reported.
	Suspect
	// Held is a request that is refused for HoldTime. It may have been on the crashed servers by
	// chance, as the retries of an innocent request follow a crashing one.
	Held
	// Quarantined is a request that is refused for Retention.
	Quarantined
)

const (
	// Retention is how long evidence against a request and its quarantine are kept after the request
	// was last seen.
	Retention = time.Hour
	// HoldTime is how long a request is held after it was last seen. The caller of an innocent one
	// has usually given up by then, while a crashing one is sent again and again.
	HoldTime = 3 * time.Minute
)

// Refused reports whether gateways refuse the request.
func (s State) Refused() bool { return s == Held || s == Quarantined }

// RefusalTime returns how long a request is refused after it was last seen; 0 for one that is served.
func (s State) RefusalTime() time.Duration {
	switch s {
	case Held:
		return HoldTime
	case Quarantined:
		return Retention
	default:
		return 0
	}
}

// Entry is the state of a request on one control VM.
type Entry struct {
	Digest laburnumlever.RequestDigest `json:"digest"`
	State  State                       `json:"state"`
	// Crashes is the number of servers that crashed with the request.
	Crashes int `json:"crashes,omitempty"`
	// Alone is set if only one copy of the request may run at a time: as many as hold a request have ended with
	// servers, on fewer servers.
	Alone bool `json:"alone,omitempty"`
	// Part is set if the entry is that of all requests with a part of their prompts; the digest is the part's.
	Part *Part `json:"part,omitempty"`
	// Known is set for a part that was answered shortly before the crashes. Trials is the number of trials that have crashed a
	// server since it is refused.
	Known  bool `json:"known,omitempty"`
	Trials int  `json:"trials,omitempty"`
	// RetryIn is the time from the entry's publication until a refused part may be tried again.
	RetryIn laburnumlever.Duration `json:"retry-in,omitempty"`
	// CrashedAgo is the time from the last crash that a part is refused for until the entry's publication, or its sending in a
	// report; VMs of an earlier build don't tell it.
	CrashedAgo laburnumlever.Duration `json:"crashed-ago,omitempty"`
}

// Crash identifies the incarnation of a backend server that crashed.
type Crash struct {
	Backend     laburnumlever.BackendID `json:"backend"`
	Incarnation uint64                  `json:"born,omitempty"`
}

// Sighting is a request that was on a backend server when it crashed.
type Sighting struct {
	Crash
	Digest laburnumlever.RequestDigest `json:"digest"`
}

// Report is what a gateway tells the control VMs.
type Report struct {
	Sightings []Sighting `json:"sightings,omitempty"`
	// Completed are listed requests that a server has answered completely.
	Completed []laburnumlever.RequestDigest `json:"completed,omitempty"`
	// Refused are refused requests that their callers have sent again.
	Refused []laburnumlever.RequestDigest `json:"refused,omitempty"`
	// Listed are refused requests that the receiving control VM has not listed since it started.
	Listed []Entry `json:"listed,omitempty"`
	// Parts are the shared parts of the requests that were on crashed servers, Answers those of listed parts.
	Parts   []PartSighting `json:"parts,omitempty"`
	Answers []PartAnswer   `json:"answers,omitempty"`
}

// MaxReport is the largest number of items of each kind in a report.
const MaxReport = 512

// IsZero reports whether the report is empty.
func (r Report) IsZero() bool {
	return len(r.Sightings)+len(r.Completed)+len(r.Refused)+len(r.Listed)+len(r.Parts)+len(r.Answers) == 0
}

// Merged returns the report with the items of another one, cut to MaxReport of each kind.
func (r Report) Merged(other Report) Report {
	return Report{
		Sightings: firstSightings(slices.Concat(r.Sightings, other.Sightings)),
		Completed: firstDigests(slices.Concat(r.Completed, other.Completed)),
		Refused:   firstDigests(slices.Concat(r.Refused, other.Refused)),
		Listed:    firstEntries(slices.Concat(r.Listed, other.Listed)),
		Parts:     firstParts(slices.Concat(r.Parts, other.Parts)),
		Answers:   latestAnswers(slices.Concat(r.Answers, other.Answers)),
	}
}

func firstParts(list []PartSighting) []PartSighting { return list[:min(len(list), MaxReport)] }

// latestAnswers returns the last answer of each part.
func latestAnswers(list []PartAnswer) []PartAnswer {
	var latest []PartAnswer
	for _, a := range list {
		i := slices.IndexFunc(latest, func(b PartAnswer) bool { return a.Part == b.Part })
		switch {
		case i >= 0 && a.AnsweredAt.After(latest[i].AnsweredAt):
			latest[i] = a
		case i < 0 && len(latest) < MaxReport:
			latest = append(latest, a)
		default:
		}
	}
	return latest
}

func firstSightings(list []Sighting) []Sighting { return list[:min(len(list), MaxReport)] }

func firstDigests(list []laburnumlever.RequestDigest) []laburnumlever.RequestDigest {
	return list[:min(len(list), MaxReport)]
}

func firstEntries(list []Entry) []Entry { return list[:min(len(list), MaxReport)] }
