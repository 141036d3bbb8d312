package laburnumslotqueue_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumslotqueue"
)

// Guards against requests queued so long that no time is left for the answer or for resuming a broken stream.
func TestPolicy(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	policy := laburnumslotqueue.DefaultPolicy()
	plain := laburnumslotqueue.Caller{Arrived: start, Deadline: start.Add(time.Second)}
	stream := laburnumslotqueue.Caller{
		Arrived: start, Deadline: start.Add(10 * time.Second), Stream: true,
		Target: 400 * time.Millisecond, PauseTarget: 250 * time.Millisecond,
	}
	require.Equal(t, time.Second, plain.Patience())
	require.Equal(t, 2*time.Second, stream.Patience(), "callers abandon a stream after a gap")
	require.Equal(t, start.Add(400*time.Millisecond), policy.QueueDeadline(stream))
	require.Equal(t, start.Add(300*time.Millisecond), policy.OnTimeUntil(stream))
	require.Equal(t, start.Add(time.Second), policy.WithWaitShare(0.5).QueueDeadline(stream))
	require.Equal(t, start.Add(1320*time.Millisecond), policy.LoadDeadline(stream))
	require.Equal(t, 3300*time.Millisecond, stream.BoundRetryAfter(time.Minute, start))
	stream.BrokenAt = start.Add(3 * time.Second)
	require.Equal(t, stream.BrokenAt.Add(1320*time.Millisecond), policy.QueueDeadline(stream), "counted from the break")
	require.Equal(t, policy.QueueDeadline(stream), policy.OnTimeUntil(stream))
	require.Equal(t, policy.QueueDeadline(stream), policy.LoadDeadline(stream))
}
