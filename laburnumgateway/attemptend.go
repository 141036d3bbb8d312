package laburnumgateway

import (
	"context"
	"net"

	"laburnumlever/laburnumbalance"

	"github.com/cockroachdb/errors"
)

//go:generate go tool -modfile=../tools/go.mod enumer -type=attemptEnd -transform=kebab -trimprefix=end -text -output=attemptend_gen.go

// attemptEnd is why this VM ended an attempt.
type attemptEnd int

const (
	// endNone means that this VM did not end it.
	endNone attemptEnd = iota
	// endDeadline means that the request's time was over.
	endDeadline
	// endCallerGone means that the caller had left.
	endCallerGone
	// endStopped means that this VM stopped.
	endStopped
	// endDetour means that the server answered other VMs only.
	endDetour
	// endLinksLost means that this VM had lost its links to the servers.
	endLinksLost
)

// paid reports whether the next attempt was charged to the retry budget before this one was ended.
func (e attemptEnd) paid() bool { return e == endDetour || e == endLinksLost }

// describeEnd has the failure of an attempt name what ended it, if that was this VM: then it is none of the server's.
func (fail *failure) describeEnd(ctx context.Context, verdict attemptEnd, result *laburnumbalance.AttemptResult) {
	if fail == nil || !errors.Is(fail.cause, net.ErrClosed) {
		return
	}
	switch {
	case verdict != endNone:
		fail.end = verdict
	case deadlineExceeded(ctx):
		fail.end = endDeadline
	case stopped(ctx):
		fail.end = endStopped
	case ctx.Err() != nil:
		fail.end = endCallerGone
	default:
		return
	}
	result.Failed = false
	fail.cause = &AttemptEndedError{By: fail.end, Cause: fail.cause}
}
