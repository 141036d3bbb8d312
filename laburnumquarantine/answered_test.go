package laburnumquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumquarantine"
)

func TestAnsweredRequestsAreKeptForAWhile(t *testing.T) {
	a := laburnumquarantine.NewAnswered()
	require.False(t, a.Contains(digest("first"), start))
	a.Add(digest("first"), start)
	for i := range 8192 {
		a.Add(digest(fmt.Sprint(i)), start)
		if i < 4096 {
			require.True(t, a.Contains(digest("first"), start))
		}
	}
	require.False(t, a.Contains(digest("first"), start))
	require.True(t, a.Contains(digest("8191"), start))
}

// Guards against clearing a request for an answer that is older than the update of the servers since which it crashes them.
func TestOldAnswersDoNotCount(t *testing.T) {
	a := laburnumquarantine.NewAnswered()
	a.Add(digest("first"), start)
	require.True(t, a.Contains(digest("first"), start.Add(9*time.Second)))
	require.True(t, a.Contains(digest("first"), start.Add(15*time.Second)))
	require.False(t, a.Contains(digest("first"), start.Add(25*time.Second)))
	a.Add(digest("first"), start.Add(30*time.Second))
	require.False(t, a.Contains(digest("first"), start.Add(50*time.Second)))
}
