package laburnumoperator

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"laburnumlever"
)

// Error kinds on the wire.
const (
	kindConflict         = "conflict"
	kindMismatch         = "mismatch"
	kindCatalogueInvalid = "catalogue-invalid"
	kindDoesNotFit       = "does-not-fit"
	kindNoQuorum         = "no-quorum"
	kindOutcomeUnknown   = "outcome-unknown"
	kindNotFound         = "not-found"
	kindInvalidValue     = "invalid-value"
	kindBadRequest       = "bad-request"
	kindInternal         = "internal"
)

// ErrorBody is the body of every response that is not a success.
type ErrorBody struct {
	Error WireError `json:"error"`
}

// WireError is the wire form of an error. Only the fields of its kind are set.
type WireError struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`

	Expected     uint64                    `json:"expected,omitempty"`
	Current      uint64                    `json:"current,omitempty"`
	Key          string                    `json:"key,omitempty"`
	Faults       []laburnumlever.Fault     `json:"faults,omitempty"`
	ShortfallMiB int                       `json:"shortfall-mib,omitempty"`
	Models       []laburnumlever.ModelName `json:"models,omitempty"`
	Detail       string                    `json:"detail,omitempty"`
	Subject      string                    `json:"subject,omitempty"`
	Name         string                    `json:"name,omitempty"`
	Value        string                    `json:"value,omitempty"`
	Want         string                    `json:"want,omitempty"`
}

// encodeError returns an error's HTTP status and wire form.
func encodeError(err error) (int, WireError) {
	status, wire := encodeChangeError(err)
	if status == 0 {
		status, wire = encodeQueryError(err)
	}
	wire.Message = err.Error()
	return status, wire
}

// encodeChangeError encodes the errors of a change; the status is 0 for other errors.
func encodeChangeError(err error) (int, WireError) {
	var (
		conflict *laburnumlever.ConflictError
		mismatch *laburnumlever.MismatchError
		invalid  *laburnumlever.CatalogueInvalidError
		noFit    *laburnumlever.DoesNotFitError
		noQuorum *laburnumlever.NoQuorumError
		unknown  *laburnumlever.OutcomeUnknownError
	)
	switch {
	case errors.As(err, &conflict):
		return http.StatusConflict, WireError{Kind: kindConflict, Expected: conflict.Expected, Current: conflict.Current}
	case errors.As(err, &mismatch):
		return http.StatusUnprocessableEntity, WireError{Kind: kindMismatch, Key: mismatch.Key}
	case errors.As(err, &invalid):
		return http.StatusUnprocessableEntity, WireError{Kind: kindCatalogueInvalid, Faults: invalid.Faults}
	case errors.As(err, &noFit):
		return http.StatusUnprocessableEntity, WireError{Kind: kindDoesNotFit, ShortfallMiB: noFit.ShortfallMiB, Models: noFit.Models}
	case errors.As(err, &noQuorum):
		return http.StatusServiceUnavailable, WireError{Kind: kindNoQuorum, Detail: noQuorum.Detail}
	case errors.As(err, &unknown):
		return http.StatusGatewayTimeout, WireError{Kind: kindOutcomeUnknown, Detail: unknown.Detail}
	default:
		return 0, WireError{}
	}
}

// encodeQueryError encodes the errors of queries and requests; any other is internal.
func encodeQueryError(err error) (int, WireError) {
	var (
		notFound *laburnumlever.NotFoundError
		invalid  *laburnumlever.InvalidValueError
		bad      *BadRequestError
	)
	switch {
	case errors.As(err, &notFound):
		return http.StatusNotFound, WireError{Kind: kindNotFound, Subject: notFound.Kind, Name: notFound.Name}
	case errors.As(err, &invalid):
		return http.StatusBadRequest, WireError{Kind: kindInvalidValue, Name: invalid.Name, Value: invalid.Value, Want: invalid.Want}
	case errors.As(err, &bad):
		return http.StatusBadRequest, WireError{Kind: kindBadRequest, Detail: bad.Detail}
	default:
		return http.StatusInternalServerError, WireError{Kind: kindInternal, Detail: err.Error()}
	}
}

// decodeError returns the error that the VM's operation returned, or an
// *UnexpectedAnswerError for an unknown kind.
func decodeError(address string, status int, w WireError) error {
	switch w.Kind {
	case kindConflict:
		return &laburnumlever.ConflictError{Expected: w.Expected, Current: w.Current}
	case kindMismatch:
		return &laburnumlever.MismatchError{Key: w.Key}
	case kindCatalogueInvalid:
		return &laburnumlever.CatalogueInvalidError{Faults: w.Faults}
	case kindDoesNotFit:
		return &laburnumlever.DoesNotFitError{ShortfallMiB: w.ShortfallMiB, Models: w.Models}
	case kindNoQuorum:
		return &laburnumlever.NoQuorumError{Detail: w.Detail}
	case kindOutcomeUnknown:
		return &laburnumlever.OutcomeUnknownError{Detail: w.Detail}
	case kindNotFound:
		return &laburnumlever.NotFoundError{Kind: w.Subject, Name: w.Name}
	case kindInvalidValue:
		return &laburnumlever.InvalidValueError{Name: w.Name, Value: w.Value, Want: w.Want}
	case kindBadRequest:
		return &BadRequestError{Detail: w.Detail}
	default:
		return &UnexpectedAnswerError{Address: address, Status: status, Detail: w.Message}
	}
}
