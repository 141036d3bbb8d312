package laburnumgateway

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an event that ends within a line as long as the buffer.
func TestEventEndsAtAnEmptyLineOnly(t *testing.T) {
	long := strings.Repeat("x", eventBufferSize) + "\n"
	text := "data: a\n\n" + long + "data: b\r\n\r\n" + "data: c"
	events := newEventReader(strings.NewReader(text), newBufferBudget(0))
	for _, want := range []string{"data: a\n\n", long + "data: b\r\n\r\n"} {
		event, err := events.next()
		require.NoError(t, err)
		require.Equal(t, want, string(event))
	}
	event, err := events.next()
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, "data: c", string(event))
}

// Guards against shares of the budget that are not returned, or not asked for.
func TestLargeEventsTakeAndReturnTheirShare(t *testing.T) {
	large := strings.Repeat("x", freeBuffer+1) + "\n\n"
	budget := newBufferBudget(maxEventBytes)
	events := newEventReader(strings.NewReader(large+large+strings.Repeat("x", 2*maxEventBytes)), budget)
	for range 2 {
		event, err := events.next()
		require.NoError(t, err)
		require.Equal(t, large, string(event))
		require.False(t, budget.take(1), "the event is still held")
	}
	_, err := events.next()
	var long *EventTooLongError
	require.ErrorAs(t, err, &long)
	require.Equal(t, maxEventBytes, long.Limit)
	events.close()
	require.True(t, budget.take(maxEventBytes))
	events = newEventReader(strings.NewReader(large), budget)
	_, err = events.next()
	require.ErrorAs(t, err, &long)
	require.Equal(t, freeBuffer, long.Limit)
}
