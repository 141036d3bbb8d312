package laburnumpeer

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a VM that runs out of memory as large notifications pile up for one that does not read.
func TestQueuedNotificationsAreBoundedByBytes(t *testing.T) {
	p := New("a", WithMaxFrame(1<<20))
	t.Cleanup(func() { require.NoError(t, p.Close()) })
	l := newLink(p, "127.0.0.1:1")
	large := notification{method: "large", params: []byte(strings.Repeat("1", 300_000))}
	for range 3 {
		require.True(t, l.enqueue(large))
	}
	require.False(t, l.enqueue(large))
	require.True(t, l.enqueue(notification{method: "small", params: []byte("1")}), "a heartbeat still fits")
	require.EqualValues(t, 900_001, l.queued.Load())
}
