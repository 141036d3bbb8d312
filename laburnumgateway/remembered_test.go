package laburnumgateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumtimer"
)

func newManualFleet() (*laburnumgateway.Fleet, *laburnumtimer.Manual) {
	timers := laburnumtimer.NewManual(time.Unix(1_000_000, 0))
	fleet := laburnumgateway.NewFleet(timers, laburnumlever.VM{ID: "10.0.0.1", Zone: "brest"}, time.Second, 1)
	fleet.HandleRoutes(testRoutes())
	return fleet, timers
}

func remembers(records ...laburnumregistry.Record) laburnumfeed.Answer {
	return laburnumfeed.Answer{Remembered: records}
}

func booking(address string) laburnumregistry.Record {
	return laburnumregistry.Record{Heartbeat: laburnumlever.Heartbeat{
		Backend: "i-1", Service: "booking", Address: address, Zone: "brest", Incarnation: 7, Sequence: 5, Slots: 8,
	}}
}

// Guards against a gateway that serves nobody after a loss of power until backend servers announce themselves.
func TestRememberedServerServesUntilItMustHaveAnnouncedItself(t *testing.T) {
	fleet, timers := newManualFleet()
	require.False(t, fleet.Ready())
	fleet.HandleAnswer("", remembers(booking("10.0.0.9:80")))
	require.True(t, fleet.Ready())
	timers.Advance(2 * time.Second)
	require.False(t, fleet.Ready(), "it has not announced itself")
}

// Guards against forgetting a server that has announced itself meanwhile.
func TestRememberedServerThatAnnouncesItselfStays(t *testing.T) {
	fleet, timers := newManualFleet()
	fleet.HandleAnswer("", remembers(booking("10.0.0.9:80")))
	fleet.HandleAnswer("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{booking("10.0.0.9:80")}})
	timers.Advance(10 * time.Second)
	require.True(t, fleet.Ready())
}

// Guards against an old state of a control VM that restarts alone: it brings servers back that have left or lost their address.
func TestRememberedServerGivesWayToNews(t *testing.T) {
	gone := booking("10.0.0.9:80")
	gone.Gone = true
	other := booking("10.0.0.9:80")
	other.Heartbeat.Backend, other.Heartbeat.Service = "i-2", "quotes"
	for name, news := range map[string]laburnumregistry.Record{"gone": gone, "address taken over": other} {
		t.Run(name, func(t *testing.T) {
			fleet, _ := newManualFleet()
			fleet.HandleAnswer("", laburnumfeed.Answer{Backends: []laburnumregistry.Record{news}})
			ready := fleet.Ready()
			fleet.HandleAnswer("", remembers(booking("10.0.0.9:80")))
			require.Equal(t, ready, fleet.Ready())
			require.Zero(t, fleet.Status().Services[0].Serving)
		})
	}
	fleet, timers := newManualFleet()
	timers.Advance(2 * time.Second)
	fleet.HandleAnswer("", remembers(booking("10.0.0.9:80")))
	require.False(t, fleet.Ready(), "this gateway has run for long")
}
