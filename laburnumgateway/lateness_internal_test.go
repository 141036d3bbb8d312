package laburnumgateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against late requests that are counted under the wrong cause.
func TestLatenessReason(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]struct {
		timing
		want lateness
	}{
		"on time":                       {timing{target: 300 * ms, pauseTarget: 150 * ms, first: 200 * ms, pause: 100 * ms, sent: 1}, lateNot},
		"no targets":                    {timing{first: 9000 * ms, pause: 9000 * ms, sent: 2}, lateNot},
		"late by queueing":              {timing{target: 300 * ms, first: 500 * ms, waited: 300 * ms, sent: 1}, lateWaited},
		"queued, late without queueing": {timing{target: 300 * ms, first: 900 * ms, waited: 300 * ms, sent: 1}, lateReading},
		"late by a second attempt":      {timing{target: 300 * ms, first: 900 * ms, sent: 2}, lateResent},
		"pause above the target":        {timing{target: 300 * ms, pauseTarget: 150 * ms, first: 200 * ms, pause: 151 * ms, sent: 1}, latePaused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, c.lateness()) })
	}
}
