package laburnumpeer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// synRetransmit is the delay after which the kernel retransmits an unanswered SYN.
const synRetransmit = time.Second

// Guards against connecting a second late after a power loss, because a dial or backoff lasts until the SYN is sent again.
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
