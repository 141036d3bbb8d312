package laburnumfleet

import (
	"github.com/cockroachdb/errors"

	"laburnumlever"
)

// isTransient tells whether an error of an apply passes by itself while a fleet
// starts: no leader yet, not all engines announced, or an answer that was lost.
func isTransient(err error) bool {
	var (
		noQuorum *laburnumlever.NoQuorumError
		unknown  *laburnumlever.OutcomeUnknownError
		noFit    *laburnumlever.DoesNotFitError
	)
	return errors.As(err, &noQuorum) || errors.As(err, &unknown) || errors.As(err, &noFit)
}
