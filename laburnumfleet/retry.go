package laburnumfleet

import (
	"github.com/cockroachdb/errors"

	"laburnumlever"
)

// isTransient reports whether an error of an apply is transient while a fleet starts:
// no leader yet, not all engines announced, or a lost answer.
func isTransient(err error) bool {
	var (
		noQuorum *laburnumlever.NoQuorumError
		unknown  *laburnumlever.OutcomeUnknownError
		noFit    *laburnumlever.DoesNotFitError
	)
	return errors.As(err, &noQuorum) || errors.As(err, &unknown) || errors.As(err, &noFit)
}
