package laburnumroles

import (
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumtimer"

	"github.com/stretchr/testify/require"
)

// Guards against one relay message for each heartbeat without changed content.
func TestRelayBatchesHeartbeats(t *testing.T) {
	timers := laburnumtimer.NewManual(time.Unix(1_000_000, 0))
	var sent []relayBatch
	r := newRelay(timers, func(batch relayBatch) { sent = append(sent, batch) })
	r.addHeartbeat(laburnumlever.Heartbeat{Backend: "i-1", Sequence: 1}, true)
	timers.Advance(0)
	require.Len(t, sent, 1, "the first batch after a pause is sent at once")
	for sequence := uint64(2); sequence <= 100; sequence++ {
		r.addHeartbeat(laburnumlever.Heartbeat{Backend: "i-1", Sequence: sequence}, false)
	}
	r.addHeartbeat(laburnumlever.Heartbeat{Backend: "i-2", Sequence: 4, Leaving: true}, true)
	r.addGone(laburnumlever.BackendStart{Backend: "i-3", Incarnation: 5})
	timers.Advance(relayPeriod)
	require.Len(t, sent, 2)
	require.Len(t, sent[1].Alive, 99)
	require.Equal(t, unchangedHeartbeat{Backend: "i-1", Sequence: 100}, sent[1].Alive[98])
	require.Equal(t, []laburnumlever.Heartbeat{{Backend: "i-2", Sequence: 4, Leaving: true}}, sent[1].Heartbeats)
	require.Equal(t, []laburnumlever.BackendID{"i-3"}, sent[1].Gone)
	require.Equal(t, []laburnumlever.BackendStart{{Backend: "i-3", Incarnation: 5}}, sent[1].GoneStarts)
	timers.Advance(time.Minute)
	require.Len(t, sent, 2, "no heartbeat, no batch")
}
