package laburnumfeed

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// Guards against an entry of another writer that makes a VM drop all others of the same answer, or use it.
func TestForeignEntriesLeaveTheOthersAsTheyAre(t *testing.T) {
	const good = `{"heartbeat":{"backend":"i-1","service":"quotes","address":"10.1.0.9:8080","sequence":1}}`
	for name, bad := range map[string]string{
		"a number": `7`, "null": `null`, "a list": `[]`, "fields missing": `{"heartbeat":{"backend":"i-2"}}`, "no identity": `{"heartbeat":{"service":"quotes","address":"a:1"}}`,
		"another type":   `{"heartbeat":{"backend":"i-2","service":7,"address":"a:1"}}`,
		"start no whole": `{"heartbeat":{"backend":"i-2","service":"quotes","address":"a:1","born":1.5}}`,
		"slots below 0":  `{"heartbeat":{"backend":"i-2","service":"quotes","address":"a:1","slots":-1}}`,
	} {
		var a Answer
		require.NoError(t, json.Unmarshal([]byte(`{"boot":1,"cursor":2,"backends":[`+bad+`,`+good+`]}`), &a), name)
		require.Len(t, a.Backends, 1, name)
		require.Equal(t, "i-1", string(a.Backends[0].Heartbeat.Backend), name)
		require.Len(t, a.Unreadable, 1, name)
	}
	for _, list := range []string{"overlays", "quarantine", "limits", "brittle"} {
		var a Answer
		require.NoError(t, json.Unmarshal([]byte(`{"boot":1,"backends":[`+good+`],"`+list+`":[7]}`), &a), list)
		require.Len(t, a.Backends, 1, list)
		require.Len(t, a.Unreadable, 1, list)
		require.NoError(t, json.Unmarshal([]byte(`{"boot":1,"backends":[`+good+`],"`+list+`":"x"}`), &a), list)
		require.Len(t, a.Backends, 1, list)
	}
}

// Guards against a log that another writer's entries fill.
func TestForeignEntriesAreLoggedOnceASourceAndReason(t *testing.T) {
	var out bytes.Buffer
	scope := tally.NewTestScope("", nil)
	f := NewForeignEntries(log.NewLogfmtLogger(&out), scope)
	for range 3 {
		f.Note("a", &MessageError{Method: "m", Cause: &json.UnsupportedValueError{Str: "x"}})
		f.Note("b", &MessageError{Method: "m", Cause: &json.UnsupportedValueError{Str: "x"}})
	}
	require.Equal(t, 2, strings.Count(out.String(), "event=foreign-entry"))
	require.EqualValues(t, 6, scope.Snapshot().Counters()["foreign_entries+"].Value())
}
