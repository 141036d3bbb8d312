package laburnumroles

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a heartbeat of another writer that makes a control VM drop all others of the same relayed batch.
func TestRelayedForeignHeartbeatsLeaveTheOthersAsTheyAre(t *testing.T) {
	var b relayBatch
	require.NoError(t, json.Unmarshal([]byte(`{"heartbeats":[7,{"backend":"i-2","slots":"x"},{"backend":"i-3"},`+
		`{"backend":"i-1","service":"quotes","address":"10.1.0.9:8080"}],"alive":["x",{"backend":"i-4","sequence":2}],"gone":[7,"i-5"]}`), &b))
	require.Len(t, b.Heartbeats, 1)
	require.Equal(t, "i-1", string(b.Heartbeats[0].Backend))
	require.Len(t, b.Alive, 1)
	require.Len(t, b.Gone, 1)
	require.Len(t, b.unreadable, 5)
}
