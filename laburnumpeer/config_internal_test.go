package laburnumpeer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// synRetransmit is after how long the system sends the first packet of a connection again.
const synRetransmit = time.Second

// All VMs lose power; one dials another that is dark for a moment longer, and the first
// packet is lost. A dial that waits for the second packet finds the other a second late, and
// so do the pauses between two dials if they are as long.
func TestDialTimeoutIsBelowSYNRetransmission(t *testing.T) {
	cfg := newConfig(nil)
	require.LessOrEqual(t, cfg.dialTimeout, synRetransmit/3)
	b := backoff{}
	now := time.Unix(1_000_000, 0)
	for range 10 {
		b = b.next(now, nil)
	}
	require.LessOrEqual(t, b.until.Sub(now)+cfg.dialTimeout, synRetransmit)
}
