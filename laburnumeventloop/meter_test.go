package laburnumeventloop_test

import (
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumeventloop"

	"github.com/stretchr/testify/require"
)

type slow struct{}

func (slow) EventName() string { return "slow" }

type sleeper struct{}

func (sleeper) Handle(ev laburnumlever.Event) {
	if _, ok := ev.(slow); ok {
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a usage that attributes time or waits to the wrong events.
func TestMeterAttributesTimeToEvents(t *testing.T) {
	meter := laburnumeventloop.NewMeter()
	loop := laburnumeventloop.New(laburnumeventloop.WithMeter(meter))
	loop.Post(sleeper{}, slow{})
	loop.Post(sleeper{}, number(1))
	loop.Post(sleeper{}, number(2))
	loop.Drain()
	usage := meter.Take()
	require.Equal(t, "slow", usage.Longest.Event)
	require.Equal(t, []string{"slow", "number"}, []string{usage.Events[0].Event, usage.Events[1].Event})
	require.Equal(t, 2, usage.Events[1].Count)
	require.GreaterOrEqual(t, usage.Busy, 10*time.Millisecond)
	require.GreaterOrEqual(t, usage.MaxWait, 10*time.Millisecond, "the number events were queued behind the slow event")
	require.Zero(t, meter.Take().Busy)
}
