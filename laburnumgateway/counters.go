package laburnumgateway

import (
	"laburnumlever"

	"github.com/uber-go/tally/v4"
)

// counters are those of the callers' path, looked up once.
type counters struct {
	requests, served tally.Counter
	refusals         map[laburnumlever.RefusalReason]tally.Counter
	retries          map[laburnumlever.RetryReason]tally.Counter
}

func newCounters(scope tally.Scope) *counters {
	c := &counters{
		requests: scope.Counter("requests"), served: scope.Counter("served"),
		refusals: map[laburnumlever.RefusalReason]tally.Counter{}, retries: map[laburnumlever.RetryReason]tally.Counter{},
	}
	for _, reason := range laburnumlever.RefusalReasonValues() {
		c.refusals[reason] = scope.Tagged(map[string]string{"reason": reason.String()}).Counter("refusals")
	}
	for _, reason := range laburnumlever.RetryReasonValues() {
		c.retries[reason] = scope.Tagged(map[string]string{"reason": reason.String()}).Counter("retries")
	}
	return c
}
