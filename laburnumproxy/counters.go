package laburnumproxy

import (
	"laburnumlever"

	"github.com/uber-go/tally/v4"
)

// counters are created at start, so that each reason is exported as 0 before it first
// occurs: otherwise an alert on its rate would miss the first one.
type counters struct {
	refusals      map[laburnumlever.RefusalReason]tally.Counter
	retries       map[laburnumlever.RetryReason]tally.Counter
	answered      tally.Counter
	crossed       tally.Counter
	garbled       tally.Counter
	fromRecord    tally.Counter
	recordsFailed tally.Counter
}

func newCounters(scope tally.Scope) *counters {
	c := &counters{
		refusals:      map[laburnumlever.RefusalReason]tally.Counter{},
		retries:       map[laburnumlever.RetryReason]tally.Counter{},
		answered:      scope.Counter("requests-answered"),
		crossed:       scope.Counter("answers-crossed"),
		garbled:       scope.Counter("streams-garbled"),
		fromRecord:    scope.Counter("answers-recorded"),
		recordsFailed: scope.Counter("records-failed"),
	}
	for _, reason := range laburnumlever.RefusalReasonValues() {
		c.refusals[reason] = scope.Tagged(map[string]string{"reason": reason.String()}).Counter("refusals")
		c.refusals[reason].Inc(0)
	}
	for _, reason := range laburnumlever.RetryReasonValues() {
		c.retries[reason] = scope.Tagged(map[string]string{"reason": reason.String()}).Counter("retries")
		c.retries[reason].Inc(0)
	}
	return c
}
