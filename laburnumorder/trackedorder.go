package laburnumorder

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumchart"
)

// The states of the state chart order.jsonc that this package tests for.
const (
	stateUnknown = "unknown"
	stateNotSent = "not-sent"
)

var orderChart = laburnumchart.MustLoad("order")

// trackedOrder is an order with its state in the chart.
type trackedOrder struct {
	order laburnumlever.Order
	state string
	// settleAfter is the time from which an order whose answer was lost can no longer
	// arrive.
	settleAfter time.Time
}

func newTrackedOrder(order laburnumlever.Order) *trackedOrder {
	return &trackedOrder{order: order, state: orderChart.Initial()}
}

// apply changes the order's state by an event. An event that is invalid in the current
// state is a bug in this package: it returns an error, and the order stays pending.
func (t *trackedOrder) apply(event string) error {
	next, err := orderChart.Next(t.state, event)
	t.state = next
	return err
}

func (t *trackedOrder) is(state string) bool { return t.state == state }
