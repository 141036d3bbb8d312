package main

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"laburnumlever"
	"laburnumlever/laburnumload"
	"laburnumlever/laburnumoperator"
)

// The exit codes.
const (
	exitFailure     = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitRefused     = 4
	exitUnreachable = 5
	exitUnknown     = 6
)

const exitCodesText = `Exit codes: 0 success; 1 failure; 2 invalid usage; 3 a settings, catalogue or
experiment file is invalid; 4 the request was refused and nothing was changed; 5 the VM could not be
reached and nothing was changed; 6 the outcome is unknown: repeat the change with the
same change id.`

// usageError reports an invalid command line.
type usageError struct{ Detail string }

func (e *usageError) Error() string { return e.Detail }

func exitCode(err error) int {
	var (
		usage       *usageError
		settings    *laburnumlever.SettingsInvalidError
		catalogue   *laburnumlever.CatalogueInvalidError
		unreachable *laburnumoperator.UnreachableError
		unknown     *laburnumlever.OutcomeUnknownError
		experiment  *laburnumload.ExperimentInvalidError
	)
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &settings), errors.As(err, &catalogue), errors.As(err, &experiment):
		return exitInvalid
	case errors.As(err, &unreachable):
		return exitUnreachable
	case errors.As(err, &unknown):
		return exitUnknown
	case isRefusal(err):
		return exitRefused
	default:
		return exitFailure
	}
}

func isRefusal(err error) bool {
	var (
		conflict *laburnumlever.ConflictError
		mismatch *laburnumlever.MismatchError
		noFit    *laburnumlever.DoesNotFitError
		noQuorum *laburnumlever.NoQuorumError
		notFound *laburnumlever.NotFoundError
		invalid  *laburnumlever.InvalidValueError
	)
	return errors.As(err, &conflict) || errors.As(err, &mismatch) || errors.As(err, &noFit) ||
		errors.As(err, &noQuorum) || errors.As(err, &notFound) || errors.As(err, &invalid)
}

// printError writes each fault of a file on its own line, so that editors can jump to it; any
// other error is written on one line.
func printError(w io.Writer, err error) {
	var (
		settings   *laburnumlever.SettingsInvalidError
		catalogue  *laburnumlever.CatalogueInvalidError
		experiment *laburnumload.ExperimentInvalidError
	)
	switch {
	case errors.As(err, &settings):
		printFaults(w, settings.Faults)
	case errors.As(err, &experiment):
		printFaults(w, experiment.Faults)
	case errors.As(err, &catalogue):
		printFaults(w, catalogue.Faults)
	default:
		printLine(w, "laburnumlever:", err)
	}
}

func printFaults(w io.Writer, faults []laburnumlever.Fault) {
	for _, fault := range faults {
		printLine(w, faultText(fault))
	}
}

// faultText formats a fault, without the file if a VM reported the fault for a change.
func faultText(f laburnumlever.Fault) string {
	if f.File != "" {
		return f.String()
	}
	text := f.Key + ": " + f.Problem
	if f.Want != "" {
		text += "; want " + f.Want
	}
	return text
}

// soakFailedError reports that a soak found violations.
type soakFailedError struct {
	Seeds  int
	Folder string
}

func (e *soakFailedError) Error() string {
	return fmt.Sprintf("%d seeds with violations; logs are in %s", e.Seeds, e.Folder)
}
