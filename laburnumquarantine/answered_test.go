package laburnumquarantine_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumquarantine"
)

func TestAnsweredRequestsAreKeptForAWhile(t *testing.T) {
	a := laburnumquarantine.NewAnswered()
	require.False(t, a.Contains(digest("first")))
	a.Add(digest("first"))
	for i := range 8192 {
		a.Add(digest(fmt.Sprint(i)))
		if i < 4096 {
			require.True(t, a.Contains(digest("first")))
		}
	}
	require.False(t, a.Contains(digest("first")))
	require.True(t, a.Contains(digest("8191")))
}
