package laburnumload

import (
	"fmt"

	"laburnumlever"
)

// ExperimentInvalidError lists all that is wrong in an experiment.
type ExperimentInvalidError struct{ Faults []laburnumlever.Fault }

func (e *ExperimentInvalidError) Error() string {
	text := "experiment:"
	for _, fault := range e.Faults {
		text += "\n" + fault.String()
	}
	return text
}

// BrokenPromiseError is a run in which the system broke a promise.
type BrokenPromiseError struct{ Broken int }

func (e *BrokenPromiseError) Error() string {
	return fmt.Sprintf("%d promises to callers were broken; the report lists them", e.Broken)
}

// NoCallersAddressError is a system whose VMs tell no address for callers.
type NoCallersAddressError struct{ VM string }

func (e *NoCallersAddressError) Error() string {
	return "VM " + e.VM + " knows no address that takes callers"
}

// LedgerError is a plain service whose ledger can't be read.
type LedgerError struct {
	Address string
	Cause   error
}

func (e *LedgerError) Error() string {
	return fmt.Sprintf("ledger of %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *LedgerError) Unwrap() error { return e.Cause }

// ReportFileError is a file that holds no report.
type ReportFileError struct {
	File  string
	Cause error
}

func (e *ReportFileError) Error() string { return fmt.Sprintf("report %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *ReportFileError) Unwrap() error { return e.Cause }
