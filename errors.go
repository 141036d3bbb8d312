package laburnumlever

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// UnitError is a value with a missing or wrong unit.
type UnitError struct{ Value, Want string }

func (e *UnitError) Error() string { return fmt.Sprintf("%q is not %s", e.Value, e.Want) }

// RefusalError is a refused request, with the details for the caller and the log
// line.
type RefusalError struct {
	Reason  RefusalReason
	Outcome RequestOutcome
	Owner   OwnerName
	Subject string // the model or service
	// RetryAfter is the delay after which a retry may succeed; 0 if none will.
	RetryAfter time.Duration
	Detail     string
	// Advice is what the caller can do instead of asking again; empty for nothing.
	Advice string
}

func (e *RefusalError) Error() string {
	return fmt.Sprintf("refused (%s, %s): %s: %s", e.Reason, e.Outcome, e.Subject, e.Detail)
}

// ConflictError is a change against a revision that is not the current one.
type ConflictError struct{ Expected, Current uint64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change expects revision %d, but the current one is %d", e.Expected, e.Current)
}

// MismatchError is a change ID or idempotency key that was reused with different content.
type MismatchError struct{ Key string }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("the key %q was used before with other content", e.Key)
}

// Fault is one error in a settings file, catalogue or route table.
type Fault struct {
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	Key  string `json:"key"`
	// Problem describes the error, Want the expected value.
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

// CatalogueInvalidError lists all faults of a catalogue.
type CatalogueInvalidError struct{ Faults []Fault }

func (e *CatalogueInvalidError) Error() string { return "catalogue: " + joinFaults(e.Faults) }

// SettingsInvalidError lists all faults of a settings file.
type SettingsInvalidError struct{ Faults []Fault }

func (e *SettingsInvalidError) Error() string { return "settings: " + joinFaults(e.Faults) }

func joinFaults(faults []Fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// DoesNotFitError is a catalogue whose models don't all fit into the fleet's memory.
type DoesNotFitError struct {
	ShortfallMiB int
	Models       []ModelName // the models that don't fit
}

func (e *DoesNotFitError) Error() string {
	return fmt.Sprintf("the fleet lacks %d MiB: no place for %v", e.ShortfallMiB, e.Models)
}

// NoQuorumError is a command that the log could not accept. It was certainly not
// committed.
type NoQuorumError struct{ Detail string }

func (e *NoQuorumError) Error() string { return "no quorum: " + e.Detail }

// CommandRejectedError is a command that the log did not carry out, with the reason in Result.
type CommandRejectedError struct {
	Kind   CommandKind
	Result Result
}

func (e *CommandRejectedError) Error() string {
	text := fmt.Sprintf("command %s rejected: %s", e.Kind, e.Result.Code)
	if e.Result.Detail != "" {
		text += ": " + e.Result.Detail
	}
	return text
}

// Rejection returns the result of a rejected command, and whether err is a *CommandRejectedError.
func Rejection(err error) (Result, bool) {
	var rejected *CommandRejectedError
	if !errors.As(err, &rejected) {
		return Result{}, false
	}
	return rejected.Result, true
}

// OutcomeUnknownError is a command or request that may or may not take effect.
type OutcomeUnknownError struct{ Detail string }

func (e *OutcomeUnknownError) Error() string { return "outcome unknown: " + e.Detail }

// PeerUnreachableError is a call to another VM that was never sent.
type PeerUnreachableError struct {
	Address string
	Cause   error
}

func (e *PeerUnreachableError) Error() string {
	return fmt.Sprintf("VM at %s cannot be reached: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *PeerUnreachableError) Unwrap() error { return e.Cause }

// PeerLostError is a call to another VM that was sent but not answered.
type PeerLostError struct {
	Address string
	Cause   error
}

func (e *PeerLostError) Error() string {
	return fmt.Sprintf("VM at %s gave no answer: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *PeerLostError) Unwrap() error { return e.Cause }

// PeerRefusedError is an error returned by the other VM. Kind is the error type on that
// VM, in kebab case.
type PeerRefusedError struct{ Address, Kind, Detail string }

func (e *PeerRefusedError) Error() string {
	return fmt.Sprintf("VM at %s answered %s: %s", e.Address, e.Kind, e.Detail)
}

// UnknownMethod reports whether the VM doesn't know the method, as one of an earlier build.
func (e *PeerRefusedError) UnknownMethod() bool { return e.Kind == "unknown-method" }

// BackendRestsError is a backend server that wants nothing from this VM for a time.
type BackendRestsError struct {
	Backend BackendID
	Rest    time.Duration
}

func (e *BackendRestsError) Error() string {
	return fmt.Sprintf("backend server %q wants nothing for %s", e.Backend, e.Rest)
}

// NotSentError is an order or request that was never sent.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return fmt.Sprintf("not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// StaleNewsError is a report of a backend server that is older than the known state; the name of
// the type is the kind of the error on the wire.
type StaleNewsError struct {
	Backend      BackendID
	Known, Given uint64
}

func (e *StaleNewsError) Error() string {
	return fmt.Sprintf("backend server %s: report %d is older than known report %d", e.Backend, e.Given, e.Known)
}

// NotFoundError is a lookup of a name that does not exist.
type NotFoundError struct{ Kind, Name string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("no %s named %q", e.Kind, e.Name) }

// RoutesTooLargeError is a route table beyond what VMs can store and hand to each other. Unit names what is counted.
type RoutesTooLargeError struct {
	Unit        string
	Size, Limit int
}

func (e *RoutesTooLargeError) Error() string {
	return fmt.Sprintf("the route table has %d %s, at most %d are possible", e.Size, e.Unit, e.Limit)
}

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

// InvalidValueError is an argument with an invalid value.
type InvalidValueError struct{ Name, Value, Want string }

func (e *InvalidValueError) Error() string {
	return fmt.Sprintf("%s: %q is not %s", e.Name, e.Value, e.Want)
}

// EventInvalidError is a block of an event stream of which Got, the beginning of a line or of the whole block, can't belong to an event.
type EventInvalidError struct{ Got, Want string }

func (e *EventInvalidError) Error() string {
	return fmt.Sprintf("%q in an event stream, where only %s can be", e.Got, e.Want)
}

// RoutesInvalidError lists all faults of a route table.
type RoutesInvalidError struct{ Faults []Fault }

func (e *RoutesInvalidError) Error() string { return "routes: " + joinFaults(e.Faults) }

// ListenError is a failure to listen on an address.
type ListenError struct {
	Name, Address string
	Cause         error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("listen on %s address %s: %v", e.Name, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// StartError is a component of a process that failed to start.
type StartError struct {
	Part  string
	Cause error
}

func (e *StartError) Error() string { return fmt.Sprintf("start %s: %v", e.Part, e.Cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }
