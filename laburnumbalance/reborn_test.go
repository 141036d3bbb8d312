package laburnumbalance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumbalance"
	"laburnumlever/laburnumregistry"
)

// Guards against attempts at a server's earlier start that count as failures of the start which has the identity now.
func TestAttemptsAtAnEarlierStartTellNothingOfTheNewOne(t *testing.T) {
	table := laburnumbalance.New("brest", 1)
	now := time.Unix(1_000_000, 0)
	h := laburnumlever.Heartbeat{Backend: "i-1", Service: "quotes", Address: "10.1.0.9:8080", Zone: "brest", Incarnation: 5, Sequence: 1, Slots: 8}
	table.Set(laburnumregistry.Record{Heartbeat: h})
	q := laburnumbalance.Query{Service: "quotes"}
	old, verdict := table.Pick(q, now)
	require.Equal(t, laburnumbalance.Found, verdict)
	h.Incarnation = 7
	table.Set(laburnumregistry.Record{Heartbeat: h})
	table.End(old, laburnumbalance.AttemptResult{Failed: true, Faulty: true, Unreachable: true}, now)
	require.Empty(t, table.Outcomes())
	require.Empty(t, table.Unreachable(now))
	_, verdict = table.Pick(q, now)
	require.Equal(t, laburnumbalance.Found, verdict)
}
