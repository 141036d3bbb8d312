package laburnumlever

import (
	"fmt"
	"strings"
	"time"
)

// UnitError is a value without or with a wrong unit.
type UnitError struct{ Value, Want string }

func (e *UnitError) Error() string { return fmt.Sprintf("%q is not %s", e.Value, e.Want) }

// RefusalError is a request turned away, with all that the caller and the log
// line need.
type RefusalError struct {
	Reason  RefusalReason
	Outcome RequestOutcome
	Owner   OwnerName
	Subject string // the model or service
	// RetryAfter is when it is worth asking again; 0 when it is not.
	RetryAfter time.Duration
	Detail     string
}

func (e *RefusalError) Error() string {
	return fmt.Sprintf("refused (%s, %s): %s: %s", e.Reason, e.Outcome, e.Subject, e.Detail)
}

// ConflictError is a change made against a revision that is no longer current.
type ConflictError struct{ Expected, Current uint64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change expects revision %d, but the current one is %d", e.Expected, e.Current)
}

// MismatchError is a change id or idempotency key used again with other content.
type MismatchError struct{ Key string }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("the key %q was used before with other content", e.Key)
}

// Fault is one thing wrong in a settings or catalogue file.
type Fault struct {
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	Key  string `json:"key"`
	// Problem says what is wrong, Want what would be right.
	Problem string `json:"problem"`
	Want    string `json:"want,omitempty"`
}

func (f Fault) String() string {
	text := fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Problem)
	if f.Want != "" {
		text += "; want " + f.Want
	}
	return text
}

// CatalogueInvalidError lists all that is wrong in a catalogue.
type CatalogueInvalidError struct{ Faults []Fault }

func (e *CatalogueInvalidError) Error() string { return "catalogue: " + joinFaults(e.Faults) }

// SettingsInvalidError lists all that is wrong in a settings file.
type SettingsInvalidError struct{ Faults []Fault }

func (e *SettingsInvalidError) Error() string { return "settings: " + joinFaults(e.Faults) }

func joinFaults(faults []Fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// DoesNotFitError is a catalogue whose models can't all be resident.
type DoesNotFitError struct {
	ShortfallMiB int
	Models       []ModelName // those without a place
}

func (e *DoesNotFitError) Error() string {
	return fmt.Sprintf("the fleet lacks %d MiB: no place for %v", e.ShortfallMiB, e.Models)
}

// NoQuorumError says that the log could not take the command: it was surely
// not committed.
type NoQuorumError struct{ Detail string }

func (e *NoQuorumError) Error() string { return "no quorum: " + e.Detail }

// OutcomeUnknownError says that a command or request may or may not take effect.
type OutcomeUnknownError struct{ Detail string }

func (e *OutcomeUnknownError) Error() string { return "outcome unknown: " + e.Detail }

// PeerUnreachableError says that a call was never sent.
type PeerUnreachableError struct {
	Address string
	Cause   error
}

func (e *PeerUnreachableError) Error() string {
	return fmt.Sprintf("VM at %s cannot be reached: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *PeerUnreachableError) Unwrap() error { return e.Cause }

// PeerLostError says that a call was sent and no answer came.
type PeerLostError struct {
	Address string
	Cause   error
}

func (e *PeerLostError) Error() string {
	return fmt.Sprintf("VM at %s gave no answer: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *PeerLostError) Unwrap() error { return e.Cause }

// PeerRefusedError is an error that the other VM answered with. Kind names
// the error type there, in kebab case.
type PeerRefusedError struct{ Address, Kind, Detail string }

func (e *PeerRefusedError) Error() string {
	return fmt.Sprintf("VM at %s answered %s: %s", e.Address, e.Kind, e.Detail)
}

// NotSentError says that an order or request never left this VM.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return fmt.Sprintf("not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// StaleNewsError is news older than what is known.
type StaleNewsError struct {
	Backend      BackendID
	Known, Given uint64
}

func (e *StaleNewsError) Error() string {
	return fmt.Sprintf("backend server %s: news %d is older than %d", e.Backend, e.Given, e.Known)
}

// NotFoundError is a question about something that is not there.
type NotFoundError struct{ Kind, Name string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("no %s named %q", e.Kind, e.Name) }

// RoutesEncodingError is a route table that can't be encoded or decoded.
type RoutesEncodingError struct {
	Version uint64
	Cause   error
}

func (e *RoutesEncodingError) Error() string {
	return fmt.Sprintf("route table of version %d: %v", e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *RoutesEncodingError) Unwrap() error { return e.Cause }

// InvalidValueError is an argument outside its range.
type InvalidValueError struct{ Name, Value, Want string }

func (e *InvalidValueError) Error() string {
	return fmt.Sprintf("%s: %q is not %s", e.Name, e.Value, e.Want)
}

// RoutesInvalidError lists all that is wrong in a route table.
type RoutesInvalidError struct{ Faults []Fault }

func (e *RoutesInvalidError) Error() string { return "routes: " + joinFaults(e.Faults) }

// ListenError is an address that can't be listened on.
type ListenError struct {
	Name, Address string
	Cause         error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("listen on %s address %s: %v", e.Name, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// StartError is a part of a process that did not start.
type StartError struct {
	Part  string
	Cause error
}

func (e *StartError) Error() string { return fmt.Sprintf("start %s: %v", e.Part, e.Cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }
