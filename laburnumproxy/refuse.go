package laburnumproxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"laburnumlever"

	"github.com/cockroachdb/errors"
)

const (
	statusCallerGone = 499
	hexBase          = 16
	shortRetryAfter  = time.Second
	// drainRetryAfter gives the load balancer time to see that this VM is not ready.
	drainRetryAfter = 2 * time.Second
)

// statusByReason maps reasons to HTTP status codes; the default is 503.
var statusByReason = map[laburnumlever.RefusalReason]int{
	laburnumlever.RefusedBadRequest:       http.StatusBadRequest,
	laburnumlever.RefusedTooLarge:         http.StatusRequestEntityTooLarge,
	laburnumlever.RefusedUnknownModel:     http.StatusNotFound,
	laburnumlever.RefusedUnknownService:   http.StatusNotFound,
	laburnumlever.RefusedOwnerRequestRate: http.StatusTooManyRequests,
	laburnumlever.RefusedOwnerTokenRate:   http.StatusTooManyRequests,
	laburnumlever.RefusedOwnerInFlight:    http.StatusTooManyRequests,
	laburnumlever.RefusedBackendError:     http.StatusBadGateway,
	laburnumlever.RefusedBrokenStream:     http.StatusBadGateway,
	laburnumlever.RefusedCrossedAnswer:    http.StatusBadGateway,
	laburnumlever.RefusedOutcomeUnknown:   http.StatusBadGateway,
	laburnumlever.RefusedKeyInProgress:    http.StatusConflict,
	laburnumlever.RefusedKeyMismatch:      http.StatusUnprocessableEntity,
	laburnumlever.RefusedCallerGone:       statusCallerGone,
}

func statusOf(reason laburnumlever.RefusalReason) int {
	if status, ok := statusByReason[reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// retryAfter returns the default for a reason; 0 if a retry can't help.
func retryAfter(reason laburnumlever.RefusalReason) time.Duration {
	switch reason {
	case laburnumlever.RefusedBadRequest, laburnumlever.RefusedTooLarge, laburnumlever.RefusedUnknownModel,
		laburnumlever.RefusedUnknownService, laburnumlever.RefusedKeyMismatch, laburnumlever.RefusedOutcomeUnknown,
		laburnumlever.RefusedCallerGone:
		return 0
	case laburnumlever.RefusedDraining:
		return drainRetryAfter
	default:
		return shortRetryAfter
	}
}

// errorBody is the body of a refusal and the data of an error event.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type      string `json:"type"`
	Message   string `json:"message"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"request-id"`
}

func newErrorBody(id string, refusal *laburnumlever.RefusalError) []byte {
	text, err := json.Marshal(errorBody{Error: errorDetail{
		Type: refusal.Reason.String(), Message: refusal.Detail, Outcome: refusal.Outcome.String(), RequestID: id,
	}})
	if err != nil {
		return []byte(`{"error":{}}`) // unreachable: the fields always marshal
	}
	return text
}

// writeRefusal writes a refusal as the response.
func writeRefusal(w http.ResponseWriter, id string, refusal *laburnumlever.RefusalError) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRequestID, id)
	h.Set(headerOutcome, refusal.Outcome.String())
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(statusOf(refusal.Reason))
	_, _ = w.Write(append(newErrorBody(id, refusal), '\n')) // the caller may have disconnected
}

// asRefusal returns the refusal in err, or one with an unknown outcome if there is none.
func (q *request) asRefusal(err error) *laburnumlever.RefusalError {
	var refusal *laburnumlever.RefusalError
	if errors.As(err, &refusal) {
		return refusal
	}
	return q.refusal(laburnumlever.RefusedOutcomeUnknown, laburnumlever.OutcomeUnknown, err.Error())
}

func formatHash(n uint64) string { return strconv.FormatUint(n, hexBase) }
