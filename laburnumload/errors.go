package laburnumload

import (
	"fmt"

	"laburnumlever"
)

// ExperimentInvalidError lists all faults in an experiment.
type ExperimentInvalidError struct{ Faults []laburnumlever.Fault }

func (e *ExperimentInvalidError) Error() string {
	text := "experiment:"
	for _, fault := range e.Faults {
		text += "\n" + fault.String()
	}
	return text
}

// BrokenPromiseError is a run in which the system violated a guarantee to its callers.
// Broken is the number of violations listed in the report.
type BrokenPromiseError struct{ Broken int }

func (e *BrokenPromiseError) Error() string {
	return fmt.Sprintf("%d promises to callers were broken; the report lists them", e.Broken)
}

// NoCallersAddressError is a system in which no live VM has a callers address, according
// to the VM that was asked, given by its operators address.
type NoCallersAddressError struct{ VM string }

func (e *NoCallersAddressError) Error() string {
	return "VM " + e.VM + " knows no live VM with a callers address"
}

// LedgerError is a failure to read a plain service's ledger.
type LedgerError struct {
	Address string
	Cause   error
}

func (e *LedgerError) Error() string {
	return fmt.Sprintf("ledger of %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *LedgerError) Unwrap() error { return e.Cause }

// ReportFileError is a report file that can't be read or parsed.
type ReportFileError struct {
	File  string
	Cause error
}

func (e *ReportFileError) Error() string { return fmt.Sprintf("report %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *ReportFileError) Unwrap() error { return e.Cause }
